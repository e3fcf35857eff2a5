#include "adapters/http/HttpListener.h"

#include "adapters/http/SlowCaller.h"

#include <absl/synchronization/notification.h>
#include <catch2/catch.hpp>
#include <optional>

/// Closes of connections whose callers did not get a response to what they sent, or lost a part of one.
using namespace teaselturn;
using namespace std::chrono_literals;

namespace {

const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
/// Fits into the kernel's send buffer on loopback, but not into the receive buffer of a SlowCaller.
constexpr std::size_t sendBufferBody = 1'024 * 1'024;

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

/// A listener that responds at once.
struct RespondingListener {
    const std::string body;
    Reactor reactor { 2 };
    std::optional<HttpListener> listener;

    explicit RespondingListener(std::size_t bodyBytes)
        : body(bodyBytes, 'x')
    {
        this->listener.emplace(this->reactor, HttpListener::Handlers { [this](HttpRequestId id, const ReceivedRequest&) { this->listener->respond(id, { 200, {}, this->body, false, "one", {} }); }, {} });
        REQUIRE(this->listener->listen({ "127.0.0.1", 0 }));
        this->reactor.start();
    }
    ~RespondingListener() { this->reactor.stop(); }

    std::uint64_t lateInput(CloseReason reason) const { return this->listener->statistics().lateInput[static_cast<std::size_t>(reason)].value(); }
    bool hasOpenRequests() { return this->listener->openRequests() > 0; }
};

}

TEST_CASE("the end of the process does not cut a response behind which its caller has sent more")
{
    // Input that stays unread at the end of the process makes the kernel reset the connection, which drops the rest of a
    // response that was written before the connection was closed as idle.
    RespondingListener server { sendBufferBody };
    SlowCaller caller { server.listener->localEndpoint() };
    REQUIRE(caller.send(request));
    caller.readAtLeast(1);
    REQUIRE(waitUntil([&] { return !server.hasOpenRequests(); }));
    server.listener->beginDrain();
    server.listener->closeIdle();
    REQUIRE(server.listener->closingConnections() == 1);
    REQUIRE(caller.send(request));
    REQUIRE(waitUntil([&] { return server.lateInput(CloseReason::Idle) == 1; }));
    server.reactor.stop();
    server.listener.reset();
    caller.readToEnd();
    CHECK(caller.receivedBody().size() == server.body.size());
    CHECK(caller.end == SlowCaller::End::Orderly);
}

