#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace teaselturn {

/// Severity of a log event.
enum class LogLevel : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error,
    Fatal,
};

/// Numbered log events. Each number has one row in logEventTable and one in docs/log-events.md.
enum class LogEvent : std::uint16_t {
    ProcessStarted = 1001,
    ProcessStopping = 1002,
    ProcessStopped = 1003,
    ListenFailed = 1004,
    SettingsLoaded = 1005,
    DrainDeadlineReached = 1006,
    QueueOverflow = 1007,
    BundleAccepted = 2001,
    BundleRefused = 2002,
    BundleInForce = 2003,
    RolloutAdvanced = 2004,
    RequestRefused = 3001,
    RequestNotRun = 3002,
    RequestUnknown = 3003,
    ResponseDropped = 3004,
    ConnectionReplaced = 3005,
    CircuitOpened = 3006,
    CircuitClosed = 3007,
    RequestRetried = 3008,
    ControlRequestRefused = 3009,
    ResponseCut = 3010,
    RequestsHeldBack = 3011,
    ResponseBroken = 3012,
    LateInput = 3013,
    MessageDropped = 4001,
    PeerUnreachable = 4002,
    ElectionStarted = 5001,
    LeaderElected = 5002,
    LeaderSteppedDown = 5003,
    LogTailCut = 5004,
    LogUnusable = 5005,
    SnapshotWritten = 5006,
    SnapshotInstalled = 5007,
    MembersChanged = 5008,
    MembershipUnconfirmed = 5009,
    MembershipConfirmed = 5010,
    UpstreamAttached = 6001,
    UpstreamExpired = 6002,
    UpstreamDraining = 6003,
    SlotsAssigned = 6004,
    MoveStarted = 6005,
    SlotsReleased = 6006,
    DelegationGranted = 6007,
    DelegationLost = 6008,
    HeartbeatRefused = 6009,
    HotKeyIsolated = 6010,
    UpstreamRegistered = 6011,
    UpstreamRemoved = 6012,
    KeysAssigned = 6013,
    KeyMovesBegun = 6014,
    ItemsChanged = 6015,
    FeedLost = 6016,
    FeedRegained = 6017,
    EvacuationRecorded = 6018,
    EvacuationApplied = 6019,
    WarmUpBegun = 6020,
    FeedDelayed = 6021,
    FeedDelayEnded = 6022,
};

/// Row of logEventTable.
struct LogEventRow {
    LogEvent event;
    std::string_view name;
    LogLevel level;
    std::string_view meaning;
};

/// All log events with name, level and meaning, in ascending order of number.
extern const std::array<LogEventRow, 58> logEventTable;

/// @return The event's row in logEventTable, or the first row if the event is not listed.
const LogEventRow& logEventRow(LogEvent event) noexcept;

/// @return The level's name as written in settings and logs.
std::string_view logLevelName(LogLevel level) noexcept;

}
