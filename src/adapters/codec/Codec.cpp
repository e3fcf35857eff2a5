#include "adapters/codec/Codec.h"

#include "adapters/codec/Archive.h"

#include <string>

// Selects serialize() for enumerations, because cereal's own enumeration serialization does not check the value.
CEREAL_SPECIALIZE_FOR_ALL_ARCHIVES(teaselturn::ZoneRule, cereal::specialization::non_member_serialize)
CEREAL_SPECIALIZE_FOR_ALL_ARCHIVES(teaselturn::ExpiryReason, cereal::specialization::non_member_serialize)
CEREAL_SPECIALIZE_FOR_ALL_ARCHIVES(teaselturn::RequestKind, cereal::specialization::non_member_serialize)
CEREAL_SPECIALIZE_FOR_ALL_ARCHIVES(teaselturn::ItemKind, cereal::specialization::non_member_serialize)
CEREAL_SPECIALIZE_FOR_ALL_ARCHIVES(teaselturn::UpstreamState, cereal::specialization::non_member_serialize)
CEREAL_SPECIALIZE_FOR_ALL_ARCHIVES(teaselturn::ResultCode, cereal::specialization::non_member_serialize)

namespace teaselturn {

// cereal finds these by argument-dependent lookup. The order of members defines the format.

template <typename Archive>
void serialize(Archive& archive, ZoneRule& value)
{
    serializeEnum(archive, value, ZoneRule::Keep);
}

template <typename Archive>
void serialize(Archive& archive, ExpiryReason& value)
{
    serializeEnum(archive, value, ExpiryReason::ZoneRetired);
}

template <typename Archive>
void serialize(Archive& archive, ResultCode& value)
{
    serializeEnum(archive, value, ResultCode::HttpUnexpectedResponse);
}

template <typename Archive>
void serialize(Archive& archive, ZoneSpec& value)
{
    archive(value.id, value.name, value.region);
}

template <typename Archive>
void serialize(Archive& archive, RegionSpec& value)
{
    archive(value.id, value.name);
}

template <typename Archive>
void serialize(Archive& archive, NodeSpec& value)
{
    archive(value.id, value.zone, value.peer, value.disk);
}

template <typename Archive>
void serialize(Archive& archive, ServiceSpec& value)
{
    archive(value.id, value.name, value.partitions, value.zoneRule, value.priority, value.objectivePerMillion, value.objectiveLatency, value.movesPerMinute, value.retryBudgetPercent);
}

template <typename Archive>
void serialize(Archive& archive, OperatorKey& value)
{
    archive(value.name, value.publicKey);
}

template <typename Archive>
void serialize(Archive& archive, Bundle& value)
{
    archive(value.version, value.regions, value.zones, value.entries, value.members, value.services, value.operators, value.threshold, value.rollout, value.retiredZones);
}

template <typename Archive>
void serialize(Archive& archive, BundleSignature& value)
{
    archive(value.signer, value.signature);
}

template <typename Archive>
void serialize(Archive& archive, SignedBundle& value)
{
    archive(value.bundle, value.canonicalBytes, value.digest, value.signatures);
}

template <typename Archive>
void serialize(Archive& archive, AttachUpstream& value)
{
    archive(value.name, value.incarnation, value.service, value.zone, value.endpoint, value.requestSlots, value.connectionLimit, value.checksGrants, value.leaseManager, value.leaseManagerBoot, value.acknowledgedSession);
}

template <typename Archive>
void serialize(Archive& archive, ExpireUpstream& value)
{
    archive(value.upstream, value.session, value.reason);
}

template <typename Archive>
void serialize(Archive& archive, DrainUpstream& value)
{
    archive(value.upstream, value.session);
}

template <typename Archive>
void serialize(Archive& archive, SlotAssignment& value)
{
    archive(value.slot, value.owner, value.expectedFence);
}

template <typename Archive>
void serialize(Archive& archive, AssignSlots& value)
{
    archive(value.assignments);
}

template <typename Archive>
void serialize(Archive& archive, BeginMove& value)
{
    archive(value.moves);
}

template <typename Archive>
void serialize(Archive& archive, SlotRelease& value)
{
    archive(value.slot, value.fence);
}

template <typename Archive>
void serialize(Archive& archive, ReleaseSlots& value)
{
    archive(value.upstream, value.session, value.releases);
}

template <typename Archive>
void serialize(Archive& archive, AcceptBundle& value)
{
    archive(value.bundle);
}

template <typename Archive>
void serialize(Archive& archive, AdvanceRollout& value)
{
    archive(value.version, value.stage);
}

template <typename Archive>
void serialize(Archive& archive, IsolateHotKey& value)
{
    archive(value.service, value.key);
}

template <typename Archive>
void serialize(Archive& archive, MergeHotKey& value)
{
    archive(value.slot);
}

template <typename Archive>
void serialize(Archive& archive, MemberSpec& value)
{
    archive(value.node, value.disk, value.voter);
}

template <typename Archive>
void serialize(Archive& archive, ChangeMembers& value)
{
    archive(value.members);
}

template <typename Archive>
void serialize(Archive&, NoOperation&)
{
}

template <typename Archive>
void serialize(Archive& archive, RequestKind& value)
{
    serializeEnum(archive, value, RequestKind::Upload);
}

template <typename Archive>
void serialize(Archive& archive, ItemKind& value)
{
    serializeEnum(archive, value, ItemKind::Limits);
}

template <typename Archive>
void serialize(Archive& archive, UpstreamState& value)
{
    serializeEnum(archive, value, UpstreamState::Gone);
}

template <typename Archive>
void serialize(Archive& archive, TrafficShare& value)
{
    archive(value.service, value.weight);
}

template <typename Archive>
void serialize(Archive& archive, RouteItem& value)
{
    archive(value.host, value.pathPrefix, value.kind, value.timeout, value.targetLatency, value.priority, value.attempts, value.shares);
}

template <typename Archive>
void serialize(Archive& archive, ServiceItem& value)
{
    archive(value.isSharded, value.maxConnections, value.coldKeyTime);
}

template <typename Archive>
void serialize(Archive& archive, CallerLimits& value)
{
    archive(value.maxHeaderBytes, value.maxBodyBytes, value.headerTimeout, value.idleTimeout);
}

namespace {

