#pragma once

#include "teaselturn/Command.h"
#include "teaselturn/OwnershipTypes.h"
#include "teaselturn/ResultCode.h"
#include "teaselturn/Types.h"

#include <variant>
#include <vector>

/// Messages between processes of the system. docs/design.md section 4.8 lists their purpose.
namespace teaselturn {

struct VoteRequest {
    Term term;
    DiskId disk;
    LogIndex lastIndex;
    Term lastTerm;
    /// A pre-vote asks whether an election could be won; it changes no term.
    bool isPreVote {};
    /// Disk identity under which the candidate's configuration counts the receiver as a voter. A receiver with another
    /// disk does not vote; a receiver that has not yet got the entry that promoted it does.
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

struct AppendRequest {
    Term term;
    LogIndex previousIndex;
    Term previousTerm;
    LogIndex commitIndex;
    std::vector<LogEntry> entries;
    /// Number of the heartbeat round, echoed in the reply; it measures the leader lease.
    std::uint64_t round {};

    friend bool operator==(const AppendRequest&, const AppendRequest&) = default;
};

struct AppendReply {
    Term term;
    DiskId disk;
    bool isAccepted {};
    /// Last index that matches the leader's log, synced to disk; on refusal, where the leader should go back to.
    LogIndex matchIndex;
    std::uint64_t round {};

    friend bool operator==(const AppendReply&, const AppendReply&) = default;
};

/// Part of the encoded snapshot. The core treats the bytes as opaque.
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
    /// Bytes received so far; the leader continues from here.
    std::uint64_t nextOffset {};

    friend bool operator==(const SnapshotReply&, const SnapshotReply&) = default;
};

/// Requests served for one slot since the last summary.
struct SlotLoad {
    SlotId slot;
    std::uint32_t requests {};

    friend bool operator==(const SlotLoad&, const SlotLoad&) = default;
};

/// A key that is frequent at an entry VM.
struct HotKeySample {
    ServiceId service;
    std::string key;
    std::uint32_t requests {};

    friend bool operator==(const HotKeySample&, const HotKeySample&) = default;
};

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
    /// Zero where the delegation is refused; counted by the entry VM from before it sent the request.
    std::chrono::milliseconds length {};
    LogIndex commitIndex;
    /// Who to ask where the answering member is not the leader. Zero where unknown.
    NodeId leader;

    friend bool operator==(const DelegationReply&, const DelegationReply&) = default;
};

struct FeedRequest {
    std::uint64_t sequence {};
    /// The sender has applied everything up to here.
    LogIndex appliedIndex;
    /// Snapshot that the sender is receiving, and how much of it has arrived. Zero where there is none.
    LogIndex snapshotIndex;
    std::uint64_t snapshotOffset {};

    friend bool operator==(const FeedRequest&, const FeedRequest&) = default;
};

struct FeedReply {
    std::uint64_t sequence {};
    /// Highest index that the answering process has applied.
    LogIndex lastIndex;
    std::vector<LogEntry> entries;
    /// Encoded OwnershipSnapshot in place of entries that have been compacted; parts arrive in order of offset.
    std::uint64_t snapshotOffset {};
    std::uint64_t snapshotTotalBytes {};
    LogIndex snapshotIndex;
    std::vector<std::uint8_t> snapshotBytes;

    friend bool operator==(const FeedReply&, const FeedReply&) = default;
};

struct ProposeRequest {
    /// Number of the proposal at its sender; a resend carries the same number.
    std::uint64_t sequence {};
    Command command;

    friend bool operator==(const ProposeRequest&, const ProposeRequest&) = default;
};

struct ProposeReply {
    std::uint64_t sequence {};
    /// Ok once the command is committed and applied; the outcome says what it did.
    ResultCode code { ResultCode::Ok };
    LogIndex index;
    ApplyOutcome outcome;
    NodeId leader;

    friend bool operator==(const ProposeReply&, const ProposeReply&) = default;
};

/// Load that an entry VM saw on consecutive keys since its last report.
struct KeyLoad {
    KeyNumber first {};
    KeyNumber last {};
    /// Requests of callers, those that were refused included.
    std::uint32_t requests {};
    std::uint32_t answered {};
    /// Time that the answered requests spent at their upstreams, less the way there and back, in milliseconds.
    std::uint32_t busyMs {};

    friend bool operator==(const KeyLoad&, const KeyLoad&) = default;
};

struct ServiceKeyLoad {
    std::string service;
    std::vector<KeyLoad> loads;

    friend bool operator==(const ServiceKeyLoad&, const ServiceKeyLoad&) = default;
};

/// Tells the leader which keys are busy. A member that does not lead passes it on.
struct KeyLoadReport {
    /// Entry VM that measured the load.
    NodeId entry;
    std::vector<ServiceKeyLoad> services;

    friend bool operator==(const KeyLoadReport&, const KeyLoadReport&) = default;
};

/// Answers a KeyLoadReport.
struct KeyLoadReply {
    /// Entry VMs that reported lately; they share the retry budget and the upstreams' connections.
    std::uint32_t entryCount {};

    friend bool operator==(const KeyLoadReply&, const KeyLoadReply&) = default;
};

/// A member that is not in the configuration, or whose disk is not, asks to be taken in.
struct JoinRequest {
    /// Member that wants to join; members pass the request on to the leader.
    NodeId node;
    DiskId disk;

    friend bool operator==(const JoinRequest&, const JoinRequest&) = default;
};

/// Asks a member whether it could answer feeds, and how far away it is.
struct MemberProbe {
    std::uint64_t sequence {};

    friend bool operator==(const MemberProbe&, const MemberProbe&) = default;
};

/// Answers a MemberProbe at once. Members that are out of contact with a leader do not answer.
struct MemberProbeReply {
    std::uint64_t sequence {};

    friend bool operator==(const MemberProbeReply&, const MemberProbeReply&) = default;
};

/// Any message between processes of the system. The order is part of the protocol: append only.
using PeerMessage = std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotChunk, SnapshotReply,
    DelegationRequest, DelegationReply, FeedRequest, FeedReply, ProposeRequest, ProposeReply, KeyLoadReport, KeyLoadReply,
    JoinRequest, MemberProbe, MemberProbeReply>;

/// A message with the node that it goes to.
struct OutboundMessage {
    NodeId to;
    PeerMessage message;

    friend bool operator==(const OutboundMessage&, const OutboundMessage&) = default;
};

}
