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

/// An attached upstream as the log knows it.
struct UpstreamRecord {
    UpstreamId id;
    SessionId session;
    /// The attaching command of the current session.
    AttachUpstream attachment;
    bool isDraining {};
    /// Sessions in a row that the upstream had not heard of when the next one began.
    std::uint32_t unacknowledgedSessions {};

    friend bool operator==(const UpstreamRecord&, const UpstreamRecord&) = default;
};

/// Owner and fence of one slot.
struct SlotRecord {
    /// Zero where nobody owns the slot.
    UpstreamId owner;
    /// Fence of the last assignment; kept while the slot has no owner.
    Fence fence;
    /// Zero unless a move is pending.
    UpstreamId moveTarget;
    /// Log index at which the slot last became free. Zero where it never had an owner.
    LogIndex freedAt;
    /// True where the last owner refuses requests by itself once its lease has ended, and its lease has ended. False
    /// also where the slot was freed by a bundle, since the lease may then still run.
    bool lastOwnerChecksGrants { true };

    friend bool operator==(const SlotRecord&, const SlotRecord&) = default;
};

/// A key isolated from its partition.
struct HotKeyRecord {
    SlotId slot;
    std::string key;
    SlotRecord record;

    friend bool operator==(const HotKeyRecord&, const HotKeyRecord&) = default;
};

/// Slots of one service, partition by partition.
struct ServiceRecord {
    ServiceId service;
    std::vector<SlotRecord> partitions;
    /// Log index since which the zone rule is `move` in every bundle in force; zero where it is `keep` in one of them.
    LogIndex moveSince;

    friend bool operator==(const ServiceRecord&, const ServiceRecord&) = default;
};

/// The whole replicated state in a form that adapters can encode.
struct OwnershipSnapshot {
    LogIndex appliedIndex;
    /// Accepted bundle with the highest number. Empty before the first one.
    std::optional<SignedBundle> accepted;
    /// Bundle in force where the rollout of the accepted one has not reached.
    std::optional<SignedBundle> previous;
    std::uint32_t rolloutStage {};
    std::vector<UpstreamRecord> upstreams;
    std::vector<ServiceRecord> services;
    std::vector<HotKeyRecord> hotKeys;
    std::uint32_t nextHotKeySlot { firstHotKeySlot };
    std::vector<MemberSpec> members;

    friend bool operator==(const OwnershipSnapshot&, const OwnershipSnapshot&) = default;
};

/// What applying a command gave. Replicas agree on it.
struct ApplyOutcome {
    ResultCode code { ResultCode::Ok };
    /// Upstream and session of an AttachUpstream.
    UpstreamId upstream;
    SessionId session;
    /// For BundleConflict: digest and signers of the bundle that won.
    BundleDigest winner {};
    std::vector<std::string> winnerSigners;

    friend bool operator==(const ApplyOutcome&, const ApplyOutcome&) = default;
};

}
