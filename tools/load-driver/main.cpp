#include "LoadGenerator.h"
#include "Options.h"
#include "RecordChecker.h"

#include <csignal>
#include <cstdio>
#include <fstream>

namespace {

double milliseconds(teaselturn::Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

int runCheck(const Options& options)
{
    RecordChecker checker;
    for (const auto& path : options.checkFiles) {
        std::ifstream input { path };
        if (!input) {
            std::fprintf(stderr, "load-driver: cannot read %s\n", path.c_str());
            return 2;
        }
        checker.read(input);
    }
    const auto result = checker.evaluate();
    std::printf("%llu reported not run but ran, %llu wrong answers, %llu malformed lines\n",
        static_cast<unsigned long long>(result.wrongNotRun), static_cast<unsigned long long>(result.wrongAnswers),
        static_cast<unsigned long long>(result.malformed));
    std::printf("%s\n", result.summary().c_str());
    return result.isClean() ? 0 : 1;
}

int runLoad(const Options& options)
{
    LoadGenerator generator { options };
    if (!generator.isRecordOpen()) {
        std::fprintf(stderr, "load-driver: cannot open %s\n", options.recordFile.c_str());
        return 2;
    }
    const auto result = generator.run();
    std::printf("seed %llu; latency of answered requests: p50 %.1f ms, p90 %.1f ms, p99 %.1f ms, highest %.1f ms\n",
        static_cast<unsigned long long>(options.seed), milliseconds(result.percentile(0.5)),
        milliseconds(result.percentile(0.9)), milliseconds(result.percentile(0.99)),
        milliseconds(result.percentile(1)));
    std::printf("%llu sent, %llu answered, %llu shed, %llu unknown, %llu wrong answers\n",
        static_cast<unsigned long long>(result.sent), static_cast<unsigned long long>(result.answered),
        static_cast<unsigned long long>(result.shed), static_cast<unsigned long long>(result.unknown),
        static_cast<unsigned long long>(result.wrongAnswers));
    return result.wrongAnswers == 0 ? 0 : 1;
}

}

int main(int count, char** arguments)
{
    const auto options = parseOptions(count, arguments);
    if (!options) {
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    return options->isCheck ? runCheck(*options) : runLoad(*options);
}
