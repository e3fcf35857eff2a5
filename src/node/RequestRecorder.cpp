#include "node/RequestRecorder.h"

namespace teaselturn {

void RequestRecorder::handleRequestEnd(const RequestSpec& request, Outcome outcome, ResultCode code, Duration latency, int upstreamStatus)
{
    const ZoneId ownZone { this->zone.load(std::memory_order_relaxed) };
    this->metrics.recordRequest(request.service, ownZone, outcome, code, latency, request.arrivedAt + latency, upstreamStatus);
    if (outcome == Outcome::Answered) {
        return;
    }
    const auto event = outcome == Outcome::Unknown ? LogEvent::RequestUnknown : LogEvent::RequestNotRun;
    if (this->logger.isEnabled(event)) {
        const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(latency).count();
        this->logger.log(event, "", { { "request", request.requestId }, { "service", request.service }, { "code", static_cast<unsigned>(code) }, { "ms", milliseconds } });
    }
}

void RequestRecorder::handleAttemptEnd(const RequestSpec& request, UpstreamId upstream, AttemptResult result, Duration /*latency*/)
{
    if (const auto route = this->routes.find(request.service, request.key)) {
        this->slots.add(route->slot);
    }
    {
        const MutexLock lock { this->mutex };
        this->keys.add(request.service, request.key);
    }
    if (result == AttemptResult::Incomplete || result == AttemptResult::Mismatched) {
        this->logger.log(LogEvent::ResponseDropped, "", { { "request", request.requestId }, { "upstream", upstream } });
    } else if (result == AttemptResult::TimedOut || result == AttemptResult::Broken) {
        this->logger.log(LogEvent::ConnectionReplaced, "", { { "request", request.requestId }, { "upstream", upstream } });
    }
}

LoadSummary RequestRecorder::drainLoad()
{
    LoadSummary summary;
    summary.loads = this->slots.drain();
    const MutexLock lock { this->mutex };
    summary.hotKeys = this->keys.drain();
    return summary;
}

void RequestRecorder::handleCircuitOpened(UpstreamId upstream)
{
    this->logger.log(LogEvent::CircuitOpened, "", { { "upstream", upstream } });
}

}
