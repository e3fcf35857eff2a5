#include "adapters/http/HttpListener.h"
#include "adapters/http/HttpServer.h"

#include "adapters/http/RawUpstream.h"
#include "adapters/http/SlowCaller.h"

#include <absl/synchronization/notification.h>
#include <catch2/catch.hpp>

using namespace teaselturn;
using namespace std::chrono_literals;

namespace {

const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string closingRequest = "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";

bool waitUntil(const std::function<bool()>& condition, std::chrono::milliseconds limit = 10s)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < end) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(5ms);
    }
    return false;
}

}

TEST_CASE("a malformed request behind a full pipeline gets its error response")
{
    // It was read after the responses before it had been written, and nothing wrote its own response: the connection stayed
    // open without one, and with an open exchange, so that no time limit closed it.
    Mutex mutex;
    std::vector<HttpRequestId> waiting;
    Reactor reactor { 2 };
    HttpListener listener { reactor, { [&](HttpRequestId id, const ReceivedRequest&) {
                                          const MutexLock lock { mutex };
                                          waiting.push_back(id);
                                      },
                                         {} } };
    REQUIRE(listener.listen({ "127.0.0.1", 0 }));
    reactor.start();
    SlowCaller caller { listener.localEndpoint() };
    std::string pipeline;
    for (int i = 0; i < 16; ++i) {
        pipeline += request;
    }
    REQUIRE(caller.send(pipeline + "malformed\r\n\r\n"));
    REQUIRE(waitUntil([&] {
        const MutexLock lock { mutex };
        return waiting.size() == 16;
    }));
    for (auto id = waiting.rbegin(); id != waiting.rend(); ++id) {
        listener.respond(*id, {});
    }
    caller.readToEnd();
    CHECK(caller.received.find("HTTP/1.1 400") != std::string::npos);
    CHECK(caller.end == SlowCaller::End::Orderly);
    reactor.stop();
}

TEST_CASE("a caller that closes after its whole response does not count as cut")
{
    // The caller's FIN acknowledges the response but not yet the server's FIN, which counts as an unacknowledged byte.
    Reactor reactor { 2 };
    HttpListener* target = nullptr;
    HttpListener listener { reactor, { [&](HttpRequestId id, const ReceivedRequest&) { target->respond(id, { 200, {}, "body", false, "one", {} }); }, {} } };
    target = &listener;
    REQUIRE(listener.listen({ "127.0.0.1", 0 }));
    reactor.start();
    constexpr int rounds = 3'000;
    int whole = 0;
    for (int i = 0; i < rounds; ++i) {
        SlowCaller caller { listener.localEndpoint() };
        REQUIRE(caller.send(closingRequest));
        while (!caller.received.ends_with("body") && caller.readSome()) {
        }
        whole += caller.received.ends_with("body") ? 1 : 0;
    }
    CHECK(whole == rounds);
    waitUntil([&] { return listener.closingConnections() == 0; });
    CHECK(listener.statistics().cut.value() == 0);
    reactor.stop();
}

TEST_CASE("a caller that breaks off its last response does not count as cut by the server")
{
    // checkPeer() reports the caller's reset and its end alike, so that the reason became last-response.
    Reactor reactor { 2 };
    HttpListener* target = nullptr;
    const std::string body(1'024 * 1'024, 'x');
    HttpListener listener { reactor, { [&](HttpRequestId id, const ReceivedRequest&) { target->respond(id, { 200, {}, body, false, "one", {} }); }, {} } };
    target = &listener;
    REQUIRE(listener.listen({ "127.0.0.1", 0 }));
    reactor.start();
    {
        SlowCaller caller { listener.localEndpoint() };
        REQUIRE(caller.send(closingRequest));
        caller.readAtLeast(1);
        REQUIRE(waitUntil([&] { return listener.closingConnections() == 1; }));
    }
    REQUIRE(waitUntil([&] { return listener.closingConnections() == 0; }));
    CHECK(listener.statistics().cut.value() == 0);
    CHECK(listener.statistics().closed[static_cast<std::size_t>(CloseReason::CallerReset)].value() == 1);
    reactor.stop();
}

TEST_CASE("a caller that ends its sending direction during its last response does not count as cut")
{
    // The kernel still sends what it holds after the close, and no input can follow that would reset the connection.
    Reactor reactor { 2 };
    HttpListener* target = nullptr;
    const std::string body(1'024 * 1'024, 'x');
    HttpListener listener { reactor, { [&](HttpRequestId id, const ReceivedRequest&) { target->respond(id, { 200, {}, body, false, "one", {} }); }, {} } };
    target = &listener;
    REQUIRE(listener.listen({ "127.0.0.1", 0 }));
    reactor.start();
    SlowCaller caller { listener.localEndpoint() };
    REQUIRE(caller.send(closingRequest));
    caller.readAtLeast(1);
    REQUIRE(waitUntil([&] { return listener.closingConnections() == 1; }));
    caller.endSending();
    REQUIRE(waitUntil([&] { return listener.closingConnections() == 0; }));
    caller.readToEnd();
    CHECK(caller.receivedBody().size() == body.size());
    CHECK(caller.end == SlowCaller::End::Orderly);
    CHECK(listener.statistics().cut.value() == 0);
    reactor.stop();
}

