#pragma once

#include "adapters/log/Logger.h"
#include "core/request/RequestMachine.h"
#include "teaselturn/Types.h"

namespace teaselturn {

/// Hears how callers' requests and their attempts ended. Models RequestObserver.
class RequestRecorder {
public:
    explicit RequestRecorder(Logger& logger)
        : logger(logger)
    {
    }

    void finished(const RequestSpec& request, Outcome outcome, ResultCode code, Duration latency);
    void attempted(const RequestSpec& request, UpstreamId upstream, AttemptResult result, Duration latency);
    void circuitOpened(UpstreamId upstream);

private:
    Logger& logger;
};

}
