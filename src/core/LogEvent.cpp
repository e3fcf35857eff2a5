#include "teaselturn/LogEvent.h"

#include <algorithm>

namespace teaselturn {

const std::array<LogEventRow, 58> logEventTable { {
    { LogEvent::ProcessStarted, "ProcessStarted", LogLevel::Info, "the process started" },
    { LogEvent::ProcessStopping, "ProcessStopping", LogLevel::Info, "the process is draining" },
    { LogEvent::ProcessStopped, "ProcessStopped", LogLevel::Info, "the process stopped" },
    { LogEvent::ListenFailed, "ListenFailed", LogLevel::Error, "an address cannot be listened on" },
    { LogEvent::SettingsLoaded, "SettingsLoaded", LogLevel::Info, "the settings were loaded" },
    { LogEvent::DrainDeadlineReached, "DrainDeadlineReached", LogLevel::Warning, "the drain deadline passed with requests in flight" },
    { LogEvent::QueueOverflow, "QueueOverflow", LogLevel::Warning, "a bounded queue is full" },
    { LogEvent::BundleAccepted, "BundleAccepted", LogLevel::Info, "a bundle was accepted" },
    { LogEvent::BundleRefused, "BundleRefused", LogLevel::Warning, "a bundle was refused" },
    { LogEvent::BundleInForce, "BundleInForce", LogLevel::Info, "a bundle came into force" },
    { LogEvent::RolloutAdvanced, "RolloutAdvanced", LogLevel::Info, "the rollout reached another region" },
    { LogEvent::RequestRefused, "RequestRefused", LogLevel::Debug, "a malformed request was refused" },
    { LogEvent::RequestNotRun, "RequestNotRun", LogLevel::Info, "a request ended as not run" },
    { LogEvent::RequestUnknown, "RequestUnknown", LogLevel::Warning, "a request ended with unknown outcome" },
    { LogEvent::ResponseDropped, "AnswerDropped", LogLevel::Warning, "an answer was incomplete or belonged to another request" },
    { LogEvent::ConnectionReplaced, "ConnectionReplaced", LogLevel::Info, "a connection without progress was closed" },
    { LogEvent::CircuitOpened, "CircuitOpened", LogLevel::Warning, "the circuit breaker of an upstream opened" },
    { LogEvent::CircuitClosed, "CircuitClosed", LogLevel::Info, "the circuit breaker of an upstream closed" },
    { LogEvent::RequestRetried, "RequestRetried", LogLevel::Info, "a request goes to an upstream again" },
    { LogEvent::ControlRequestRefused, "CallRefused", LogLevel::Info, "a call of an operator or upstream was refused" },
    { LogEvent::ResponseCut, "ResponseCut", LogLevel::Warning, "a connection was closed before its caller had received a whole response" },
    { LogEvent::RequestsHeldBack, "RequestsHeldBack", LogLevel::Warning, "a limit far under the stated slots holds requests back" },
    { LogEvent::ResponseBroken, "ResponseBroken", LogLevel::Warning, "a response broke off after its beginning was forwarded; the caller's connection is closed" },
    { LogEvent::LateInput, "LateInput", LogLevel::Info, "a caller sent something on a connection that had been closed because it was idle" },
    { LogEvent::MessageDropped, "MessageDropped", LogLevel::Warning, "a message from a peer was dropped" },
    { LogEvent::PeerUnreachable, "PeerUnreachable", LogLevel::Debug, "a peer cannot be reached" },
    { LogEvent::ElectionStarted, "ElectionStarted", LogLevel::Info, "an election started" },
    { LogEvent::LeaderElected, "LeaderElected", LogLevel::Info, "this member became the leader" },
    { LogEvent::LeaderSteppedDown, "LeaderSteppedDown", LogLevel::Info, "this member stepped down" },
    { LogEvent::LogTailCut, "LogTailCut", LogLevel::Warning, "an incomplete record at the end of the log was cut" },
    { LogEvent::LogUnusable, "LogUnusable", LogLevel::Fatal, "the log is corrupt or cannot be written" },
    { LogEvent::SnapshotWritten, "SnapshotWritten", LogLevel::Info, "a snapshot was written" },
    { LogEvent::SnapshotInstalled, "SnapshotInstalled", LogLevel::Info, "a snapshot was installed" },
    { LogEvent::MembersChanged, "MembersChanged", LogLevel::Info, "the ledger members changed" },
    { LogEvent::MembershipUnconfirmed, "MembershipUnconfirmed", LogLevel::Warning, "no leader confirms that this process is a member; it requests to join" },
    { LogEvent::MembershipConfirmed, "MembershipConfirmed", LogLevel::Info, "a leader confirms that this process is a member" },
    { LogEvent::UpstreamAttached, "UpstreamAttached", LogLevel::Info, "an upstream attached to a steward" },
    { LogEvent::UpstreamExpired, "UpstreamExpired", LogLevel::Info, "an upstream lost its lease" },
    { LogEvent::UpstreamDraining, "UpstreamDraining", LogLevel::Info, "an upstream is leaving" },
    { LogEvent::SlotsAssigned, "SlotsAssigned", LogLevel::Info, "slots were assigned" },
    { LogEvent::MoveStarted, "MoveStarted", LogLevel::Info, "a planned move of slots started" },
    { LogEvent::SlotsReleased, "SlotsReleased", LogLevel::Info, "slots were released" },
    { LogEvent::DelegationGranted, "DelegationGranted", LogLevel::Debug, "the leader granted a delegation" },
    { LogEvent::DelegationLost, "DelegationLost", LogLevel::Warning, "this entry VM holds no valid delegation" },
    { LogEvent::HeartbeatRefused, "HeartbeatRefused", LogLevel::Debug, "a heartbeat was refused" },
    { LogEvent::HotKeyIsolated, "HotKeyCarved", LogLevel::Info, "a hot key got a slot of its own" },
    { LogEvent::UpstreamRegistered, "UpstreamRegistered", LogLevel::Info, "an upstream announced itself, or that it is leaving" },
    { LogEvent::UpstreamRemoved, "UpstreamRemoved", LogLevel::Info, "an upstream left or fell silent" },
    { LogEvent::KeysAssigned, "KeysAssigned", LogLevel::Info, "key ranges got owners" },
    { LogEvent::KeyMovesBegun, "KeyMovesBegun", LogLevel::Info, "key ranges are to move" },
    { LogEvent::ItemsChanged, "ItemsChanged", LogLevel::Info, "configuration items changed" },
    { LogEvent::FeedLost, "FeedLost", LogLevel::Warning, "no member answers the feed of the registry" },
    { LogEvent::FeedRegained, "FeedRegained", LogLevel::Info, "a member answers the feed of the registry" },
    { LogEvent::EvacuationRecorded, "EvacuationRecorded", LogLevel::Info, "an order to evacuate an availability zone, or its withdrawal, was recorded" },
    { LogEvent::EvacuationApplied, "EvacuationApplied", LogLevel::Info, "an entry VM applies an order to evacuate an availability zone, or its withdrawal" },
    { LogEvent::WarmUpBegun, "WarmUpBegun", LogLevel::Info, "an upstream is cold and gets few requests" },
    { LogEvent::FeedDelayed, "FeedDelayed", LogLevel::Warning, "the copy of the registry is not current; a full link carries fewer requests" },
    { LogEvent::FeedDelayEnded, "FeedDelayEnded", LogLevel::Info, "the copy of the registry is current again, or the link was not the cause" },
} };

const LogEventRow& logEventRow(LogEvent event) noexcept
{
    const auto row = std::ranges::find(logEventTable, event, &LogEventRow::event);
    return row == logEventTable.end() ? logEventTable.front() : *row;
}

std::string_view logLevelName(LogLevel level) noexcept
{
    static constexpr std::array<std::string_view, 5> names { "debug", "info", "warning", "error", "fatal" };
    return names[static_cast<std::size_t>(level)];
}

}
