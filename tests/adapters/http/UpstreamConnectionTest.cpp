#include "adapters/http/UpstreamConnection.h"

#include "adapters/http/RawUpstream.h"

#include <absl/synchronization/notification.h>
#include <atomic>
#include <catch2/catch.hpp>
#include <optional>

using namespace teaselturn;

TEST_CASE("a request for which the connection turns out to be closed by its upstream is not sent")
{
    // The end of the connection had arrived, but no worker had handled it. The request was written all the same and ended as
    // unknown, although no upstream had received it.
    const std::string request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
    absl::Notification mayClose;
    absl::Notification hasClosed;
    RawUpstream upstream { [&](Connection& connection, int) {
        RawUpstream::readRequest(connection);
        RawUpstream::respond(connection, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        mayClose.WaitForNotificationWithTimeout(absl::Seconds(10));
        ::shutdown(connection.socketDescriptor(), SHUT_WR);
        // The kernel counts the end as a byte until it has arrived.
        while (kernelBuffers(connection.socketDescriptor()).unacknowledged > 0) {
            std::this_thread::sleep_for(std::chrono::milliseconds { 1 });
        }
        hasClosed.Notify();
        RawUpstream::waitForClose(connection);
    } };
    absl::Notification isAnswered;
    absl::Notification hasFailed;
    std::atomic<ConnectionFailure> failure { ConnectionFailure::Broken };
    UpstreamConnection::Handlers handlers;
    handlers.answered = [&](ConnectionId, const ReceivedResponse&, bool) { isAnswered.Notify(); };
    handlers.failed = [&](ConnectionId, ConnectionFailure reported) {
        failure = reported;
        hasFailed.Notify();
    };
    handlers.closedIdle = [](ConnectionId) {};
    BufferBudget buffers { BufferBudget::defaultLimit };
    absl::Notification isWorkerBlocked;
    absl::Notification isWorkerReleased;
    Reactor reactor { 1 };
    const auto opened = UpstreamConnection::open(reactor, ConnectionId { 1 }, *toSocketAddress(upstream.endpoint()), handlers, buffers);
    REQUIRE(opened);
    reactor.start();
    (*opened)->send(request, ResponseBody::Whole);
    REQUIRE(isAnswered.WaitForNotificationWithTimeout(absl::Seconds(10)));
    reactor.after(Duration::zero(), [&](Instant) {
        isWorkerBlocked.Notify();
        isWorkerReleased.WaitForNotificationWithTimeout(absl::Seconds(10));
    });
    REQUIRE(isWorkerBlocked.WaitForNotificationWithTimeout(absl::Seconds(10)));
    mayClose.Notify();
    REQUIRE(hasClosed.WaitForNotificationWithTimeout(absl::Seconds(10)));
    (*opened)->send(request, ResponseBody::Whole);
    isWorkerReleased.Notify();
    CHECK(hasFailed.WaitForNotificationWithTimeout(absl::Seconds(10)));
    CHECK(failure.load() == ConnectionFailure::NotConnected);
    reactor.stop();
    (*opened)->close();
}
