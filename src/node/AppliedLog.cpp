#include "node/AppliedLog.h"

#include <variant>

namespace teaselturn {

namespace {

    /// Logs one applied command. Commands without an overload are not logged.
    class AppliedLogger {
    public:
        AppliedLogger(Logger& logger, const AppliedEntry& applied)
            : logger(logger)
            , index(applied.entry.index)
            , outcome(applied.outcome)
        {
        }

        void operator()(const AttachUpstream& command) const
        {
            this->logger.log(LogEvent::UpstreamAttached, "", { { "index", this->index }, { "name", command.name }, { "upstream", this->outcome.upstream }, { "session", this->outcome.session }, { "steward", command.leaseManager } });
        }

        void operator()(const ExpireUpstream& command) const
        {
            this->logger.log(LogEvent::UpstreamExpired, "", { { "index", this->index }, { "upstream", command.upstream }, { "reason", static_cast<unsigned>(command.reason) } });
        }

        void operator()(const DrainUpstream& command) const
        {
            this->logger.log(LogEvent::UpstreamDraining, "", { { "index", this->index }, { "upstream", command.upstream } });
        }

        void operator()(const AssignSlots& command) const
        {
            this->logger.log(LogEvent::SlotsAssigned, "", { { "index", this->index }, { "slots", command.assignments.size() } });
        }

        void operator()(const BeginMove& command) const
        {
            this->logger.log(LogEvent::MoveStarted, "", { { "index", this->index }, { "slots", command.moves.size() } });
        }

        void operator()(const ReleaseSlots& command) const
        {
            this->logger.log(LogEvent::SlotsReleased, "", { { "index", this->index }, { "upstream", command.upstream }, { "slots", command.releases.size() } });
        }

        void operator()(const AcceptBundle& command) const
        {
            this->logger.log(LogEvent::BundleAccepted, "", { { "index", this->index }, { "version", command.bundle.bundle.version } });
        }

        void operator()(const AdvanceRollout& command) const
        {
            this->logger.log(LogEvent::RolloutAdvanced, "", { { "index", this->index }, { "version", command.version }, { "stage", command.stage } });
        }

        void operator()(const IsolateHotKey& command) const
        {
            this->logger.log(LogEvent::HotKeyIsolated, "", { { "index", this->index }, { "service", command.service } });
        }

        void operator()(const ChangeMembers& command) const
        {
            this->logger.log(LogEvent::MembersChanged, "", { { "index", this->index }, { "members", command.members.size() } });
        }

        template <typename T>
        void operator()(const T&) const
        {
        }

    private:
        Logger& logger;
        LogIndex index;
        const ApplyOutcome& outcome;
    };

}

void logApplied(Logger& logger, std::span<const AppliedEntry> applied)
{
    for (const auto& item : applied) {
        if (item.outcome.code == ResultCode::Ok) {
            std::visit(AppliedLogger { logger, item }, item.entry.command);
        } else if (std::holds_alternative<AcceptBundle>(item.entry.command)) {
            logger.log(LogEvent::BundleRefused, "", { { "index", item.entry.index }, { "code", static_cast<unsigned>(item.outcome.code) } });
        }
    }
}

}
