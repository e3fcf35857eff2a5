#pragma once

#include "core/registry/RegistryService.h"
#include "core/registry/RegistryState.h"
#include "teaselturn/Message.h"

#include <absl/container/btree_map.h>
#include <optional>
#include <span>
#include <vector>

namespace teaselturn {

/// An entry VM's copy of the registry. It asks the nearest member that answers for what was committed, and goes to
/// another where an answer stays out. What it has applied it never takes back. It does no I/O. Not thread-safe.
/// @tparam Codec Encoding of snapshots.
template <RegistryCodec Codec>
class RegistryReplica {
public:
    /// @param seeds Members to begin with; the members that the log names come in as they are learned.
    RegistryReplica(std::vector<NodeId> seeds, Codec codec)
        : seeds(std::move(seeds))
        , codec(std::move(codec))
    {
    }

    /// @return Requests and probes to send now.
    std::vector<OutboundMessage> nextMessages(Instant now);

    /// Takes an answer to a probe.
    void handleProbeReply(Instant now, NodeId from, const MemberProbeReply& reply);

    /// Takes an answer to a request, also to one that was repeated meanwhile.
    /// @return True where the state changed, or SnapshotCorrupt.
    Result<bool> take(Instant now, NodeId from, const FeedReply& reply);

    /// Replaces the members to fall back to, after the settings changed.
    void setSeeds(std::span<const NodeId> newSeeds) { this->seeds.assign(newSeeds.begin(), newSeeds.end()); }

    const RegistryState& state() const noexcept { return this->registry; }
    /// @return The member that is asked at the moment, or zero.
    NodeId source() const noexcept { return this->asked; }
    /// @return True once an answer showed that this copy is complete.
    bool isComplete() const noexcept { return this->hasCaughtUp; }
    /// @return Time of the last answer.
    Instant answeredAt() const noexcept { return this->lastAnswer; }

    /// A member holds a request open for 300 ms; an answer that has not come after this is late. The request is then
    /// repeated, to the same member where it still answers probes: members do not repeat a long answer while it may be
    /// under way.
    static constexpr std::chrono::milliseconds patience { 500 };
    /// How often members are probed while one answers, and while none does.
    static constexpr std::chrono::milliseconds probeInterval { 4'000 };
    static constexpr std::chrono::milliseconds searchInterval { 100 };
    /// Members are probed for their whereabouts once an answer is out this long.
    static constexpr std::chrono::milliseconds lateAfter { 400 };
    /// A member that answered no probe for this long is not asked.
    static constexpr std::chrono::milliseconds probeMemory { 9'000 };

private:
    struct Contact {
        Instant heardAt;
        Duration roundTrip {};
    };

    std::vector<NodeId> candidates() const;
    /// @return The nearest member that answered a probe lately, or zero.
    NodeId nearest(Instant now, NodeId except) const;
    void addProbes(Instant now, std::vector<OutboundMessage>& messages);
    bool takeSnapshotPart(const FeedReply& reply);

    std::vector<NodeId> seeds;
    Codec codec;
    RegistryState registry;
    absl::btree_map<NodeId, Contact> contacts;
    NodeId asked;
    std::uint64_t sequence {};
    std::uint64_t probeSequence {};
    std::optional<Instant> probedAt;
    Instant askedAt;
    Instant lastAnswer;
    bool isOut {};
    bool isSearching { true };
    bool hasCaughtUp {};
    LogIndex snapshotIndex;
    std::vector<std::uint8_t> snapshotBytes;
};

}

#include "core/registry/RegistryReplicaInlines.h"
