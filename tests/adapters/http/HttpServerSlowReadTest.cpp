#include "adapters/http/HttpServer.h"

#include "adapters/http/SlowCaller.h"

#include <catch2/catch.hpp>
#include <thread>

using namespace teaselturn;
using namespace std::chrono_literals;

namespace {

const std::string lastRequest = "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";

/// A server with one worker, whose responses exceed what the kernel buffers.
struct LongResponses {
    explicit LongResponses(HttpServerSettings settings)
        : server(std::move(HttpServer::start(std::move(settings), this->workers, [this](const HttpRequest& request) { return HttpResponse { 200, {}, request.target == "/short" ? "ok" : this->body }; })).value())
    {
    }

    Endpoint endpoint() const { return { "127.0.0.1", this->server->port() }; }

    /// @return True if the worker serves another request within 5 s.
    bool isWorkerFree() const
    {
        SlowCaller other { this->endpoint() };
        const auto sentAt = std::chrono::steady_clock::now();
        REQUIRE(other.send("GET /short HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"));
        other.readToEnd();
        return other.receivedBody() == "ok" && std::chrono::steady_clock::now() - sentAt < 5s;
    }

    const std::string body = std::string(limits::maxBodyBytes, 'x');
    WorkerPool workers { 1, 16 };
    std::unique_ptr<HttpServer> server;
};

/// Reads about 2.5 MB/s until the connection has ended.
void readSlowly(SlowCaller& caller)
{
    constexpr std::size_t stepBytes = 64 * 1'024;
    for (std::size_t next = stepBytes; caller.readSome();) {
        if (caller.received.size() >= next) {
            next += stepBytes;
            std::this_thread::sleep_for(25ms);
        }
    }
}

}

TEST_CASE("HTTP server does not cut a response that its caller reads slowly but steadily", "[http]")
{
    // The time limit was one for the whole response, so a long response over a slow link was cut. The kernel takes more bytes
    // only when a third of its buffer is free, so this limit is shorter than the time between two writes.
    HttpServerSettings settings;
    settings.transferTimeout = 500ms;
    LongResponses fixture { settings };
    SlowCaller caller { fixture.endpoint() };
    REQUIRE(caller.send(lastRequest));
    readSlowly(caller);
    CHECK(caller.receivedBody().size() == fixture.body.size());
    CHECK(caller.end == SlowCaller::End::Orderly);
}

TEST_CASE("HTTP server ends a response whose caller does not read", "[http]")
{
    // Such a caller must not hold a worker.
    HttpServerSettings settings;
    settings.transferTimeout = 300ms;
    const LongResponses fixture { settings };
    const SlowCaller caller { fixture.endpoint() };
    REQUIRE(caller.send(lastRequest));
    CHECK(fixture.isWorkerFree());
}

TEST_CASE("HTTP server ends a response that takes too long in total", "[http]")
{
    // A caller that reads a byte at a time must not hold a worker for hours.
    HttpServerSettings settings;
    settings.maxResponseTime = 500ms;
    const LongResponses fixture { settings };
    SlowCaller caller { fixture.endpoint() };
    REQUIRE(caller.send(lastRequest));
    std::thread reader { [&] { readSlowly(caller); } };
    CHECK(fixture.isWorkerFree());
    reader.join();
    CHECK(caller.receivedBody().size() < fixture.body.size());
}