    /// Numbers of the encodings of an item's content. Content that uses no later member is written as earlier versions wrote
    /// it, so that they can read it and it reads back the same.
    enum class ContentEncoding : std::uint8_t {
        Route,
        Service,
        Limits,
        RouteWithRegions,
        ServiceWithWarmUp,
    };

    ContentEncoding encodingOf(const ItemContent& content)
    {
        if (const auto* route = std::get_if<RouteItem>(&content)) {
            return route->allowedRegions.empty() ? ContentEncoding::Route : ContentEncoding::RouteWithRegions;
        }
        if (const auto* service = std::get_if<ServiceItem>(&content)) {
            return service->warmUpTime == Duration::zero() && service->warmUpMilliRequestsPerSecond == 0 ? ContentEncoding::Service : ContentEncoding::ServiceWithWarmUp;
        }
        return ContentEncoding::Limits;
    }

    /// Reads or writes the content, which holds the alternative of the encoding.
    template <typename Archive, typename Content>
    void serializeContent(Archive& archive, Content& content, ContentEncoding encoding)
    {
        std::visit([&archive](auto& alternative) { archive(alternative); }, content);
        if (encoding == ContentEncoding::RouteWithRegions) {
            archive(std::get<RouteItem>(content).allowedRegions);
        } else if (encoding == ContentEncoding::ServiceWithWarmUp) {
            auto& service = std::get<ServiceItem>(content);
            archive(service.warmUpTime, service.warmUpMilliRequestsPerSecond);
        }
    }

}

// NOLINTBEGIN(readability-identifier-naming): cereal prescribes the names.
void CEREAL_SAVE_FUNCTION_NAME(EncodeArchive& archive, const ConfigItem& value)
{
    const auto encoding = encodingOf(value.content);
    archive(value.name, value.version, static_cast<std::uint8_t>(encoding));
    serializeContent(archive, value.content, encoding);
    archive(value.document);
}

void CEREAL_LOAD_FUNCTION_NAME(DecodeArchive& archive, ConfigItem& value)
{
    std::uint8_t number = 0;
    archive(value.name, value.version, number);
    const auto encoding = static_cast<ContentEncoding>(number);
    switch (encoding) {
    case ContentEncoding::Route:
    case ContentEncoding::RouteWithRegions:
        value.content = RouteItem {};
        break;
    case ContentEncoding::Service:
    case ContentEncoding::ServiceWithWarmUp:
        value.content = ServiceItem {};
        break;
    case ContentEncoding::Limits:
        value.content = CallerLimits {};
        break;
    default:
        throw DecodeError("unknown encoding of an item's content");
    }
    serializeContent(archive, value.content, encoding);
    archive(value.document);
}
// NOLINTEND(readability-identifier-naming)

template <typename Archive>
void serialize(Archive& archive, ItemDeletion& value)
{
    archive(value.kind, value.name, value.version);
}

template <typename Archive>
void serialize(Archive& archive, ChangeItems& value)
{
    archive(value.upserts, value.deletions);
}

template <typename Archive>
void serialize(Archive& archive, UpstreamKey& value)
{
    archive(value.name, value.incarnation);
}

template <typename Archive>
void serialize(Archive& archive, RegisterUpstream& value)
{
    archive(value.key, value.service, value.endpoint, value.zone, value.requestSlots, value.isDraining);
}

template <typename Archive>
void serialize(Archive& archive, RemoveUpstream& value)
{
    archive(value.key, value.hasLeft);
}

template <typename Archive>
void serialize(Archive& archive, BeginWarmUp& value)
{
    archive(value.key, value.timeLeft);
}

template <typename Archive>
void serialize(Archive& archive, EvacuateZone& value)
{
    archive(value.zone, value.isEvacuated);
}

template <typename Archive>
void serialize(Archive& archive, KeyRangeGrant& value)
{
    archive(value.first, value.last, value.owner, value.handover, value.expectedDelay);
}

template <typename Archive>
void serialize(Archive& archive, AssignKeyRanges& value)
{
    archive(value.service, value.grants);
}

template <typename Archive>
void serialize(Archive& archive, KeyRangeMove& value)
{
    archive(value.first, value.last, value.target);
}

template <typename Archive>
void serialize(Archive& archive, BeginKeyMoves& value)
{
    archive(value.service, value.moves);
}

template <typename Archive>
void serialize(Archive& archive, KeyRange& value)
{
    archive(value.first, value.last, value.owner, value.fence, value.handover, value.target);
}

template <typename Archive>
void serialize(Archive& archive, RegisteredUpstream& value)
{
    archive(value.announcement, value.state, value.changedAt);
}

template <typename Archive>
void serialize(Archive& archive, ItemRecord& value)
{
    archive(value.kind, value.item, value.isDeleted);
}

template <typename Archive>
void serialize(Archive& archive, ServiceKeys& value)
{
    archive(value.service, value.ranges);
}

template <typename Archive>
void serialize(Archive& archive, LogEntry& value)
{
    archive(value.term, value.index, value.command);
}

template <typename Archive>
void serialize(Archive& archive, UpstreamRecord& value)
{
    archive(value.id, value.session, value.attachment, value.isDraining, value.unacknowledgedSessions);
}

template <typename Archive>
void serialize(Archive& archive, SlotRecord& value)
{
    archive(value.owner, value.fence, value.moveTarget, value.freedAt, value.lastOwnerChecksGrants);
}

template <typename Archive>
void serialize(Archive& archive, HotKeyRecord& value)
{
    archive(value.slot, value.key, value.record);
}

template <typename Archive>
void serialize(Archive& archive, ServiceRecord& value)
{
    archive(value.service, value.partitions, value.moveSince);
}

template <typename Archive>
void serialize(Archive& archive, OwnershipSnapshot& value)
{
    archive(value.appliedIndex, value.accepted, value.previous, value.rolloutStage, value.upstreams, value.services, value.hotKeys, value.nextHotKeySlot, value.members);
}

template <typename Archive>
void serialize(Archive& archive, ApplyOutcome& value)
{
    archive(value.code, value.upstream, value.session, value.winner, value.winnerSigners);
}

template <typename Archive>
void serialize(Archive& archive, VoteRequest& value)
{
    archive(value.term, value.disk, value.lastIndex, value.lastTerm, value.isPreVote, value.voterDisk);
}

template <typename Archive>
void serialize(Archive& archive, VoteReply& value)
{
    archive(value.term, value.disk, value.isGranted, value.isPreVote);
}

template <typename Archive>
void serialize(Archive& archive, AppendRequest& value)
{
    archive(value.term, value.previousIndex, value.previousTerm, value.commitIndex, value.entries, value.round);
}

template <typename Archive>
void serialize(Archive& archive, AppendReply& value)
{
    archive(value.term, value.disk, value.isAccepted, value.matchIndex, value.round);
}

template <typename Archive>
void serialize(Archive& archive, SnapshotChunk& value)
{
    archive(value.term, value.lastIndex, value.lastTerm, value.offset, value.totalBytes, value.bytes, value.members);
}

template <typename Archive>
void serialize(Archive& archive, SnapshotReply& value)
{
    archive(value.term, value.disk, value.lastIndex, value.nextOffset);
}

template <typename Archive>
void serialize(Archive& archive, SlotLoad& value)
{
    archive(value.slot, value.requests);
}

template <typename Archive>
void serialize(Archive& archive, HotKeySample& value)
{
    archive(value.service, value.key, value.requests);
}

template <typename Archive>
void serialize(Archive& archive, DelegationRequest& value)
{
    archive(value.sequence, value.boot, value.appliedIndex, value.bundleInForce, value.isHealthy, value.loads, value.hotKeys);
}

template <typename Archive>
void serialize(Archive& archive, DelegationReply& value)
{
    archive(value.sequence, value.code, value.length, value.commitIndex, value.leader);
}

template <typename Archive>
void serialize(Archive& archive, FeedRequest& value)
{
    archive(value.sequence, value.appliedIndex, value.snapshotIndex, value.snapshotOffset);
}

template <typename Archive>
void serialize(Archive& archive, FeedReply& value)
{
    archive(value.sequence, value.lastIndex, value.entries, value.snapshotOffset, value.snapshotTotalBytes, value.snapshotIndex, value.snapshotBytes);
}

template <typename Archive>
void serialize(Archive& archive, ProposeRequest& value)
{
    archive(value.sequence, value.command);
}

template <typename Archive>
void serialize(Archive& archive, ProposeReply& value)
{
    archive(value.sequence, value.code, value.index, value.outcome, value.leader);
}

// NOLINTBEGIN(readability-identifier-naming): cereal prescribes the names.
void CEREAL_SAVE_FUNCTION_NAME(EncodeArchive& archive, const RegistrySnapshot& value)
{
    archive(value.appliedIndex, value.itemsChangedAt, value.items, value.upstreams, value.keys, value.members);
    // Earlier versions end here and reject further bytes.
    if (!value.evacuatedZones.empty() || !value.warmUps.empty()) {
        archive(value.evacuatedZones, value.warmUps);
    }
}

void CEREAL_LOAD_FUNCTION_NAME(DecodeArchive& archive, RegistrySnapshot& value)
{
    archive(value.appliedIndex, value.itemsChangedAt, value.items, value.upstreams, value.keys, value.members);
    if (archive.remaining() > 0) {
        archive(value.evacuatedZones, value.warmUps);
    }
}
// NOLINTEND(readability-identifier-naming)

template <typename Archive>
void serialize(Archive& archive, KeyLoad& value)
{
    archive(value.first, value.last, value.requests, value.answered, value.busyMs);
}

template <typename Archive>
void serialize(Archive& archive, ServiceKeyLoad& value)
{
    archive(value.service, value.loads);
}

template <typename Archive>
void serialize(Archive& archive, KeyLoadReport& value)
{
    archive(value.entry, value.services);
}

template <typename Archive>
void serialize(Archive& archive, KeyLoadReply& value)
{
    archive(value.entryCount);
}

template <typename Archive>
void serialize(Archive& archive, JoinRequest& value)
{
    archive(value.node, value.disk);
}

template <typename Archive>
void serialize(Archive& archive, MemberProbe& value)
{
    archive(value.sequence);
}

template <typename Archive>
void serialize(Archive& archive, MemberProbeReply& value)
{
    archive(value.sequence);
}

template <typename Archive>
void serialize(Archive& archive, MemberUnavailableReply& value)
{
    archive(value.sequence);
}

template <typename Archive>
void serialize(Archive& archive, HardState& value)
{
    archive(value.term, value.votedFor, value.votedForDisk);
}

template <typename Archive>
void serialize(Archive& archive, LedgerSnapshot& value)
{
    archive(value.lastIndex, value.lastTerm, value.members, value.bytes);
}

namespace {

