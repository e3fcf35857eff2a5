#pragma once

#include <array>
#include <cstdint>
#include <string_view>
#include <system_error>

namespace teaselturn {

/// Numbered result codes. Each number has one row in resultCodeTable and one in docs/error-codes.md.
enum class ResultCode : std::uint16_t {
    Ok = 0,
    Internal = 1,

    // 1xxx: command line and settings.
    UsageError = 1001,
    SettingsUnreadable = 1002,
    SettingsSyntax = 1003,
    SettingsUnknownMember = 1004,
    SettingsDuplicateMember = 1005,
    SettingsMissingMember = 1006,
    SettingsInvalidValue = 1007,

    // 2xxx: bundles.
    BundleSyntax = 2001,
    BundleInvalid = 2002,
    BundleSignatureInvalid = 2003,
    BundleTooFewSignatures = 2004,
    BundleUnknownSigner = 2005,
    BundleConflict = 2006,
    BundleOutdated = 2007,
    BundleTooLarge = 2008,
    KeyFileInvalid = 2009,

    // 3xxx: requests of callers.
    RequestMalformed = 3001,
    RequestKeyInvalid = 3002,
    RequestIdInvalid = 3003,
    RequestDeadlineInvalid = 3004,
    RequestRepeatableInvalid = 3005,
    RequestServiceUnknown = 3006,
    RequestTooLarge = 3007,
    RequestNoOwner = 3101,
    RequestShed = 3102,
    RequestDeadlineExceeded = 3103,
    RequestRefusedByUpstream = 3104,
    RequestConnectionRefused = 3105,
    RequestDraining = 3106,
    RequestTableStale = 3107,
    RequestDuplicate = 3108,
    RequestBalanceExhausted = 3109,
    RequestCircuitOpen = 3110,
    RequestRetryBudgetExhausted = 3111,
    RequestLinkFull = 3112,
    RequestRegionUnavailable = 3113,
    RequestZoneEvacuated = 3114,
    RequestUpstreamCold = 3115,
    RequestOutcomeUnknown = 3201,
    ResponseIncomplete = 3202,
    ResponseMismatched = 3203,
    ResponseAmbiguous = 3204,

    // 4xxx: messages between processes of the system.
    MessageMalformed = 4001,
    MessageTooLarge = 4002,
    MessageVersionUnknown = 4003,
    MessageUnauthenticated = 4004,
    MessageReplayed = 4005,
    MessageUnknownPeer = 4006,
    PeerUnreachable = 4007,

    // 5xxx: ledger.
    NotLeader = 5001,
    NoQuorum = 5002,
    ProposalDropped = 5003,
    ProposalQueueFull = 5004,
    LogCorrupt = 5005,
    LogWriteFailed = 5006,
    DataFolderInvalid = 5007,
    SnapshotCorrupt = 5008,
    MembershipChangePending = 5009,
    LogCompacted = 5010,
    MembershipChangeInvalid = 5011,

    // 6xxx: ownership, sessions, leases.
    UpstreamUnknown = 6001,
    SessionOutdated = 6002,
    FenceOutdated = 6003,
    SlotUnknown = 6004,
    DelegationMissing = 6005,
    TooManyUpstreams = 6006,
    UpstreamDraining = 6007,
    HeartbeatInvalid = 6008,
    AlreadyApplied = 6009,
    ZoneRetired = 6010,
    TooManyHotKeys = 6011,
    ItemsInvalid = 6012,
    ItemConflict = 6013,
    KeyOutOfRange = 6014,

    // 7xxx: process and adapters.
    ListenFailed = 7001,
    QueueFull = 7002,
    ShuttingDown = 7003,
    TlsInvalid = 7004,
    HttpUnreachable = 7005,
    HttpUnexpectedResponse = 7006,
};

/// Row of resultCodeTable.
struct ResultCodeRow {
    ResultCode code;
    std::string_view name;
    std::string_view message;
};

/// All result codes with name and message, in ascending order of number.
extern const std::array<ResultCodeRow, 82> resultCodeTable;

/// @return The error category of ResultCode.
const std::error_category& resultCategory() noexcept;

/// Converts a ResultCode to a std::error_code of resultCategory(). Called implicitly by std::error_code's constructor.
std::error_code make_error_code(ResultCode code) noexcept;

/// @param code A result code.
/// @return Its name as listed in docs/error-codes.md, or an empty view if it is not listed.
std::string_view resultCodeName(ResultCode code) noexcept;

}

template <>
struct std::is_error_code_enum<teaselturn::ResultCode> : std::true_type {
};
