#pragma once

#include "teaselturn/Command.h"
#include "teaselturn/OwnershipTypes.h"
#include "teaselturn/ResultCode.h"
#include "teaselturn/Types.h"

#include <variant>
#include <vector>

/// Messages between processes of the system. docs/design.md section 4.8 describes their use.
namespace teaselturn {

/// Asks a ledger member for its vote, or in a pre-vote whether it would vote.
struct VoteRequest {
    Term term;
    DiskId disk;
    LogIndex lastIndex;
    Term lastTerm;
    /// A pre-vote tests whether the candidate could win an election. It changes no term.
    bool isPreVote {};
    /// Disk identity of the receiver in the candidate's configuration. A receiver with another disk does not vote. A
    /// receiver with this disk votes even if it has not yet received the log entry that makes it a voter.
    DiskId voterDisk;

    friend bool operator==(const VoteRequest&, const VoteRequest&) = default;
};

struct VoteReply {
    Term term;
    DiskId disk;
    bool isGranted {};
    bool isPreVote {};

    friend bool operator==(const VoteReply&, const VoteReply&) = default;
};

/// Replicates log entries to a follower. Without entries it is a heartbeat.
struct AppendRequest {
    Term term;
    LogIndex previousIndex;
    Term previousTerm;
    LogIndex commitIndex;
    std::vector<LogEntry> entries;
    /// Number of the heartbeat round. The reply echoes it, and the leader counts its lease from the start of the round.
    std::uint64_t round {};

    friend bool operator==(const AppendRequest&, const AppendRequest&) = default;
};

struct AppendReply {
    Term term;
    DiskId disk;
    bool isAccepted {};
    /// If accepted, the last index that matches the leader's log and is synced to disk. Otherwise a hint: the leader
    /// continues after this index.
    LogIndex matchIndex;
    std::uint64_t round {};

    friend bool operator==(const AppendReply&, const AppendReply&) = default;
};

/// Part of an encoded snapshot. The core treats the bytes as opaque.
struct SnapshotChunk {
    Term term;
    LogIndex lastIndex;
    Term lastTerm;
    std::uint64_t offset {};
    std::uint64_t totalBytes {};
    std::vector<std::uint8_t> bytes;
    /// The ledger's configuration at lastIndex.
    std::vector<MemberSpec> members;

    friend bool operator==(const SnapshotChunk&, const SnapshotChunk&) = default;
};

struct SnapshotReply {
    Term term;
    DiskId disk;
    LogIndex lastIndex;
    /// Number of bytes received so far. The leader continues at this offset.
    std::uint64_t nextOffset {};

    friend bool operator==(const SnapshotReply&, const SnapshotReply&) = default;
};

/// Number of requests for one slot since the last report.
struct SlotLoad {
    SlotId slot;
    std::uint32_t requests {};

    friend bool operator==(const SlotLoad&, const SlotLoad&) = default;
};

/// A key that an entry VM sees frequently, with its number of requests.
struct HotKeySample {
    ServiceId service;
    std::string key;
    std::uint32_t requests {};

    friend bool operator==(const HotKeySample&, const HotKeySample&) = default;
};

/// Asks the ledger leader to grant or renew the sending entry VM's delegation, and reports its load.
struct DelegationRequest {
    std::uint64_t sequence {};
    BootId boot;
    LogIndex appliedIndex;
    BundleVersion bundleInForce;
    bool isHealthy {};
    std::vector<SlotLoad> loads;
    std::vector<HotKeySample> hotKeys;

    friend bool operator==(const DelegationRequest&, const DelegationRequest&) = default;
};

struct DelegationReply {
    std::uint64_t sequence {};
    ResultCode code { ResultCode::Ok };
    /// Length of the delegation. The entry VM counts it from before it sent the request. Zero if refused.
    std::chrono::milliseconds length {};
    LogIndex commitIndex;
    /// Leader that the replying member knows. Zero if it knows none.
    NodeId leader;

    friend bool operator==(const DelegationReply&, const DelegationReply&) = default;
};

/// Asks for the committed entries after the sender's applied index, or for a snapshot if these have been compacted.
struct FeedRequest {
    std::uint64_t sequence {};
    /// Index up to which the sender has applied the log.
    LogIndex appliedIndex;
    /// Index of the snapshot that the sender is receiving, and the number of bytes received. Zero if there is none.
    LogIndex snapshotIndex;
    std::uint64_t snapshotOffset {};

