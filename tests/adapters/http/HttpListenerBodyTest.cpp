#include "adapters/http/HttpListener.h"

#include "adapters/http/SlowCaller.h"

#include <absl/synchronization/notification.h>
#include <atomic>
#include <catch2/catch.hpp>

using namespace teaselturn;

/// Responses whose bodies the listener's owner adds in pieces.
namespace {

const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

/// A listener that reports its requests in the order of their arrival.
struct PieceListener {
    Mutex mutex;
    std::vector<HttpRequestId> requests ABSL_GUARDED_BY(mutex);
    std::atomic<int> disconnects { 0 };
    std::atomic<int> writable { 0 };
    Reactor reactor { 2 };
    HttpListener listener { reactor, { [this](HttpRequestId id, const ReceivedRequest&) {
                                          const MutexLock lock { this->mutex };
                                          this->requests.push_back(id);
                                      },
                                         [this](HttpRequestId) { ++this->disconnects; }, [this](HttpRequestId) { ++this->writable; } } };

    PieceListener()
    {
        REQUIRE(this->listener.listen({ "127.0.0.1", 0 }));
        this->reactor.start();
    }
    ~PieceListener() { this->reactor.stop(); }

    /// @return The request with that number, counted from zero, once it has arrived.
    HttpRequestId requestAt(std::size_t number)
    {
        HttpRequestId id;
        REQUIRE(waitUntil([&] {
            const MutexLock lock { this->mutex };
            id = this->requests.size() > number ? this->requests[number] : HttpRequestId {};
            return id != HttpRequestId {};
        }));
        return id;
    }

    template <typename Condition>
    static bool waitUntil(Condition condition)
    {
        for (int i = 0; i < 2'000 && !condition(); ++i) {
            std::this_thread::sleep_for(std::chrono::milliseconds { 5 });
        }
        return condition();
    }
};

OutgoingResponse head() { return { 200, "X-Name: value\r\n", {}, false, "one", {} }; }

}

TEST_CASE("a body without length is sent in chunks, and one with a length as it is")
{
    // Guards against a wrong or doubled framing header, empty chunks that end the body early, and a missing last chunk.
    PieceListener fixture;
    SlowCaller caller { fixture.listener.localEndpoint() };
    REQUIRE(caller.send(request + request));
    const auto first = fixture.requestAt(0);
    fixture.listener.beginResponse(first, head(), std::nullopt);
    CHECK(fixture.listener.appendBody(first, "0123456789abcdef!") == BodyFlow::Open);
    CHECK(fixture.listener.appendBody(first, "") == BodyFlow::Open);
    fixture.listener.endBody(first, "z");
    const auto second = fixture.requestAt(1);
    fixture.listener.beginResponse(second, head(), 3);
    CHECK(fixture.listener.appendBody(second, "ab") == BodyFlow::Open);
    fixture.listener.endBody(second, "c");
    const std::string expected = "HTTP/1.1 200 OK\r\nX-Name: value\r\nTransfer-Encoding: chunked\r\n\r\n11\r\n0123456789abcdef!\r\n1\r\nz\r\n0\r\n\r\n"
                                 "HTTP/1.1 200 OK\r\nX-Name: value\r\nContent-Length: 3\r\n\r\nabc";
    caller.readAtLeast(expected.size());
    CHECK(caller.received == expected);
    CHECK(fixture.listener.openRequests() == 0);
}

TEST_CASE("a body whose caller reads slowly is full, and writable again once the caller has read")
{
    // Guards against a buffer without bound, a report that never comes, and more than one report.
    PieceListener fixture;
    SlowCaller caller { fixture.listener.localEndpoint() };
    REQUIRE(caller.send(request));
    const auto id = fixture.requestAt(0);
    fixture.listener.beginResponse(id, head(), std::nullopt);
    std::size_t added = 0;
    const std::string piece(HttpListener::maxUnsentBody, 'x');
    while (fixture.listener.appendBody(id, piece) == BodyFlow::Open) {
        added += piece.size();
        REQUIRE(added < 64 * 1'024 * 1'024);
    }
    CHECK(fixture.writable == 0);
    CHECK(fixture.listener.openRequests() == 1);
    caller.readAtLeast(added);
    CHECK(PieceListener::waitUntil([&] { return fixture.writable > 0; }));
    fixture.listener.endBody(id, "end");
    while (!caller.received.ends_with("3\r\nend\r\n0\r\n\r\n") && caller.readSome()) {
    }
    CHECK(caller.received.ends_with("3\r\nend\r\n0\r\n\r\n"));
    CHECK(fixture.writable == 1);
}

