#include "node/gateway/EntryDaemon.h"

#include "adapters/http/RawUpstream.h"
#include "adapters/http/SlowCaller.h"
#include "node/gateway/LoopbackGateway.h"

#include <absl/synchronization/notification.h>
#include <catch2/catch.hpp>

using namespace teaselturn;
using namespace teaselturn::support;
using std::chrono::milliseconds;

namespace {

constexpr auto memberAddress = "127.0.0.2";
/// The peers share a port number, which the system chose at the member's address. At 127.0.0.1 connections of tests that run
/// at the same time may use it.
constexpr auto entryAddress = "127.0.0.9";
const std::vector<std::uint8_t> clusterKey { 1, 2, 3, 4, 5, 6, 7, 8 };

/// A registry member that feeds a fixed log to entry VMs.
class FakeMember {
public:
    /// @param repliesAtOnce Reply to feed requests also if there is nothing new, so that requests and replies never pause.
    explicit FakeMember(std::vector<LogEntry> entries, bool repliesAtOnce = false)
        : entries(std::move(entries))
        , repliesAtOnce(repliesAtOnce)
        , transport(std::move(*PeerTransport::Builder {}
                                   .identity(*nodeAtAddress(memberAddress), BootId { 1 })
                                   .listenOn({ memberAddress, 0 })
                                   .clusterKey(clusterKey)
                                   .peersByAddress()
                                   .handler([this](NodeId from, const PeerMessage& message) { this->handleMessage(from, message); })
                                   .start()))
    {
        this->isStarted.Notify();
    }

    std::uint16_t port() const { return this->transport->localEndpoint().port; }

private:
    void handleMessage(NodeId from, const PeerMessage& message)
    {
        this->isStarted.WaitForNotification();
        if (const auto* probe = std::get_if<MemberProbe>(&message)) {
            this->transport->send(from, MemberProbeReply { probe->sequence });
        } else if (const auto* request = std::get_if<FeedRequest>(&message); request != nullptr && (this->repliesAtOnce || request->appliedIndex < this->entries.back().index)) {
            this->transport->send(from, FeedReply { request->sequence, this->entries.back().index, this->entries, 0, 0, {}, {} });
        }
    }

    const std::vector<LogEntry> entries;
    const bool repliesAtOnce;
    absl::Notification isStarted;
    std::unique_ptr<PeerTransport> transport;
};

/// An entry VM with one route to an upstream that reads requests and never responds, unless it has a response.
struct EntryFixture {
    std::atomic<int> received { 0 };
    const std::string response;
    RawUpstream upstream { [this](Connection& connection, int) {
        this->received += RawUpstream::readRequest(connection).empty() ? 0 : 1;
        RawUpstream::respond(connection, this->response);
        RawUpstream::waitForClose(connection);
    } };
    FakeMember member;
    Reactor reactor { 2 };
    std::unique_ptr<Logger> logger { std::move(*Logger::open({ LogLevel::Fatal, {}, LogStream::Error })) };
    absl::Notification hasStopped;
    EntryDaemon<platform::CallerHeaders> daemon;
    /// Port for callers, which the daemon closes later.
    Endpoint front;

    EntryFixture(std::chrono::milliseconds routeTimeout, std::chrono::milliseconds gracePeriod, std::string response = {})
        : response(std::move(response))
        , member(makeLog(this->upstream.endpoint(), routeTimeout))
        , daemon(this->reactor, *this->logger, makeOptions(this->member.port(), gracePeriod), [this] { this->hasStopped.Notify(); })
    {
        REQUIRE(this->daemon.open());
        this->front = this->daemon.front();
        this->reactor.start();
    }
    ~EntryFixture() { this->reactor.stop(); }

    static std::vector<LogEntry> makeLog(const Endpoint& endpoint, std::chrono::milliseconds routeTimeout)
    {
        auto route = routeItem("r", "a");
        std::get<RouteItem>(route.content).timeout = routeTimeout;
        auto registered = announcement("u", "a");
        registered.endpoint = endpoint;
        return { { Term { 1 }, LogIndex { 1 }, ChangeItems { { serviceItem("a", false), route }, {} } }, { Term { 1 }, LogIndex { 2 }, registered } };
    }