    friend bool operator==(const FeedRequest&, const FeedRequest&) = default;
};

/// Carries committed entries or part of a snapshot.
struct FeedReply {
    std::uint64_t sequence {};
    /// Highest index that the replying process has applied.
    LogIndex lastIndex;
    std::vector<LogEntry> entries;
    /// Part of an encoded snapshot, which replaces entries that have been compacted. Parts arrive in order of offset.
    std::uint64_t snapshotOffset {};
    std::uint64_t snapshotTotalBytes {};
    LogIndex snapshotIndex;
    std::vector<std::uint8_t> snapshotBytes;

    friend bool operator==(const FeedReply&, const FeedReply&) = default;
};

/// Proposes a command to the leader.
struct ProposeRequest {
    /// Number of the proposal at its sender. A resend carries the same number.
    std::uint64_t sequence {};
    Command command;

    friend bool operator==(const ProposeRequest&, const ProposeRequest&) = default;
};

struct ProposeReply {
    std::uint64_t sequence {};
    /// Ok if the command was committed and applied. `outcome` then holds the result of applying it.
    ResultCode code { ResultCode::Ok };
    LogIndex index;
    ApplyOutcome outcome;
    /// Leader that the replying member knows. Zero if it knows none.
    NodeId leader;

    friend bool operator==(const ProposeReply&, const ProposeReply&) = default;
};

/// Load on a range of consecutive keys at one entry VM since its last report.
struct KeyLoad {
    KeyNumber first {};
    KeyNumber last {};
    /// Number of requests from callers, including refused ones.
    std::uint32_t requests {};
    /// Number of requests to which an upstream responded.
    std::uint32_t answered {};
    /// Total time that these requests took at upstreams, without network round-trip time, in milliseconds.
    std::uint32_t busyMs {};

    friend bool operator==(const KeyLoad&, const KeyLoad&) = default;
};

/// Load on the keys of one service.
struct ServiceKeyLoad {
    std::string service;
    std::vector<KeyLoad> loads;

    friend bool operator==(const ServiceKeyLoad&, const ServiceKeyLoad&) = default;
};

/// Reports the load on keys to the leader. A member that does not lead forwards the report.
struct KeyLoadReport {
    /// Entry VM that measured the load.
    NodeId entry;
    std::vector<ServiceKeyLoad> services;

    friend bool operator==(const KeyLoadReport&, const KeyLoadReport&) = default;
};

/// Reply to a KeyLoadReport.
struct KeyLoadReply {
    /// Number of entry VMs that reported recently. They share the retry budget and the upstreams' connections.
    std::uint32_t entryCount {};

    friend bool operator==(const KeyLoadReply&, const KeyLoadReply&) = default;
};

/// Sent by a member that is not in the configuration, or not with its current disk, to be added.
struct JoinRequest {
    /// Member to be added. It differs from the sender if a member has forwarded the request to the leader.
    NodeId node;
    DiskId disk;

    friend bool operator==(const JoinRequest&, const JoinRequest&) = default;
};

/// Checks whether a member can serve feeds, and measures the round-trip time to it.
struct MemberProbe {
    std::uint64_t sequence {};

    friend bool operator==(const MemberProbe&, const MemberProbe&) = default;
};

/// Immediate reply to a MemberProbe of a member that serves the feed.
struct MemberProbeReply {
    std::uint64_t sequence {};

    friend bool operator==(const MemberProbeReply&, const MemberProbeReply&) = default;
};

/// Immediate reply to a MemberProbe of a member without contact to a leader. It serves no feed until it has one.
struct MemberUnavailableReply {
    std::uint64_t sequence {};

    friend bool operator==(const MemberUnavailableReply&, const MemberUnavailableReply&) = default;
};

/// Any message between processes of the system. The order of alternatives is part of the protocol: append only.
using PeerMessage = std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotChunk, SnapshotReply,
    DelegationRequest, DelegationReply, FeedRequest, FeedReply, ProposeRequest, ProposeReply, KeyLoadReport, KeyLoadReply,
    JoinRequest, MemberProbe, MemberProbeReply, MemberUnavailableReply>;

/// A message and its destination.
struct OutboundMessage {
    NodeId to;
    PeerMessage message;

    friend bool operator==(const OutboundMessage&, const OutboundMessage&) = default;
};

}