TEST_CASE("callers that never end their connections do not use up the connections of a listener")
{
    // Connections that only wait for the end of their callers counted against the limit, and new ones were reset.
    Reactor reactor { 2 };
    HttpListener* target = nullptr;
    HttpListener listener { reactor, { [&](HttpRequestId id, const ReceivedRequest&) { target->respond(id, {}); }, {} } };
    target = &listener;
    listener.setMaxConnections(2);
    REQUIRE(listener.listen({ "127.0.0.1", 0 }));
    reactor.start();
    std::vector<std::unique_ptr<SlowCaller>> callers;
    for (int i = 0; i < 2; ++i) {
        callers.push_back(std::make_unique<SlowCaller>(listener.localEndpoint()));
        REQUIRE(callers.back()->send(closingRequest));
        callers.back()->readToEnd();
        CHECK(callers.back()->received.starts_with("HTTP/1.1 200"));
    }
    SlowCaller late { listener.localEndpoint() };
    static_cast<void>(late.send(request));
    late.readAtLeast(1);
    CHECK(late.received.starts_with("HTTP/1.1 200"));
    reactor.stop();
}

TEST_CASE("a caller that is still sending a request that is too large gets the error response")
{
    // The socket was closed 2 s after the caller had acknowledged the response, although input still arrived.
    Reactor reactor { 2 };
    HttpListener listener { reactor, { [](HttpRequestId, const ReceivedRequest&) {}, {} } };
    CallerLimits limits;
    limits.maxBodyBytes = 1'024;
    listener.setLimits(limits);
    REQUIRE(listener.listen({ "127.0.0.1", 0 }));
    reactor.start();
    SlowCaller caller { listener.localEndpoint() };
    REQUIRE(caller.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4000000\r\n\r\n"));
    const std::string part(100'000, 'x');
    int sentParts = 0;
    for (; sentParts < 40 && caller.send(part); ++sentParts) {
        std::this_thread::sleep_for(100ms);
    }
    CHECK(sentParts == 40);
    caller.readToEnd();
    CHECK(caller.received.starts_with("HTTP/1.1 413"));
    CHECK(caller.end == SlowCaller::End::Orderly);
    reactor.stop();
}

TEST_CASE("HTTP server accepts connections after callers that never close have used up its limit", "[http]")
{
    // The thread had accepted before it closed the expired connections, and waited for the idle time afterwards.
    WorkerPool workers { 2, 16 };
    HttpServerSettings settings;
    settings.maxConnections = 2;
    // Longer than the caller waits.
    settings.idleTime = 60s;
    auto server = std::move(HttpServer::start(settings, workers, [](const HttpRequest&) { return HttpResponse { 200, {}, "body" }; })).value();
    const Endpoint endpoint { "127.0.0.1", server->port() };
    std::vector<std::unique_ptr<SlowCaller>> callers;
    for (int i = 0; i < 2; ++i) {
        callers.push_back(std::make_unique<SlowCaller>(endpoint));
        REQUIRE(callers.back()->send(closingRequest));
        callers.back()->readToEnd();
    }
    SlowCaller late { endpoint };
    REQUIRE(late.send(request));
    late.readAtLeast(1);
    CHECK(late.received.starts_with("HTTP/1.1 200"));
    callers.clear();
}

TEST_CASE("a drain of the HTTP server that ran out of time is not repeated by the destructor", "[http]")
{
    // A caller that reads slowly kept its connection open for the destructor's hour.
    const std::string body(1'024 * 1'024, 'x');
    WorkerPool workers { 2, 16 };
    auto server = std::move(HttpServer::start({}, workers, [&](const HttpRequest&) { return HttpResponse { 200, {}, body }; })).value();
    SlowCaller caller { { "127.0.0.1", server->port() } };
    REQUIRE(caller.send(closingRequest));
    caller.readAtLeast(1);
    std::atomic<bool> hasEnded { false };
    std::atomic<bool> isWhole { false };
    std::thread reader { [&] {
        // 64 KB a second: 16 s for the response.
        while (!hasEnded && caller.end != SlowCaller::End::Orderly && caller.received.size() < body.size()) {
            caller.readAtLeast(caller.received.size() + 16 * 1'024);
            std::this_thread::sleep_for(250ms);
        }
        isWhole = caller.received.size() >= body.size();
    } };
    CHECK_FALSE(server->drain(1s));
    server.reset();
    CHECK_FALSE(isWhole);
    hasEnded = true;
    reader.join();
}

TEST_CASE("a caller that reads steadily and slowly gets its response")
{
    // TCP_USER_TIMEOUT reset its connection after 7 s, because its window never had room for a whole segment.
    Reactor reactor { 2 };
    HttpListener* target = nullptr;
    const std::string body(320 * 1'024, 'x');
    HttpListener listener { reactor, { [&](HttpRequestId id, const ReceivedRequest&) { target->respond(id, { 200, {}, body, false, "one", {} }); }, {} } };
    target = &listener;
    REQUIRE(listener.listen({ "127.0.0.1", 0 }));
    reactor.start();
    SlowCaller caller { listener.localEndpoint() };
    REQUIRE(caller.send(closingRequest));
    while (caller.receivedBody().size() < body.size() && caller.readSome()) {
        caller.readAtLeast(std::min(caller.received.size() + 8'192, body.size()));
        std::this_thread::sleep_for(250ms);
    }
    CHECK(caller.receivedBody().size() == body.size());
    reactor.stop();
}
