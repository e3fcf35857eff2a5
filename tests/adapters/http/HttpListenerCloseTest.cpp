#include "adapters/http/HttpListener.h"

#include "adapters/http/RawUpstream.h"
#include "adapters/http/SlowCaller.h"

#include <absl/synchronization/notification.h>
#include <atomic>
#include <catch2/catch.hpp>

using namespace teaselturn;

namespace {

/// Fits into the kernel's send buffer on loopback, but not into the receive buffer of a SlowCaller.
constexpr std::size_t sendBufferBody = 1'024 * 1'024;
/// Does not fit into the kernel's send buffer.
constexpr std::size_t longBody = 16 * 1'024 * 1'024;
const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

/// A listener whose requests wait until the test responds to them with a long body.
struct LongResponses {
    const std::string body;
    Mutex mutex;
    std::vector<HttpRequestId> waiting ABSL_GUARDED_BY(mutex);
    Reactor reactor { 2 };
    HttpListener listener { reactor, { [this](HttpRequestId id, const ReceivedRequest&) { this->add(id); }, {} } };

    explicit LongResponses(std::size_t bodyBytes = sendBufferBody)
        : body(bodyBytes, 'x')
    {
        REQUIRE(this->listener.listen({ "127.0.0.1", 0 }));
        this->reactor.start();
    }
    ~LongResponses() { this->reactor.stop(); }

    void add(HttpRequestId id)
    {
        const MutexLock lock { this->mutex };
        this->waiting.push_back(id);
    }

    /// Responds to the oldest request that waits, once there is one.
    void respond()
    {
        REQUIRE(waitUntil([this] {
            const MutexLock lock { this->mutex };
            return !this->waiting.empty();
        }));
        HttpRequestId id;
        {
            const MutexLock lock { this->mutex };
            id = this->waiting.front();
            this->waiting.erase(this->waiting.begin());
        }
        this->listener.respond(id, { 200, {}, this->body, false, "one", {} });
    }

    /// Closes the connection of the only caller.
    /// @return The number of connections that were cut, once the server has closed its side too.
    std::uint64_t countCut(SlowCaller& caller)
    {
        caller.close();
        CHECK(waitUntil([this] { return this->listener.connectionCount() == 0; }));
        return this->listener.statistics().cut.value();
    }

    /// @return True once the condition holds, false after 10 s.
    static bool waitUntil(const std::function<bool()>& condition)
    {
        for (int i = 0; i < 1'000; ++i) {
            if (condition()) {
                return true;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds { 10 });
        }
        return false;
    }
};

}

TEST_CASE("a caller that pipelines gets its whole last response in a planned stop")
{
    // The socket was closed once the kernel had the response. The next request then reset the connection, and the bytes in the
    // send buffer were lost.
    LongResponses server;
    SlowCaller caller { server.listener.localEndpoint() };
    REQUIRE(caller.send(request));
    server.listener.beginDrain();
    server.respond();
    caller.readAtLeast(1);
    for (int i = 0; i < 3; ++i) {
        CHECK(caller.send(request));
        caller.readAtLeast(caller.received.size() + 1);
    }
    caller.readToEnd();
    CHECK(caller.receivedBody().size() == server.body.size());
    CHECK(caller.end == SlowCaller::End::Orderly);
    CHECK(server.countCut(caller) == 0);
}

TEST_CASE("a caller that sends without pause gets its whole last response in a planned stop")
{
    // Closing a socket with unread bytes resets the connection at once.
    LongResponses server;
    SlowCaller caller { server.listener.localEndpoint() };
    REQUIRE(caller.send(request));
    server.listener.beginDrain();
    server.respond();
    caller.readAtLeast(1);
    std::atomic<bool> hasEnded { false };
    std::thread sender { [&] {
        while (!hasEnded && caller.send(request)) {
            std::this_thread::sleep_for(std::chrono::milliseconds { 1 });
        }
    } };
    caller.readToEnd();
    hasEnded = true;
    sender.join();
    CHECK(caller.receivedBody().size() == server.body.size());
    CHECK(caller.end == SlowCaller::End::Orderly);
    CHECK(server.countCut(caller) == 0);
}

TEST_CASE("closing idle connections does not cut a response that the kernel still holds")
{
    // The connection has no open request any more, but its caller has not received the response yet.
    LongResponses server;
    SlowCaller caller { server.listener.localEndpoint() };
    REQUIRE(caller.send(request));
    server.respond();
    caller.readAtLeast(1);
    REQUIRE(LongResponses::waitUntil([&] { return server.listener.openRequests() == 0; }));
    server.listener.closeIdle();
    CHECK(caller.send(request));
    caller.readToEnd();
    CHECK(caller.receivedBody().size() == server.body.size());
    CHECK(caller.end == SlowCaller::End::Orderly);
    CHECK(server.countCut(caller) == 0);
}