TEST_CASE("a connection with late input closes as soon as its caller has ended and received everything")
{
    // An acknowledgement causes no event unless the send buffer was full, so that the end of the process waited for the time
    // limit of the close.
    RespondingListener server { 128 * 1'024 };
    SlowCaller caller { server.listener->localEndpoint() };
    REQUIRE(caller.send(request));
    caller.readAtLeast(1);
    REQUIRE(waitUntil([&] { return !server.hasOpenRequests(); }));
    server.listener->closeIdle();
    REQUIRE(caller.send(request));
    REQUIRE(waitUntil([&] { return server.lateInput(CloseReason::Idle) == 1; }));
    caller.endSending();
    caller.readToEnd();
    const auto receivedAt = std::chrono::steady_clock::now();
    CHECK(caller.receivedBody().size() == server.body.size());
    CHECK(waitUntil([&] { return server.listener->connectionCount() == 0; }));
    CHECK(std::chrono::steady_clock::now() - receivedAt < 1s);
}

TEST_CASE("a late request that fills the receive window does not hold its connection")
{
    // The end of a caller that is behind its unread bytes never arrives, so that the end of the process waited for the time
    // limit of the close.
    RespondingListener server { 4 };
    {
        SlowCaller caller { server.listener->localEndpoint() };
        REQUIRE(caller.send(request));
        caller.readAtLeast(1);
        server.listener->closeIdle();
        caller.readToEnd();
        // More than the receive window of a connection that is not read, less than the send buffer of the caller.
        // The connection may be reset within it.
        static_cast<void>(caller.send(std::string(sendBufferBody, 'x')));
    }
    const auto endedAt = std::chrono::steady_clock::now();
    CHECK(waitUntil([&] { return server.listener->connectionCount() == 0; }));
    CHECK(std::chrono::steady_clock::now() - endedAt < 1s);
}

TEST_CASE("the end of a connection with a late request looks the same to its caller, whether the request was read or not")
{
    // States what a caller can know: recv() reports an orderly end. Only SO_ERROR, or a later send(), reports the reset.
    RespondingListener server { 4 };
    SlowCaller caller { server.listener->localEndpoint() };
    REQUIRE(caller.send(request));
    caller.readAtLeast(1);
    server.listener->beginDrain();
    server.listener->closeIdle();
    CHECK(caller.send(request));
    caller.readToEnd();
    CHECK(caller.end == SlowCaller::End::Orderly);
    REQUIRE(waitUntil([&] { return server.lateInput(CloseReason::Idle) == 1; }));
    CHECK(caller.waitForReset());
    caller.end = SlowCaller::End::TimedOut;
    caller.readToEnd();
    CHECK(caller.end == SlowCaller::End::Orderly);
}

TEST_CASE("a request behind a response without Connection: close is not read without a response in a planned stop")
{
    // The head was written before the stop, so its caller may send the next request behind the body. An event within the body
    // made the response the last one of its connection.
    Mutex mutex;
    std::vector<HttpRequestId> requests;
    Reactor reactor { 2 };
    HttpListener listener { reactor, { [&](HttpRequestId id, const ReceivedRequest&) {
                                          const MutexLock lock { mutex };
                                          requests.push_back(id);
                                      },
                                         {}, [](HttpRequestId) {} } };
    REQUIRE(listener.listen({ "127.0.0.1", 0 }));
    reactor.start();
    const auto requestCount = [&] {
        const MutexLock lock { mutex };
        return requests.size();
    };
    SlowCaller caller { listener.localEndpoint() };
    REQUIRE(caller.send(request));
    REQUIRE(waitUntil([&] { return requestCount() == 1; }));
    const auto id = requests.front();
    // Fills the send buffer, so that reading causes an event.
    const std::string piece(HttpListener::maxUnsentBody, 'x');
    constexpr std::size_t pieceCount = 128;
    listener.beginResponse(id, { 200, {}, {}, false, "one", {} }, pieceCount * piece.size());
    for (std::size_t i = 0; i + 1 < pieceCount; ++i) {
        listener.appendBody(id, piece);
    }
    listener.beginDrain();
    caller.readAtLeast((pieceCount - 1) * piece.size());
    listener.endBody(id, piece);
    while (caller.receivedBody().size() < pieceCount * piece.size() && caller.readSome()) {
    }
    REQUIRE(caller.receivedBody().size() == pieceCount * piece.size());
    CHECK(caller.received.find("Connection: close") == std::string::npos);
    CHECK(caller.send(request));
    // It is either served or stays unread.
    const bool isServed = waitUntil([&] { return requestCount() == 2; }, 500ms);
    const bool isDiscarded = listener.statistics().lateInput[static_cast<std::size_t>(CloseReason::LastResponse)].value() > 0;
    CAPTURE(isServed);
    CHECK(!isDiscarded);
    reactor.stop();
}

TEST_CASE("a request that has arrived is served if the time limit of its connection is checked before it is read")
{
    // The check took no account of unread input: a process that was paused for longer than the limit closed connections whose
    // requests it had not read.
    absl::Notification isBlocked;
    absl::Notification isReleased;
    Reactor reactor { 1 };
    HttpListener* target = nullptr;
    HttpListener listener { reactor, { [&](HttpRequestId id, const ReceivedRequest& received) {
                                          if (received.target == "/block") {
                                              isBlocked.Notify();
                                              isReleased.WaitForNotification();
                                          }
                                          target->respond(id, {});
                                      },
                                         {} } };
    target = &listener;
    CallerLimits limits;
    limits.idleTimeout = 300ms;
    listener.setLimits(limits);
    REQUIRE(listener.listen({ "127.0.0.1", 0 }));
    reactor.start();
    SlowCaller blocking { listener.localEndpoint() };
    SlowCaller caller { listener.localEndpoint() };
    REQUIRE(caller.send(request));
    caller.readAtLeast(1);
    const auto firstBytes = caller.received.size();
    REQUIRE(blocking.send("GET /block HTTP/1.1\r\nHost: h\r\n\r\n"));
    isBlocked.WaitForNotification();
    REQUIRE(caller.send(request));
    // Longer than the limit; the worker checks it as soon as it is released.
    std::this_thread::sleep_for(700ms);
    isReleased.Notify();
    caller.readAtLeast(firstBytes + 1);
    CHECK(caller.received.size() == 2 * firstBytes);
    reactor.stop();
}
