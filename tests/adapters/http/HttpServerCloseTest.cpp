#include "adapters/http/HttpServer.h"

#include "RawUpstream.h"
#include "adapters/http/SlowCaller.h"

#include <absl/synchronization/notification.h>
#include <catch2/catch.hpp>

using namespace teaselturn;
using namespace std::chrono_literals;

namespace {

const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

/// A server whose responses fit into the kernel's send buffer on loopback, but not into the receive buffer of a SlowCaller.
struct LongResponses {
    const std::string body = std::string(1'024 * 1'024, 'x');
    WorkerPool workers { 2, 16 };
    std::unique_ptr<HttpServer> server { std::move(HttpServer::start({}, this->workers, [this](const HttpRequest&) { return HttpResponse { 200, {}, this->body }; })).value() };

    Endpoint endpoint() const { return { "127.0.0.1", this->server->port() }; }
};

}

TEST_CASE("HTTP server does not cut a response that closes its connection", "[http]")
{
    // The socket was closed once the kernel had the response. The next request then reset the connection, and the bytes in the
    // send buffer were lost.
    LongResponses fixture;
    SlowCaller caller { fixture.endpoint() };
    REQUIRE(caller.send("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"));
    // The kernel takes the response in several parts, so the socket is closed after some of these requests.
    for (std::size_t part = 0; part < fixture.body.size(); part += fixture.body.size() / 16) {
        caller.readAtLeast(part);
        CHECK(caller.send(request));
    }
    caller.readToEnd();
    CHECK(caller.receivedBody().size() == fixture.body.size());
    CHECK(caller.end == SlowCaller::End::Orderly);
}

TEST_CASE("HTTP server does not cut a response by draining", "[http]")
{
    // The connection is idle for the server, but its caller has not received the response yet.
    LongResponses fixture;
    SlowCaller caller { fixture.endpoint() };
    REQUIRE(caller.send(request));
    caller.readAtLeast(1);
    absl::Notification isDrained;
    bool hasDrained = false;
    std::thread drain { [&] {
        hasDrained = fixture.server->drain(20s);
        isDrained.Notify();
    } };
    // Longer than HttpServerSettings::drainIdleTimeout.
    CHECK_FALSE(isDrained.WaitForNotificationWithTimeout(absl::Milliseconds(800)));
    CHECK(caller.send(request));
    caller.readToEnd();
    drain.join();
    CHECK(hasDrained);
    CHECK(caller.receivedBody().size() >= fixture.body.size());
    CHECK(caller.end == SlowCaller::End::Orderly);
}

TEST_CASE("HTTP server closes a connection whose caller never ends it", "[http]")
{
    // A caller that ignores the end of the response must not keep the server from ending.
    LongResponses fixture;
    SlowCaller caller { fixture.endpoint() };
    REQUIRE(caller.send("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"));
    caller.readToEnd();
    CHECK(caller.receivedBody().size() == fixture.body.size());
    CHECK(fixture.server->drain(20s));
}