TEST_CASE("a response that closes its connection is not cut in calm")
{
    // Requests with "Connection: close" and malformed requests close their connection at any time.
    LongResponses server;
    SlowCaller caller { server.listener.localEndpoint() };
    REQUIRE(caller.send("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"));
    server.respond();
    caller.readAtLeast(1);
    CHECK(caller.send(request));
    caller.readToEnd();
    CHECK(caller.receivedBody().size() == server.body.size());
    CHECK(caller.end == SlowCaller::End::Orderly);
    CHECK(server.countCut(caller) == 0);
}

TEST_CASE("a response that its caller reads slower than the idle timeout is not cut")
{
    // The idle timeout counted from the moment at which the response was decided, whether or not it was sent.
    LongResponses server { longBody };
    CallerLimits limits;
    limits.idleTimeout = std::chrono::milliseconds { 200 };
    server.listener.setLimits(limits);
    SlowCaller caller { server.listener.localEndpoint() };
    REQUIRE(caller.send(request));
    server.respond();
    constexpr std::size_t readBytes = 256 * 1'024;
    while (caller.receivedBody().size() < longBody && caller.readSome()) {
        caller.readAtLeast(std::min(caller.received.size() + readBytes, longBody));
        std::this_thread::sleep_for(std::chrono::milliseconds { 20 });
    }
    CHECK(caller.receivedBody().size() == server.body.size());
    CHECK(server.countCut(caller) == 0);
}

TEST_CASE("a caller that ends its sending direction gets the rest of its response")
{
    // The part of the response that the kernel had not taken was dropped.
    LongResponses server { longBody };
    SlowCaller caller { server.listener.localEndpoint() };
    REQUIRE(caller.send(request));
    server.respond();
    caller.readAtLeast(1);
    caller.endSending();
    caller.readToEnd();
    CHECK(caller.receivedBody().size() == server.body.size());
    CHECK(caller.end == SlowCaller::End::Orderly);
}

namespace {

/// A listener with one worker, which the request of a caller blocks until the test releases it, so that later input stays
/// in the kernel. All requests get an empty response.
struct BlockedListener {
    absl::Notification isBlocked;
    absl::Notification isReleased;
    Reactor reactor { 1 };
    HttpListener listener { reactor, { [this](HttpRequestId id, const ReceivedRequest& received) {
                                          if (received.target == "/block") {
                                              this->isBlocked.Notify();
                                              this->isReleased.WaitForNotification();
                                          }
                                          this->listener.respond(id, {});
                                      },
                                         {} } };

    BlockedListener()
    {
        REQUIRE(this->listener.listen({ "127.0.0.1", 0 }));
        this->reactor.start();
    }
    ~BlockedListener()
    {
        if (!this->isReleased.HasBeenNotified()) {
            this->isReleased.Notify();
        }
        this->reactor.stop();
    }
};

}

TEST_CASE("a request that has arrived is served if idle connections are closed before it is read")
{
    // Its connection passed for an idle one, and the request got no response.
    BlockedListener server;
    SlowCaller blocking { server.listener.localEndpoint() };
    SlowCaller caller { server.listener.localEndpoint() };
    REQUIRE(caller.send(request));
    caller.readAtLeast(1);
    const auto firstBytes = caller.received.size();
    REQUIRE(blocking.send("GET /block HTTP/1.1\r\nHost: h\r\n\r\n"));
    server.isBlocked.WaitForNotification();
    REQUIRE(caller.send(request));
    server.listener.closeIdle();
    server.isReleased.Notify();
    caller.readAtLeast(firstBytes + 1);
    CHECK(caller.received.size() == 2 * firstBytes);
}

TEST_CASE("a request on a connection that waits to be accepted is served if the port closes")
{
    // Closing the port resets connections in its queue.
    BlockedListener server;
    SlowCaller blocking { server.listener.localEndpoint() };
    REQUIRE(blocking.send("GET /block HTTP/1.1\r\nHost: h\r\n\r\n"));
    server.isBlocked.WaitForNotification();
    SlowCaller caller { server.listener.localEndpoint() };
    REQUIRE(caller.send(request));
    server.listener.stopListening();
    server.isReleased.Notify();
    caller.readAtLeast(1);
    CHECK(caller.received.starts_with("HTTP/1.1 200"));
}
