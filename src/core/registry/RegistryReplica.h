#pragma once

#include "core/registry/RegistryService.h"
#include "core/registry/RegistryState.h"
#include "core/registry/SendTimes.h"
#include "teaselturn/Message.h"

#include <absl/container/btree_map.h>
#include <optional>
#include <span>
#include <vector>

namespace teaselturn {

/// An entry VM's read-only copy of the registry. It requests committed entries and snapshots from the nearest member
/// that replies to probes, and changes to another member if a reply is late. It never reverts an applied entry. It does
/// no I/O. Not thread-safe.
/// @tparam Codec Encoding of snapshots.
template <RegistryCodec Codec>
class RegistryReplica {
public:
    /// @param seeds Members to contact first; members in the log are added as they are learned.
    RegistryReplica(std::vector<NodeId> seeds, Codec codec)
        : seeds(std::move(seeds))
        , codec(std::move(codec))
    {
    }

    /// @return Requests and probes to send now.
    std::vector<OutboundMessage> nextMessages(Instant now);

    /// Processes the reply to a probe.
    void handleProbeReply(Instant now, NodeId from, const MemberProbeReply& reply);

    /// Processes the reply to a probe of a member that has no contact to a leader.
    void handleUnavailableReply(Instant now) noexcept { this->unavailableAt = now; }

    /// Processes the reply to a feed request, including one that was repeated in the meantime.
    /// @return True if the state changed, or SnapshotCorrupt.
    Result<bool> handleFeedReply(Instant now, NodeId from, const FeedReply& reply);

    /// @return Time of the last reply of a member that has no contact to a leader.
    Instant lastUnavailableAt() const noexcept { return this->unavailableAt; }

    /// Replaces the seeds after a change of the settings.
    void setSeeds(std::span<const NodeId> newSeeds) { this->seeds.assign(newSeeds.begin(), newSeeds.end()); }

    const RegistryState& state() const noexcept { return this->registry; }
    /// @return The member from which this copy requests entries, or zero.
    NodeId source() const noexcept { return this->currentSource; }
    /// @return True once this copy has applied everything that a member had applied when it replied.
    bool isComplete() const noexcept { return this->hasCaughtUp; }
    /// @return Time since which commits may be missing: when the latest request was sent whose reply left nothing to apply.
    /// Zero before that. A reply may be late, so its arrival shows nothing.
    Instant lastCurrentAt() const noexcept { return this->currentAt; }
    /// @return Time of the last feed reply.
    Instant lastReplyAt() const noexcept { return this->lastFeedReplyAt; }

    /// A request without a reply is repeated after this time; a member holds a request open for 300 ms. The repeat goes
    /// to the same member if that replied to a probe since: members do not send a long reply again while it may be in
    /// transit.
    static constexpr std::chrono::milliseconds replyTimeout { 500 };
    /// Probe interval while a member replies to requests.
    static constexpr std::chrono::milliseconds probeInterval { 4'000 };
    /// Probe interval while no member replies to requests.
    static constexpr std::chrono::milliseconds searchInterval { 100 };
    /// The datagrams of a reply may change places. A request for those that are missing waits this long after the last one.
    static constexpr std::chrono::milliseconds reorderDelay { 20 };
    /// Members are probed at searchInterval once a reply is outstanding for longer than this.
    static constexpr std::chrono::milliseconds lateReplyDelay { 400 };
    /// A member without a probe reply for this long is not chosen as source.
    static constexpr std::chrono::milliseconds probeReplyExpiry { 9'000 };

private:
    /// Limit of the entries kept behind a gap; a member sends at most that many in datagrams.
    static constexpr std::size_t maxEarlyEntries = registry::maxDatagramFeedEntries;

    struct Contact {
        Instant lastProbeReplyAt;
        Duration roundTrip {};
    };

    std::vector<NodeId> candidates() const;
    /// @return The member with the shortest round trip among those with a recent probe reply, or zero.
    NodeId nearest(Instant now, NodeId except) const;
    /// @return The source to use after one that did not reply: the nearest other member, or the next in turn if none has
    /// replied to a probe.
    NodeId sourceAfter(Instant now, NodeId silent) const;
    void addProbes(Instant now, std::vector<OutboundMessage>& messages);
    /// Applies the entries that continue the log, and keeps those behind a gap until it is filled.
    void applyEntries(std::span<const LogEntry> entries);
    /// @return True if the snapshot is complete.
    bool appendSnapshotPart(const FeedReply& reply);

    std::vector<NodeId> seeds;
    Codec codec;
    RegistryState registry;
    absl::btree_map<NodeId, Contact> contacts;
    NodeId currentSource;
    std::uint64_t sequence {};
    std::uint64_t probeSequence {};
    std::optional<Instant> lastProbeAt;
    SendTimes probeTimes;
    SendTimes requestTimes;
    Instant requestedAt;
    Instant lastFeedReplyAt;
    Instant currentAt;
    Instant unavailableAt;
    bool isRequestOutstanding {};
    bool isSearching { true };
    bool hasCaughtUp {};
    /// Entries behind a gap of the log.
    absl::btree_map<LogIndex, Command> earlyEntries;
    /// No request is sent before this time.
    Instant requestNotBefore;
    LogIndex snapshotIndex;
    std::vector<std::uint8_t> snapshotBytes;
};

}

#include "core/registry/RegistryReplicaInlines.h"
