#include "node/RequestRecorder.h"

namespace teaselturn {

void RequestRecorder::finished(const RequestSpec& request, Outcome outcome, ResultCode code, Duration latency)
{
    if (outcome == Outcome::Answered) {
        return;
    }
    const auto event = outcome == Outcome::Unknown ? LogEvent::RequestUnknown : LogEvent::RequestNotRun;
    if (this->logger.isEnabled(event)) {
        const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(latency).count();
        this->logger.log(event, "", { { "request", request.requestId }, { "service", request.service }, { "code", static_cast<unsigned>(code) }, { "ms", milliseconds } });
    }
}

void RequestRecorder::attempted(const RequestSpec& request, UpstreamId upstream, AttemptResult result, Duration /*latency*/)
{
    if (result == AttemptResult::Incomplete || result == AttemptResult::Mismatched) {
        this->logger.log(LogEvent::AnswerDropped, "", { { "request", request.requestId }, { "upstream", upstream } });
    } else if (result == AttemptResult::TimedOut || result == AttemptResult::Broken) {
        this->logger.log(LogEvent::ConnectionReplaced, "", { { "request", request.requestId }, { "upstream", upstream } });
    }
}

void RequestRecorder::circuitOpened(UpstreamId upstream)
{
    this->logger.log(LogEvent::CircuitOpened, "", { { "upstream", upstream } });
}

}
