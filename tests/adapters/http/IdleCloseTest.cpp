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
    HttpListener listener { reactor, { [this](HttpRequestId id, const ReceivedRequest&) { this->listener.respond(id, { 200, {}, "body", false, "one", {} }); }, {} } };

    RespondingListener()
    {
        REQUIRE(this->listener.listen({ "127.0.0.1", 0 }));
        this->reactor.start();
    }
    ~RespondingListener() { this->reactor.stop(); }

    /// @return The number of closes for a reason after which a caller sent something.
    std::uint64_t lateInput(CloseReason reason) const { return this->listener.statistics().lateInput[static_cast<std::size_t>(reason)].value(); }
};

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
    CallerLimits limits;
    limits.idleTimeout = 100ms;
    server.listener.setLimits(limits);
    SlowCaller caller { server.listener.localEndpoint() };
    REQUIRE(caller.send(request));
    caller.readToEnd();
    REQUIRE(caller.end == SlowCaller::End::Orderly);
    CHECK(caller.send(request));
    CHECK(caller.waitForReset());
    CHECK(server.lateInput(CloseReason::TimedOut) == 1);
    CHECK(server.listener.statistics().cut.value() == 0);
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
