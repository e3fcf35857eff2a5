#include "Grants.h"
#include "Options.h"
#include "Record.h"
#include "ShortAnswerRelay.h"
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

/// Stops every thread that passes it for a while, once, as a frozen process would.
class FreezeGate {
public:
    FreezeGate(Instant from, Instant to)
        : from(from)
        , to(to)
    {
    }

    void pass() const
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

/// Serves forwarded requests.
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
        this->gate.pass();
        const auto slot = static_cast<std::uint32_t>(headerNumber(request, "Teaselturn-Slot"));
        const auto fence = headerNumber(request, "Teaselturn-Fence");
        const std::string id { request.header("Teaselturn-Request-Id") };
        const auto deadline
            = SteadyClock {}.now() + std::chrono::milliseconds { headerNumber(request, "Teaselturn-Deadline-Ms") };
        const auto verdict = this->grants.begin(slot, fence, deadline);
        if (verdict != Verdict::Run) {
            return refusal(verdict, id);
        }
        std::this_thread::sleep_for(this->options.serviceTime);
        this->gate.pass();
        const bool hasRun = this->grants.takeEffect(slot, fence, id,
            request.header("Teaselturn-Repeatable") == "yes", request.header("Teaselturn-Key"));
        this->grants.finish(slot, fence);
        return hasRun ? this->answer(request, id) : refusal(Verdict::RefusedByFence, id);
    }

private:
    static HttpResponse refusal(Verdict verdict, const std::string& id)
    {
        constexpr int conflict = 409;
        constexpr int unavailable = 503;
        return { verdict == Verdict::RefusedByFence ? conflict : unavailable,
            { { "Teaselturn-Request-Id", id }, { "Teaselturn-Refused", "yes" } }, {} };
    }

    static bool isEvery(std::uint64_t number, std::uint32_t every) { return every != 0 && number % every == 0; }

    HttpResponse answer(const HttpRequest& request, const std::string& id)
    {
        const auto number = ++this->answers;
        if (isEvery(number, this->options.answerLateEvery)) {
            std::this_thread::sleep_for(this->options.answerLateBy);
        }
        const bool isCrossed = isEvery(number, this->options.crossAnswersEvery);
        return { 200,
            { { "Teaselturn-Request-Id", isCrossed ? "crossed-" + std::to_string(number) : id },
                { "Content-Type", "text/plain" } },
            "ran " + id + " " + std::string { request.header("Teaselturn-Key") } + "\n" };
    }

    const Options& options;
    Grants& grants;
    const FreezeGate& gate;
    std::atomic<std::uint64_t> answers {};
};

/// Sends heartbeats to the first entry VM that answers.
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

    /// Sends one heartbeat. After a failure the next one goes to the next entry VM at once.
    void beat(bool isLeaving)
    {
        for (std::size_t attempt = 0; attempt < this->clients.size(); ++attempt) {
            this->gate.pass();
            const auto sentAt = SteadyClock {}.now();
            const auto body = encodeHeartbeat(this->grants.heartbeat(this->incarnation, this->port, isLeaving));
            const HttpHeaderView headers[] = { { "Content-Type", "application/json" } };
            auto answer = this->clients[this->current]->send(
                { "POST", "/v1/upstreams/heartbeat", headers, body, {} }, longestCall);
            this->gate.pass();
            if (answer && answer->status == 200) {
                if (auto reply = decodeHeartbeatReply(answer->body)) {
                    this->grants.replied(sentAt, *reply);
                    return;
                }
            }
            this->current = (this->current + 1) % this->clients.size();
        }
    }

private:
    static constexpr std::chrono::milliseconds longestCall { 250 };

    Grants& grants;
    const FreezeGate& gate;
    const std::uint16_t port;
    const std::uint64_t incarnation;
    std::vector<std::unique_ptr<HttpClient>> clients;
    std::size_t current {};
};

/// @return True once SIGTERM or SIGINT arrives, false after the interval.
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
    const bool freezes = options.freezeAfter.count() > 0;
    const auto freezeAt = freezes ? start + options.freezeAfter : Instant::max();
    const FreezeGate gate { freezeAt, freezes ? freezeAt + options.freezeFor : Instant::max() };
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
    ShortAnswerRelay relay { (*server)->port(), options.shortAnswersEvery };
    const auto port = options.shortAnswersEvery == 0 ? (*server)->port() : relay.port();
    std::printf("listening on %s:%u, incarnation %llu\n", options.listen.address.c_str(), static_cast<unsigned>(port),
        static_cast<unsigned long long>(incarnation));
    std::fflush(stdout);
    Heartbeats heartbeats { options, grants, gate, port, incarnation };
    bool isLeaving = false;
    do {
        heartbeats.beat(isLeaving);
        grants.closeIntervals(SteadyClock {}.now());
        const auto interval = isLeaving ? timing::heartbeatInterval / 5 : timing::heartbeatInterval;
        isLeaving = waitForSignal(signals, interval) || isLeaving;
    } while (!isLeaving || !grants.isEmpty(SteadyClock {}.now()));
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
