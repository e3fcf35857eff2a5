#pragma once

#include "adapters/peer/PeerTable.h"
#include "adapters/settings/Settings.h"
#include "core/Mutex.h"
#include "core/ownership/OwnershipState.h"

#include <functional>
#include <span>
#include <vector>

namespace teaselturn {

/// Keeps the transport's list of processes: the members of the settings, and the entry VMs and members of the accepted
/// bundle. Where both name a VM, the bundle's address counts. Its mutex is a leaf of the lock order.
class PeerDirectory {
public:
    using SetPeers = std::function<Status(std::span<const PeerAddress>)>;

    PeerDirectory(const BootstrapSettings& bootstrap, SetPeers setPeers)
        : bootstrap(bootstrap)
        , setPeers(std::move(setPeers))
    {
    }

    /// Lists the members of the settings.
    Status begin();

    /// Follows the accepted bundle of a state. A VM with both roles has two copies of the state; the older one does not
    /// bring an earlier list back.
    void follow(const OwnershipState& state);

private:
    std::vector<PeerAddress> list(const Bundle* bundle) const;

    const BootstrapSettings& bootstrap;
    const SetPeers setPeers;
    Mutex mutex;
    BundleVersion latest ABSL_GUARDED_BY(mutex);
};

}
