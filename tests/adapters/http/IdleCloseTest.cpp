#include "adapters/clock/SteadyClock.h"
#include "adapters/http/HttpListener.h"
#include "adapters/http/HttpServer.h"

#include "adapters/http/SlowCaller.h"

#include <catch2/catch.hpp>
#include <thread>

/// Requests that cross the close of their idle connection. They must stay unread: a caller whose request was read cannot tell
/// whether it ran, so it may not send a booking or payment again.
using namespace teaselturn;
using namespace std::chrono_literals;

namespace {

const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

/// A listener that responds at once.
struct RespondingListener {
    Reactor reactor { 2 };
    std::string body;
    HttpListener listener { reactor, { [this](HttpRequestId id, const ReceivedRequest&) { this->listener.respond(id, { 200, {}, this->body, false, "one", {} }); }, {} } };

    explicit RespondingListener(std::string text = "body")
        : body(std::move(text))
    {
        REQUIRE(this->listener.listen({ "127.0.0.1", 0 }));
        this->reactor.start();
    }
    ~RespondingListener() { this->reactor.stop(); }

    void setTimeouts(Duration idleTimeout, Duration headerTimeout = CallerLimits {}.headerTimeout)
    {
        CallerLimits limits;
        limits.idleTimeout = idleTimeout;
        limits.headerTimeout = headerTimeout;
        this->listener.setLimits(limits);
    }

    std::uint64_t closedConnections(CloseReason reason) const { return this->listener.statistics().closed[static_cast<std::size_t>(reason)].value(); }
    /// @return The number of closes for a reason after which a caller sent something.
    std::uint64_t lateInput(CloseReason reason) const { return this->listener.statistics().lateInput[static_cast<std::size_t>(reason)].value(); }
};

/// @return True once the condition holds, false after 10 s.
template <typename Condition>
bool waitUntil(Condition condition)
{
    for (int i = 0; i < 1'000; ++i) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(10ms);
    }
    return false;
}

}

TEST_CASE("a request that crosses the close of its idle connection in a planned stop stays unread")
{
    // It was read and discarded, and its caller got neither a response nor a sign that it had not run.
    RespondingListener server;
    SlowCaller caller { server.listener.localEndpoint() };
    REQUIRE(caller.send(request));
    caller.readAtLeast(1);
    server.listener.beginDrain();
    server.listener.closeIdle();
    caller.readToEnd();
    REQUIRE(caller.end == SlowCaller::End::Orderly);
    CHECK(caller.send(request));
    // The kernel resets a connection that is closed with input unread.
    CHECK(caller.waitForReset());
    CHECK(server.lateInput(CloseReason::Idle) == 1);
    // Nothing of a response was lost.
    CHECK(server.listener.statistics().cut.value() == 0);
}

TEST_CASE("a request that crosses the time limit of its idle connection stays unread")
{
    // As above; the limit closes connections at any time.
    RespondingListener server;
    server.setTimeouts(100ms);
    SlowCaller caller { server.listener.localEndpoint() };
    REQUIRE(caller.send(request));
    caller.readToEnd();
    REQUIRE(caller.end == SlowCaller::End::Orderly);
    CHECK(caller.send(request));
    CHECK(caller.waitForReset());
    CHECK(server.lateInput(CloseReason::TimedOut) == 1);
    CHECK(server.listener.statistics().cut.value() == 0);
}

TEST_CASE("a request that arrives shortly after the time limit of its idle connection is served")
{
    // The caller counts the limit from the moment at which it received the response. Its connection was closed at the limit, and
    // a request that it had sent within the limit got no response.
    RespondingListener server;
    server.setTimeouts(100ms);
    SlowCaller caller { server.listener.localEndpoint() };
    REQUIRE(caller.send(request));
    caller.readAtLeast(1);
    CHECK(!caller.isEndedWithin(800ms));
    const auto receivedBytes = caller.received.size();
    CHECK(caller.send(request));
    caller.readToEnd();
    CHECK(caller.received.size() == 2 * receivedBytes);
    CHECK(caller.end == SlowCaller::End::Orderly);
    CHECK(server.lateInput(CloseReason::TimedOut) == 0);
}

