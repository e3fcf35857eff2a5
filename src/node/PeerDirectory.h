#pragma once

#include "adapters/peer/PeerTable.h"
#include "adapters/settings/Settings.h"
#include "core/Mutex.h"
#include "core/ownership/OwnershipState.h"

#include <functional>
#include <span>
#include <vector>

namespace teaselturn {

/// Maintains the transport's list of peers: the members named in the settings, and the entry VMs and members of the
/// accepted bundle. If both name a VM, the bundle's address is used. Its mutex is a leaf of the lock order.
class PeerDirectory {
public:
    using SetPeers = std::function<Status(std::span<const PeerAddress>)>;

    PeerDirectory(const BootstrapSettings& bootstrap, SetPeers setPeers)
        : bootstrap(bootstrap)
        , setPeers(std::move(setPeers))
    {
    }

    /// Sets the peers to the members named in the settings.
    Status setInitialPeers();

    /// Updates the peers from the accepted bundle of a state. A VM with both roles has two copies of the state; an
    /// older copy does not restore an earlier list.
    void update(const OwnershipState& state);

private:
    std::vector<PeerAddress> list(const Bundle* bundle) const;

    const BootstrapSettings& bootstrap;
    const SetPeers setPeers;
    Mutex mutex;
    BundleVersion latestVersion ABSL_GUARDED_BY(mutex);
};

}