    static EntryOptions makeOptions(std::uint16_t peerPort, std::chrono::milliseconds gracePeriod)
    {
        EntryOptions options;
        options.self = *nodeAtAddress(entryAddress);
        options.front = { "127.0.0.1", 0 };
        options.readiness = { "127.0.0.1", 0 };
        options.peer = { entryAddress, peerPort };
        options.seeds = { *nodeAtAddress(memberAddress) };
        options.clusterKey = clusterKey;
        options.dispatch = { "z1", {}, 1, 200, 100, milliseconds { 10'000 } };
        options.gracePeriod = gracePeriod;
        return options;
    }

    /// Opens a connection and repeats a request for an unknown path until the routes are known.
    std::unique_ptr<Connection> connectCaller() const
    {
        auto connection = Connection::connect(this->front, RawUpstream::soon());
        REQUIRE(connection);
        for (int i = 0; i < 1'000; ++i) {
            RawUpstream::respond(**connection, callerRequest("probe", "/unknown"));
            if (receive(**connection).starts_with("HTTP/1.1 404")) {
                return std::move(*connection);
            }
            std::this_thread::sleep_for(milliseconds { 10 });
        }
        FAIL("the entry VM received no routes");
        return nullptr;
    }

    /// @return What arrives next; empty if the connection ended.
    static std::string receive(Connection& connection)
    {
        std::array<char, 4'096> buffer {};
        std::size_t count = 0;
        return connection.read(buffer, count, RawUpstream::soon()) == IoStatus::Ok ? std::string { buffer.data(), count } : std::string {};
    }

    /// Waits until the entry VM no longer accepts connections.
    void waitUntilClosed() const
    {
        for (int i = 0; i < 1'000 && Connection::connect(this->front, RawUpstream::soon()); ++i) {
            std::this_thread::sleep_for(milliseconds { 10 });
        }
    }
};

}

TEST_CASE("a request that arrives late in a planned stop is refused if it may not end in time")
{
    // The caller had sent a part of it before. It was passed on and cut off without a response when the process ended.
    EntryFixture fixture { milliseconds { 5'000 }, milliseconds { 3'500 } };
    const auto caller = fixture.connectCaller();
    const auto request = callerRequest("late", "/r/x", "5000");
    RawUpstream::respond(*caller, request.substr(0, request.size() / 2));
    fixture.daemon.beginStop();
    fixture.waitUntilClosed();
    RawUpstream::respond(*caller, request.substr(request.size() / 2));
    const auto response = fixture.receive(*caller);
    CHECK(response.starts_with("HTTP/1.1 503"));
    CHECK(response.find("Connection: close") != std::string::npos);
    CHECK(fixture.hasStopped.WaitForNotificationWithTimeout(absl::Seconds(20)));
    CHECK(fixture.received == 0);
}

TEST_CASE("a request without a response at the end of a planned stop ends as unknown")
{
    // Its connection was closed without a response.
    EntryFixture fixture { milliseconds { 15'000 }, milliseconds { 3'000 } };
    const auto caller = fixture.connectCaller();
    RawUpstream::respond(*caller, callerRequest("one", "/r/x", "15000"));
    for (int i = 0; i < 1'000 && fixture.received == 0; ++i) {
        std::this_thread::sleep_for(milliseconds { 10 });
    }
    REQUIRE(fixture.received == 1);
    fixture.daemon.beginStop();
    CHECK(fixture.hasStopped.WaitForNotificationWithTimeout(absl::Seconds(20)));
    // The process would end here.
    fixture.reactor.stop();
    CHECK(fixture.receive(*caller).starts_with("HTTP/1.1 502"));
}

TEST_CASE("the process of a planned stop does not end before its callers have received their responses")
{
    // The process ended while the kernel held most of a response. Bytes that the caller sent afterwards reset the connection.
    const std::string body(1'024 * 1'024, 'x');
    EntryFixture fixture { milliseconds { 5'000 }, milliseconds { 15'000 },
        "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nUpstream-Signature: s\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body };
    static_cast<void>(fixture.connectCaller());
    SlowCaller caller { fixture.front };
    REQUIRE(caller.send(callerRequest("one", "/r/x", "5000")));
    caller.readAtLeast(1);
    fixture.daemon.beginStop();
    fixture.waitUntilClosed();
    CHECK_FALSE(fixture.hasStopped.WaitForNotificationWithTimeout(absl::Milliseconds(500)));
    CHECK(caller.send(callerRequest("two")));
    caller.readToEnd();
    CHECK(caller.receivedBody().size() == body.size());
    CHECK(caller.end == SlowCaller::End::Orderly);
    CHECK(fixture.hasStopped.WaitForNotificationWithTimeout(absl::Seconds(20)));
}

TEST_CASE("the process of a planned stop does not end while a request is being received")
{
    // It counted as no open request, so that the process ended 50 ms after it had closed its port.
    EntryFixture fixture { milliseconds { 5'000 }, milliseconds { 15'000 } };
    const auto caller = fixture.connectCaller();
    RawUpstream::respond(*caller, "POST /unknown HTTP/1.1\r\nHost: h\r\nRequest-Id: one\r\nDeadline-Ms: 5000\r\nContent-Length: 10\r\n\r\n12345");
    fixture.daemon.beginStop();
    fixture.waitUntilClosed();
    CHECK_FALSE(fixture.hasStopped.WaitForNotificationWithTimeout(absl::Milliseconds(500)));
    RawUpstream::respond(*caller, "67890");
    CHECK(fixture.receive(*caller).starts_with("HTTP/1.1 404"));
    CHECK(fixture.hasStopped.WaitForNotificationWithTimeout(absl::Seconds(10)));
}

TEST_CASE("an entry VM that receives replies of the feed while it is destroyed does not crash")
{
    // The destructor set the pointer to the transport to null before the transport's thread had ended, and the thread sends
    // the next request of the feed through that pointer.
    const FakeMember member { EntryFixture::makeLog({ "127.0.0.1", 1 }, milliseconds { 1'000 }), true };
    const auto logger = std::move(*Logger::open({ LogLevel::Fatal, {}, LogStream::Error }));
    for (int i = 0; i < 100; ++i) {
        Reactor reactor { 2 };
        EntryDaemon<platform::CallerHeaders> daemon { reactor, *logger, EntryFixture::makeOptions(member.port(), milliseconds { 1'000 }), [] {} };
        REQUIRE(daemon.open());
        reactor.start();
        // The first requests of the feed follow after 50 and 100 ms.
        std::this_thread::sleep_for(milliseconds { 150 });
        reactor.stop();
    }
}

TEST_CASE("an entry VM that receives replies of the feed while it starts does not crash")
{
    // Replies to the process before a restart wait in the socket as soon as it is bound. The handler answered them through
    // the pointer to the transport, which was set after the transport's thread had started.
    const auto member = std::move(*PeerTransport::Builder {}.identity(*nodeAtAddress(memberAddress), BootId { 1 }).listenOn({ memberAddress, 0 }).clusterKey(clusterKey).peersByAddress().handler([](NodeId, const PeerMessage&) {}).start());
    std::atomic<bool> isOver { false };
    std::thread replies { [&] {
        while (!isOver) {
            member->send(*nodeAtAddress(entryAddress), FeedReply {});
        }
    } };
    const auto logger = std::move(*Logger::open({ LogLevel::Fatal, {}, LogStream::Error }));
    for (int i = 0; i < 500; ++i) {
        Reactor reactor { 2 };
        EntryDaemon<platform::CallerHeaders> daemon { reactor, *logger, EntryFixture::makeOptions(member->localEndpoint().port, milliseconds { 1'000 }), [] {} };
        CHECK(daemon.open());
    }
    isOver = true;
    replies.join();
}