TEST_CASE("a connection that became idle under a longer time limit keeps it")
{
    // The caller counts on the limit at the time of its last response. A change of the limits closed such connections at once.
    RespondingListener server;
    SlowCaller caller { server.listener.localEndpoint() };
    REQUIRE(caller.send(request));
    caller.readAtLeast(1);
    server.setTimeouts(100ms);
    CHECK(!caller.isEndedWithin(100ms + HttpListener::idleMargin + 2 * GracefulClose::checkInterval));
    const auto receivedBytes = caller.received.size();
    CHECK(caller.send(request));
    caller.readAtLeast(receivedBytes + 1);
    CHECK(caller.received.size() == 2 * receivedBytes);
    // From this response on, the new limit applies.
    CHECK(caller.isEndedWithin(10s));
}

TEST_CASE("a request that begins to arrive shortly after the time limit of its idle connection has the time for a head")
{
    // The time for a head counted from the last response, so that such a request was cut after its first bytes.
    RespondingListener server;
    server.setTimeouts(100ms, 1s);
    SlowCaller caller { server.listener.localEndpoint() };
    REQUIRE(caller.send(request));
    caller.readAtLeast(1);
    CHECK(!caller.isEndedWithin(1'300ms));
    const auto receivedBytes = caller.received.size();
    CHECK(caller.send(request.substr(0, 5)));
    CHECK(!caller.isEndedWithin(2 * GracefulClose::checkInterval));
    CHECK(caller.send(request.substr(5)));
    caller.readToEnd();
    CHECK(caller.received.size() == 2 * receivedBytes);
}

TEST_CASE("a request that never arrives whole does not get the margin of an idle connection")
{
    // Guards the time limit of a head: its later bytes must not prolong it.
    RespondingListener server;
    server.setTimeouts(100ms, 200ms);
    SlowCaller caller { server.listener.localEndpoint() };
    const auto begun = SteadyClock {}.now();
    REQUIRE(caller.send(request.substr(0, 5)));
    bool isEnded = false;
    for (std::size_t position = 5; position < request.size() - 1 && !isEnded; ++position) {
        CHECK(caller.send(request.substr(position, 1)));
        isEnded = caller.isEndedWithin(100ms);
    }
    CHECK(isEnded);
    CHECK(SteadyClock {}.now() - begun < HttpListener::idleMargin);
}

TEST_CASE("a caller that does not read its response does not get the margin of an idle connection")
{
    // Guards against stuck callers that hold connections and buffers for longer than the limit. The shorter body fits into the
    // buffers of the kernel.
    const std::size_t bodyBytes = GENERATE(256 * 1'024, 16 * 1'024 * 1'024);
    CAPTURE(bodyBytes);
    RespondingListener server { std::string(bodyBytes, 'x') };
    server.setTimeouts(100ms);
    const SlowCaller caller { server.listener.localEndpoint() };
    const auto begun = SteadyClock {}.now();
    REQUIRE(caller.send(request));
    CHECK(waitUntil([&] { return server.listener.closingConnections() > 0 || server.closedConnections(CloseReason::TimedOut) > 0; }));
    CHECK(SteadyClock {}.now() - begun < HttpListener::idleMargin);
}

TEST_CASE("HTTP server leaves a request unread that crosses the close of its idle connection", "[http]")
{
    // The other front end and the administration API discarded such requests too, when they drained and at their time limit.
    const bool isDraining = GENERATE(true, false);
    CAPTURE(isDraining);
    WorkerPool workers { 2, 16 };
    HttpServerSettings settings;
    settings.idleTime = isDraining ? settings.idleTime : std::chrono::milliseconds { 100 };
    auto server = std::move(HttpServer::start(settings, workers, [](const HttpRequest&) { return HttpResponse { 200, {}, "body" }; })).value();
    SlowCaller caller { Endpoint { "127.0.0.1", server->port() } };
    REQUIRE(caller.send(request));
    caller.readAtLeast(1);
    std::thread drain { [&] { static_cast<void>(isDraining && server->drain(20s)); } };
    caller.readToEnd();
    CHECK(caller.end == SlowCaller::End::Orderly);
    CHECK(caller.send(request));
    CHECK(caller.waitForReset());
    drain.join();
}
