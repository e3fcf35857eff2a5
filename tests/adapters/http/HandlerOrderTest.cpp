#include "adapters/http/HttpListener.h"
#include "adapters/http/RawUpstream.h"
#include "adapters/http/UpstreamConnection.h"

#include <absl/synchronization/notification.h>
#include <catch2/catch.hpp>

using namespace teaselturn;

namespace {

/// Time in which a handler that runs too early would be seen to run. The test passes only if it does not.
constexpr auto earlyCallTime = absl::Seconds(1);
constexpr auto testTimeout = absl::Seconds(10);

}

TEST_CASE("an upstream connection reports its end only after the handler of its response has returned")
{
    // With two workers, one can report the end of the idle connection while the other still reports the response. The
    // request was then taken for one that was never sent, and ran a second time at another upstream.
    absl::Notification isAnswered;
    absl::Notification isClosed;
    absl::Notification hasReportedEnd;
    RawUpstream upstream { [&](Connection& connection, int) {
        RawUpstream::readRequest(connection);
        RawUpstream::respond(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        isAnswered.WaitForNotificationWithTimeout(testTimeout);
        RawUpstream::respond(connection, "bytes that belong to no request");
        RawUpstream::waitForClose(connection);
        isClosed.Notify();
    } };
    std::atomic<bool> isReportedEarly { false };
    const UpstreamConnection::Handlers handlers {
        [&](ConnectionId, const ReceivedResponse&, bool) {
            isAnswered.Notify();
            isClosed.WaitForNotificationWithTimeout(testTimeout);
            isReportedEarly = hasReportedEnd.WaitForNotificationWithTimeout(earlyCallTime);
        },
        [](ConnectionId, ConnectionFailure) {},
        [&](ConnectionId) { hasReportedEnd.Notify(); },
    };
    BufferBudget buffers { 1'024 * 1'024 };
    Reactor reactor { 2 };
    reactor.start();
    const auto address = toSocketAddress(upstream.endpoint());
    REQUIRE(address);
    const auto connection = UpstreamConnection::open(reactor, ConnectionId { 1 }, *address, handlers, buffers);
    REQUIRE(connection);
    (*connection)->send("GET / HTTP/1.1\r\nHost: h\r\n\r\n", ResponseBody::Whole);
    CHECK(hasReportedEnd.WaitForNotificationWithTimeout(2 * testTimeout));
    reactor.stop();
    CHECK(!isReportedEarly);
}

TEST_CASE("a listener reports a disconnect only after the handler of its request has returned")
{
    // A disconnect reported before its request was ignored: the request was sent to an upstream although nobody waited for
    // its response.
    absl::Notification hasRequest;
    absl::Notification hasReportedDisconnect;
    std::atomic<bool> isReportedEarly { false };
    Reactor reactor { 2 };
    HttpListener listener { reactor,
        { [&](HttpRequestId, const ReceivedRequest&) {
             hasRequest.Notify();
             isReportedEarly = hasReportedDisconnect.WaitForNotificationWithTimeout(earlyCallTime);
         },
            [&](HttpRequestId) { hasReportedDisconnect.Notify(); } } };
    REQUIRE(listener.listen({ "127.0.0.1", 0 }));
    reactor.start();
    {
        auto caller = Connection::connect(listener.localEndpoint(), RawUpstream::soon());
        REQUIRE(caller);
        RawUpstream::respond(**caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        CHECK(hasRequest.WaitForNotificationWithTimeout(testTimeout));
    }
    CHECK(hasReportedDisconnect.WaitForNotificationWithTimeout(testTimeout));
    reactor.stop();
    CHECK(!isReportedEarly);
}