TEST_CASE("a response that breaks off closes the connection behind what was received")
{
    // Guards against a second head within a body, and against an end that a caller takes for the end of the body.
    const bool hasLength = GENERATE(false, true);
    PieceListener fixture;
    SlowCaller caller { fixture.listener.localEndpoint() };
    REQUIRE(caller.send(request + request));
    const auto id = fixture.requestAt(0);
    static_cast<void>(fixture.requestAt(1));
    fixture.listener.beginResponse(id, head(), hasLength ? std::optional<std::uint64_t> { 10 } : std::nullopt);
    CHECK(fixture.listener.appendBody(id, "part") == BodyFlow::Open);
    fixture.listener.respond(id, { 502, {}, "no", false, "one", {} });
    caller.readToEnd();
    CHECK(caller.end == SlowCaller::End::Orderly);
    CHECK(caller.receivedBody() == (hasLength ? "part" : "4\r\npart\r\n"));
    CHECK(caller.received.find("502") == std::string::npos);
    CHECK(PieceListener::waitUntil([&] { return fixture.disconnects == 1; }));
    CHECK(fixture.listener.appendBody(id, "more") == BodyFlow::Ended);
    caller.close();
    CHECK(PieceListener::waitUntil([&] { return fixture.listener.statistics().closed[static_cast<std::size_t>(CloseReason::ResponseBroken)].value() == 1; }));
}

TEST_CASE("a response that breaks off before its turn is replaced")
{
    // Guards against a connection that is closed for no reason, and a head that is followed by the wrong body.
    PieceListener fixture;
    SlowCaller caller { fixture.listener.localEndpoint() };
    REQUIRE(caller.send(request + request));
    const auto first = fixture.requestAt(0);
    const auto second = fixture.requestAt(1);
    fixture.listener.beginResponse(second, head(), 10);
    CHECK(fixture.listener.appendBody(second, "part") == BodyFlow::Open);
    fixture.listener.respond(second, { 502, {}, "no", false, "two", {} });
    fixture.listener.respond(first, { 200, {}, "yes", false, "one", {} });
    const std::string expected = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyesHTTP/1.1 502 Bad Gateway\r\nContent-Length: 2\r\n\r\nno";
    caller.readAtLeast(expected.size());
    CHECK(caller.received == expected);
}

TEST_CASE("the body of a later request waits for its turn within its bound")
{
    // Guards against a body that gathers without bound behind an earlier request.
    PieceListener fixture;
    SlowCaller caller { fixture.listener.localEndpoint() };
    REQUIRE(caller.send(request + request));
    const auto first = fixture.requestAt(0);
    const auto second = fixture.requestAt(1);
    fixture.listener.beginResponse(second, head(), std::nullopt);
    CHECK(fixture.listener.appendBody(second, std::string(HttpListener::maxUnsentBody, 'x')) == BodyFlow::Full);
    CHECK(fixture.writable == 0);
    fixture.listener.respond(first, { 200, {}, "yes", false, "one", {} });
    CHECK(PieceListener::waitUntil([&] {
        caller.readSome();
        return fixture.writable == 1;
    }));
    fixture.listener.endBody(second, "");
    while (!caller.received.ends_with("\r\n0\r\n\r\n") && caller.readSome()) {
    }
    CHECK(caller.received.starts_with("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyesHTTP/1.1 200 OK"));
    CHECK(caller.received.ends_with("\r\n0\r\n\r\n"));
}

TEST_CASE("a response that begins in a planned stop announces the end of its connection")
{
    // Guards against a caller that sends its next request on a connection that closes.
    PieceListener fixture;
    SlowCaller caller { fixture.listener.localEndpoint() };
    REQUIRE(caller.send(request));
    const auto id = fixture.requestAt(0);
    fixture.listener.beginDrain();
    fixture.listener.beginResponse(id, head(), 3);
    fixture.listener.closeIdle();
    fixture.listener.endBody(id, "abc");
    caller.readToEnd();
    CHECK(caller.received.find("Connection: close\r\n") != std::string::npos);
    CHECK(caller.receivedBody() == "abc");
    CHECK(caller.end == SlowCaller::End::Orderly);
}

TEST_CASE("a caller that ends its sending direction within a body loses the rest, and sees the end at once")
{
    // Guards against a connection that stays open behind a truncated body: its request is cancelled, so nothing follows.
    PieceListener fixture;
    SlowCaller caller { fixture.listener.localEndpoint() };
    REQUIRE(caller.send(request));
    const auto id = fixture.requestAt(0);
    fixture.listener.beginResponse(id, head(), std::nullopt);
    const std::string piece(HttpListener::maxUnsentBody, 'x');
    while (fixture.listener.appendBody(id, piece) == BodyFlow::Open) {
    }
    caller.endSending();
    CHECK(PieceListener::waitUntil([&] { return fixture.disconnects == 1; }));
    caller.readToEnd();
    CHECK(caller.end == SlowCaller::End::Orderly);
    CHECK(!caller.received.ends_with("\r\n0\r\n\r\n"));
    CHECK(fixture.listener.connectionCount() == 0);
}