    template <typename T>
    std::vector<std::uint8_t> encode(const T& value)
    {
        std::vector<std::uint8_t> bytes;
        EncodeArchive archive { bytes };
        archive(value);
        return bytes;
    }

    template <typename T>
    Result<T> decode(std::span<const std::uint8_t> bytes, ResultCode malformed)
    {
        try {
            DecodeArchive archive { bytes };
            T value;
            archive(value);
            if (archive.remaining() != 0) {
                return { malformed, std::to_string(archive.remaining()) + " unexpected bytes at the end" };
            }
            return value;
        } catch (const cereal::Exception& exception) {
            return { malformed, exception.what() };
        }
    }

}

std::vector<std::uint8_t> encodeMessage(const PeerMessage& message)
{
    return encode(message);
}

Result<PeerMessage> decodeMessage(std::span<const std::uint8_t> bytes)
{
    return decode<PeerMessage>(bytes, ResultCode::MessageMalformed);
}

std::vector<std::uint8_t> encodeLogEntry(const LogEntry& entry)
{
    return encode(entry);
}

Result<LogEntry> decodeLogEntry(std::span<const std::uint8_t> bytes)
{
    return decode<LogEntry>(bytes, ResultCode::LogCorrupt);
}

std::vector<std::uint8_t> encodeHardState(const HardState& state)
{
    return encode(state);
}

Result<HardState> decodeHardState(std::span<const std::uint8_t> bytes)
{
    return decode<HardState>(bytes, ResultCode::LogCorrupt);
}

std::vector<std::uint8_t> encodeOwnershipSnapshot(const OwnershipSnapshot& snapshot)
{
    return encode(snapshot);
}

Result<OwnershipSnapshot> decodeOwnershipSnapshot(std::span<const std::uint8_t> bytes)
{
    return decode<OwnershipSnapshot>(bytes, ResultCode::SnapshotCorrupt);
}

std::vector<std::uint8_t> encodeRegistrySnapshot(const RegistrySnapshot& snapshot)
{
    return encode(snapshot);
}

Result<RegistrySnapshot> decodeRegistrySnapshot(std::span<const std::uint8_t> bytes)
{
    return decode<RegistrySnapshot>(bytes, ResultCode::SnapshotCorrupt);
}

std::vector<std::uint8_t> encodeLedgerSnapshot(const LedgerSnapshot& snapshot)
{
    return encode(snapshot);
}

Result<LedgerSnapshot> decodeLedgerSnapshot(std::span<const std::uint8_t> bytes)
{
    return decode<LedgerSnapshot>(bytes, ResultCode::SnapshotCorrupt);
}

}
