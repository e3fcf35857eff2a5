#pragma once

#include "core/registry/KeyHeartbeat.h"
#include "core/registry/RegistryState.h"

#include <absl/container/flat_hash_map.h>
#include <optional>
#include <string>

namespace teaselturn {

/// Decides which statements of heartbeats about warm-ups the leader commits: the first of each start of an upstream, and those
/// that differ from what is known. Used by the leader only, which knows the end of the warm-ups that it proposed itself.
/// Not thread-safe.
class WarmUpWatch {
public:
    /// Starts a term. When a former leader proposed the warm-ups in the replicated state is not known.
    void becameLeader() { this->records.clear(); }

    /// @param isRegistered True if the upstream is registered; false if the command follows its registration.
    /// @return The command to propose; empty if entry VMs know as much already.
    std::optional<BeginWarmUp> commandFor(Instant now, const KeyHeartbeat& heartbeat, bool isRegistered, const RegistryState& state) const;
    /// Records a command that was proposed.
    /// @param recoveryTime Time after the warm-up during which load returns to the upstream.
    void recordProposed(Instant now, const BeginWarmUp& command, Duration recoveryTime);
    /// Records that a command of this or a former leader was applied.
    void recordApplied(const BeginWarmUp& command);

    /// @return True while entry VMs limit what they send to the upstream: while it is cold and while load returns to it.
    bool isLimited(Instant now, const UpstreamKey& key, const RegistryState& state) const;

private:
    struct Record {
        UpstreamKey key;
        /// When the upstream is warm; empty if it stated that it is.
        std::optional<Instant> coldUntil;
        Instant limitedUntil;
        /// A command that states this was proposed and is not applied yet.
        bool isProposed {};
    };

    const Record* find(const UpstreamKey& key) const;

    /// By name, so that a later start of an upstream replaces an earlier one.
    absl::flat_hash_map<std::string, Record> records;
};

}
