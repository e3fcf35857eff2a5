#include "Grants.h"
#include "Options.h"
#include "Record.h"
#include "TruncatingRelay.h"
#include "adapters/clock/SteadyClock.h"
#include "adapters/http/HttpClient.h"
#include "adapters/http/HttpServer.h"

#include <atomic>
#include <charconv>
#include <csignal>
#include <cstdio>
#include <random>
#include <thread>

using namespace teaselturn;

namespace {

std::uint64_t headerNumber(const HttpRequest& request, std::string_view name)
{
    const auto text = request.header(name);
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

/// Simulates a frozen process: blocks every thread that calls waitWhileFrozen() during an interval.
class FreezeGate {
public:
    FreezeGate(Instant from, Instant to)
        : from(from)
        , to(to)
    {
    }

    void waitWhileFrozen() const
    {
        const auto now = SteadyClock {}.now();
        if (now >= this->from && now < this->to) {
            std::this_thread::sleep_for(this->to - now);
        }
    }

private:
    const Instant from;
    const Instant to;
};

/// Handles forwarded requests.
class Service {
public:
    Service(const Options& options, Grants& grants, const FreezeGate& gate)
        : options(options)
        , grants(grants)
        , gate(gate)
    {
    }

    HttpResponse handle(const HttpRequest& request)
    {
        this->gate.waitWhileFrozen();
        const auto slot = static_cast<std::uint32_t>(headerNumber(request, "Teaselturn-Slot"));
        const auto fence = headerNumber(request, "Teaselturn-Fence");
        const std::string id { request.header("Teaselturn-Request-Id") };
        const auto deadline
            = SteadyClock {}.now() + std::chrono::milliseconds { headerNumber(request, "Teaselturn-Deadline-Ms") };
        const auto admission = this->grants.admit(slot, fence, deadline);
        if (admission != AdmissionResult::Admitted) {
            return makeRefusal(admission, id);
        }
        std::this_thread::sleep_for(this->options.serviceTime);
        this->gate.waitWhileFrozen();
        const bool hasRun = this->grants.takeEffect(slot, fence, id,
            request.header("Teaselturn-Repeatable") == "yes", request.header("Teaselturn-Key"));
        this->grants.finish(slot, fence);
        return hasRun ? this->makeResponse(request, id) : makeRefusal(AdmissionResult::RefusedByFence, id);
    }

private:
    static HttpResponse makeRefusal(AdmissionResult admission, const std::string& id)
    {
        constexpr int conflict = 409;
        constexpr int unavailable = 503;
        return { admission == AdmissionResult::RefusedByFence ? conflict : unavailable,
            { { "Teaselturn-Request-Id", id }, { "Teaselturn-Refused", "yes" } }, {} };
    }

    static bool isNth(std::uint64_t number, std::uint32_t period) { return period != 0 && number % period == 0; }

    HttpResponse makeResponse(const HttpRequest& request, const std::string& id)
    {
        const auto number = ++this->responseCount;
        if (isNth(number, this->options.delayedResponseEvery)) {
            std::this_thread::sleep_for(this->options.responseDelay);
        }
        const bool isMismatched = isNth(number, this->options.mismatchedResponseEvery);
        return { 200,
            { { "Teaselturn-Request-Id", isMismatched ? "crossed-" + std::to_string(number) : id },
                { "Content-Type", "text/plain" } },
            "ran " + id + " " + std::string { request.header("Teaselturn-Key") } + "\n" };
    }

    const Options& options;
    Grants& grants;
    const FreezeGate& gate;
    std::atomic<std::uint64_t> responseCount {};
};

/// Sends heartbeats to the first entry VM that responds.
class Heartbeats {
public:
    Heartbeats(const Options& options, Grants& grants, const FreezeGate& gate, std::uint16_t port,
        std::uint64_t incarnation)
        : grants(grants)
        , gate(gate)
        , port(port)
        , incarnation(incarnation)
    {
        for (const auto& entry : options.entries) {
            this->clients.push_back(std::make_unique<HttpClient>(entry));
        }
    }

    /// Sends a heartbeat. After a failure, tries the next entry VM at once, each at most once.
    void sendHeartbeat(bool isLeaving)
    {
        for (std::size_t attempt = 0; attempt < this->clients.size(); ++attempt) {
            this->gate.waitWhileFrozen();
            const auto sentAt = SteadyClock {}.now();
            const auto body = encodeHeartbeat(this->grants.makeHeartbeat(this->incarnation, this->port, isLeaving));
            const HttpHeaderView headers[] = { { "Content-Type", "application/json" } };
            auto response = this->clients[this->current]->send(
                { "POST", "/v1/upstreams/heartbeat", headers, body, {} }, requestTimeout);
            this->gate.waitWhileFrozen();
            if (response && response->status == 200) {
                if (auto reply = decodeHeartbeatReply(response->body)) {
                    this->grants.handleReply(sentAt, *reply);
                    return;
                }
            }
            this->current = (this->current + 1) % this->clients.size();
        }
    }

private:
    static constexpr std::chrono::milliseconds requestTimeout { 250 };

    Grants& grants;
    const FreezeGate& gate;
    const std::uint16_t port;
    const std::uint64_t incarnation;
    std::vector<std::unique_ptr<HttpClient>> clients;
    std::size_t current {};
};

/// @return True if one of the signals arrived, false after the interval.
bool waitForSignal(const sigset_t& signals, Duration interval)
{
    const auto seconds = std::chrono::floor<std::chrono::seconds>(interval);
    const timespec timeout { seconds.count(), (interval - seconds).count() };
    return sigtimedwait(&signals, nullptr, &timeout) > 0;
}

int run(const Options& options, const sigset_t& signals)
{
    std::random_device device;
    const auto incarnation = (static_cast<std::uint64_t>(device()) << 32U) | device();
    Record record { options.recordFile, options.service, incarnation };
    if (!record.isOpen()) {
        std::fprintf(stderr, "stand-in-upstream: cannot open %s\n", options.recordFile.c_str());
        return 1;
    }
    const auto start = SteadyClock {}.now();
    const bool isFreezeEnabled = options.freezeAfter.count() > 0;
    const auto freezeAt = isFreezeEnabled ? start + options.freezeAfter : Instant::max();
    const FreezeGate gate { freezeAt, isFreezeEnabled ? freezeAt + options.freezeFor : Instant::max() };
    Grants grants { options, record };
    Service service { options, grants, gate };
    WorkerPool workers { options.requestSlots + options.queueLimit + 8, options.connectionLimit };
    HttpServerSettings settings;
    settings.listen = options.listen;
    settings.maxConnections = options.connectionLimit;
    auto server = HttpServer::start(
        settings, workers, [&service](const HttpRequest& request) { return service.handle(request); });
    if (!server) {
        std::fprintf(stderr, "stand-in-upstream: %s\n", server.failure().describe().c_str());
        return 1;
    }
    TruncatingRelay relay { (*server)->port(), options.truncatedResponseEvery };
    const auto port = options.truncatedResponseEvery == 0 ? (*server)->port() : relay.port();
    std::printf("listening on %s:%u, incarnation %llu\n", options.listen.address.c_str(), static_cast<unsigned>(port),
        static_cast<unsigned long long>(incarnation));
    std::fflush(stdout);
    Heartbeats heartbeats { options, grants, gate, port, incarnation };
    bool isLeaving = false;
    do {
        heartbeats.sendHeartbeat(isLeaving);
        grants.closeIntervals(SteadyClock {}.now());
        const auto interval = isLeaving ? timing::heartbeatInterval / 5 : timing::heartbeatInterval;
        isLeaving = waitForSignal(signals, interval) || isLeaving;
    } while (!isLeaving || !grants.holdsNoSlots(SteadyClock {}.now()));
    static_cast<void>((*server)->drain(std::chrono::seconds { 5 }));
    return 0;
}

}

int main(int count, char** arguments)
{
    const auto options = parseOptions(count, arguments);
    if (!options) {
        return 2;
    }
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return run(*options, signals);
}
