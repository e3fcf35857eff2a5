#include "LoadGenerator.h"

#include "adapters/clock/SteadyClock.h"
#include "adapters/http/HttpClient.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <span>
#include <thread>
#include <unistd.h>

using namespace teaselturn;

namespace {

/// Stateless variant of SplitMix64: returns the pseudo-random number at a position of a seeded sequence.
std::uint64_t splitMix64(std::uint64_t seed, std::uint64_t position)
{
    auto value = seed * 0x9e3779b97f4a7c15U + position * 0xbf58476d1ce4e5b9U + 0x94d049bb133111ebU;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

/// Time after the deadline for which a response is awaited before the connection counts as broken.
constexpr std::chrono::milliseconds responseGrace { 1'000 };

}

Duration LoadResult::percentile(double share) const
{
    if (this->latencies.empty()) {
        return {};
    }
    const auto last = this->latencies.size() - 1;
    return this->latencies[std::min(last, static_cast<std::size_t>(share * static_cast<double>(last)))];
}

/// Sends the requests of one thread over one persistent connection to each entry VM.
class LoadGenerator::Sender {
public:
    Sender(const Options& options)
        : options(options)
    {
        for (const auto& entry : options.entries) {
            this->clients.push_back(std::make_unique<HttpClient>(entry));
        }
    }

    struct SendResult {
        std::string outcome;
        std::string code;
    };

    SendResult send(std::uint64_t number, const PlannedRequest& request)
    {
        const auto deadline = std::to_string(this->options.deadline.count());
        const auto slot = this->options.directGrant ? std::to_string(this->options.directGrant->slot) : std::string {};
        const auto fence = this->options.directGrant ? std::to_string(this->options.directGrant->fence) : std::string {};
        const HttpHeaderView all[] = { { "Teaselturn-Key", request.key },
            { "Teaselturn-Request-Id", request.id }, { "Teaselturn-Deadline-Ms", deadline },
            { "Teaselturn-Repeatable", request.isIdempotent ? "yes" : "no" },
            { "Teaselturn-Customer", request.customer }, { "Content-Type", "text/plain" },
            { "Teaselturn-Slot", slot }, { "Teaselturn-Fence", fence } };
        constexpr std::size_t grantHeaders = 2;
        const std::span headers { all, std::size(all) - (this->options.directGrant ? 0 : grantHeaders) };
        const auto target = "/s/" + this->options.service + "/load";
        const HttpRequest message { "POST", target, headers, request.id, {} };
        const auto count = this->clients.size();
        // Like a load balancer, tries another entry VM only if nothing was sent.
        for (std::size_t i = 0; i < count; ++i) {
            auto response = this->clients[(number + i) % count]->send(message, this->options.deadline + responseGrace);
            if (response) {
                return this->options.directGrant ? classifyDirectResponse(*response, request) : classifyResponse(*response, request);
            }
            if (response.error() != make_error_code(ResultCode::HttpUnreachable)) {
                return { "unknown", std::to_string(response.error().value()) };
            }
        }
        return { "not-run", std::to_string(static_cast<int>(ResultCode::HttpUnreachable)) };
    }

private:
    static SendResult classifyResponse(const HttpResponse& response, const PlannedRequest& request)
    {
        SendResult sendResult { std::string { response.header("Teaselturn-Outcome") },
            std::string { response.header("Teaselturn-Code") } };
        if (sendResult.outcome.empty()) {
            return { "unknown", std::to_string(response.status) };
        }
        const bool isMatching = response.header("Teaselturn-Request-Id") == request.id
            && (sendResult.outcome != "answered" || response.body == "ran " + request.id + " " + request.key + "\n");
        return isMatching ? sendResult : SendResult { "wrong-answer", sendResult.code };
    }

    /// Responses sent by an upstream itself have no outcome header; a refusal shows that the request did not run.
    static SendResult classifyDirectResponse(const HttpResponse& response, const PlannedRequest& request)
    {
        const auto code = std::to_string(response.status);
        if (response.header("Teaselturn-Refused") == "yes") {
            return { "not-run", code };
        }
        const bool isMatching = response.status == 200 && response.header("Teaselturn-Request-Id") == request.id
            && response.body == "ran " + request.id + " " + request.key + "\n";
        return { isMatching ? "answered" : "wrong-answer", code };
    }

    const Options& options;
    std::vector<std::unique_ptr<HttpClient>> clients;
};

LoadGenerator::LoadGenerator(const Options& options)
    : options(options)
    // The process id separates drivers that start in the same microsecond, since entry VMs refuse request ids they have
    // seen before.
    , runId(std::to_string(makeBootId().value) + "-" + std::to_string(getpid()))
    , total(static_cast<std::uint64_t>(options.rate) * static_cast<std::uint64_t>(options.duration.count()) / 1'000)
    , file(options.recordFile.empty() ? nullptr : std::fopen(options.recordFile.c_str(), "a"))
{
    double sum = 0;
    this->cumulativeWeights.reserve(options.keys);
    for (std::uint32_t rank = 1; rank <= options.keys; ++rank) {
        sum += 1 / std::pow(rank, options.skew);
        this->cumulativeWeights.push_back(sum);
    }
}

LoadGenerator::~LoadGenerator()
{
    if (this->file) {
        std::fclose(this->file);
    }
}

LoadGenerator::PlannedRequest LoadGenerator::planRequest(std::uint64_t number) const
{
    const auto random = splitMix64(this->options.seed, 3 * number);
    const auto sample = static_cast<double>(random >> 11U) * 0x1.0p-53 * this->cumulativeWeights.back();
    const auto rank = std::lower_bound(this->cumulativeWeights.begin(), this->cumulativeWeights.end(), sample) - this->cumulativeWeights.begin();
    PlannedRequest request;
    request.id = this->runId + "-" + std::to_string(number);
    request.key = "key-" + std::to_string(rank);
    request.customer = "customer-" + std::to_string(splitMix64(this->options.seed, 3 * number + 1) % this->options.customers);
    request.isIdempotent = splitMix64(this->options.seed, 3 * number + 2) % 100 >= this->options.nonIdempotentPercent;
    return request;
}

void LoadGenerator::recordOutcome(
    const PlannedRequest& request, std::string_view outcome, std::string_view code, Instant sentAt, Instant endedAt)
{
    const auto line = "req " + std::to_string(sentAt.time_since_epoch().count()) + " "
        + std::to_string(endedAt.time_since_epoch().count()) + " " + request.id + " " + this->options.service
        + (request.isIdempotent ? " yes " : " no ") + std::string { outcome } + " " + std::string { code } + " "
        + request.key + "\n";
    const MutexLock lock { this->mutex };
    ++this->result.sent;
    if (outcome == "answered") {
        ++this->result.answered;
        this->result.latencies.push_back(endedAt - sentAt);
    } else if (outcome == "not-run") {
        ++this->result.shed;
    } else if (outcome == "wrong-answer") {
        ++this->result.answered;
        ++this->result.wrongAnswers;
    } else {
        ++this->result.unknown;
    }
    if (this->file) {
        std::fwrite(line.data(), 1, line.size(), this->file);
        std::fflush(this->file);
    }
}

void LoadGenerator::runWorker(Instant start)
{
    const SteadyClock clock;
    Sender sender { this->options };
    const Duration interval = std::chrono::nanoseconds { std::chrono::seconds { 1 } } / this->options.rate;
    for (auto number = this->next++; number < this->total; number = this->next++) {
        const auto scheduledAt = start + static_cast<std::int64_t>(number) * interval;
        std::this_thread::sleep_for(scheduledAt - clock.now());
        const auto request = this->planRequest(number);
        const auto sentAt = clock.now();
        const auto sendResult = sender.send(number, request);
        // Latency counts from the scheduled time, so that a stall is not hidden by requests that are sent late.
        this->recordOutcome(request, sendResult.outcome, sendResult.code, std::min(scheduledAt, sentAt), clock.now());
    }
}

LoadResult LoadGenerator::run()
{
    const auto start = SteadyClock {}.now();
    std::vector<std::thread> threads;
    for (std::uint32_t i = 0; i < this->options.workers; ++i) {
        threads.emplace_back([this, start] { this->runWorker(start); });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    const MutexLock lock { this->mutex };
    std::sort(this->result.latencies.begin(), this->result.latencies.end());
    return this->result;
}
