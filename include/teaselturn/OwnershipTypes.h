#pragma once

#include "teaselturn/Bundle.h"
#include "teaselturn/Command.h"
#include "teaselturn/ResultCode.h"
#include "teaselturn/Types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace teaselturn {

/// An attached upstream in the replicated state.
struct UpstreamRecord {
    UpstreamId id;
    SessionId session;
    /// Command that started the current session.
    AttachUpstream attachment;
    bool isDraining {};
    /// Number of consecutive sessions that the upstream had not acknowledged when the next one started.
    std::uint32_t unacknowledgedSessions {};

    friend bool operator==(const UpstreamRecord&, const UpstreamRecord&) = default;
};

/// Owner and fence of one slot.
struct SlotRecord {
    /// Zero if the slot has no owner.
    UpstreamId owner;
    /// Fence of the last assignment. It is kept while the slot has no owner.
    Fence fence;
    /// Upstream that gets the slot when the pending move completes. Zero if no move is pending.
    UpstreamId moveTarget;
    /// Log index at which the slot last became free. Zero if it never had an owner.
    LogIndex freedAt;
    /// True if the last owner certainly refuses further requests by itself: it checks grants, and it released the slot
    /// or its lease has ended. False also if a bundle freed the slot, since the lease may not have ended yet.
    bool lastOwnerChecksGrants { true };

    friend bool operator==(const SlotRecord&, const SlotRecord&) = default;
};

/// A key isolated from its partition, and the slot that holds it.
struct HotKeyRecord {
    SlotId slot;
    std::string key;
    SlotRecord record;

    friend bool operator==(const HotKeyRecord&, const HotKeyRecord&) = default;
};

/// Slots of one service, in order of partition.
struct ServiceRecord {
    ServiceId service;
    std::vector<SlotRecord> partitions;
    /// Log index since which the service's zone rule is `move` in every bundle in force. Zero if it is `keep` in one.
    LogIndex moveSince;

    friend bool operator==(const ServiceRecord&, const ServiceRecord&) = default;
};

/// The complete ownership state, in a form that adapters can encode.
struct OwnershipSnapshot {
    LogIndex appliedIndex;
    /// Accepted bundle with the highest version. Empty before the first one.
    std::optional<SignedBundle> accepted;
    /// Bundle in force in regions that the rollout of the accepted bundle has not reached.
    std::optional<SignedBundle> previous;
    /// Number of regions that the rollout of the accepted bundle has reached.
    std::uint32_t rolloutStage {};
    std::vector<UpstreamRecord> upstreams;
    std::vector<ServiceRecord> services;
    std::vector<HotKeyRecord> hotKeys;
    std::uint32_t nextHotKeySlot { firstHotKeySlot };
    std::vector<MemberSpec> members;

    friend bool operator==(const OwnershipSnapshot&, const OwnershipSnapshot&) = default;
};

/// Result of applying a command, the same on every replica.
struct ApplyOutcome {
    ResultCode code { ResultCode::Ok };
    /// Upstream and session that an AttachUpstream created or renewed.
    UpstreamId upstream;
    SessionId session;
    /// For BundleConflict: digest and signers of the bundle that was accepted first.
    BundleDigest winner {};
    std::vector<std::string> winnerSigners;

    friend bool operator==(const ApplyOutcome&, const ApplyOutcome&) = default;
};

}
