#include "adapters/http/UpstreamConnectionPool.h"

#include "RawUpstream.h"
#include "adapters/peer/Socket.h"

#include <absl/synchronization/notification.h>
#include <atomic>
#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <thread>

using namespace teaselturn;
using namespace std::chrono_literals;

namespace {

std::string validResponseTo(const std::string& id)
{
    return "HTTP/1.1 200 OK\r\nTeaselturn-Request-Id: " + id + "\r\nContent-Length: 2\r\n\r\nok";
}

const std::string validResponse = validResponseTo("id");

AttemptReport sendTo(UpstreamConnectionPool& pool, const Endpoint& endpoint, Duration timeout = 10s,
    std::uint32_t share = 4, bool wantsNew = false, std::string_view id = "id")
{
    const HttpHeaderView headers[] = { { "Teaselturn-Request-Id", id } };
    const HttpRequest request { "GET", "/s/x/y", headers, {}, {} };
    return pool.send({ endpoint, share, request, id, SteadyClock {}.now() + timeout, wantsNew, {} });
}

/// Sends a request with another id, which may use a connection that carried the first one.
AttemptReport sendSecondTo(UpstreamConnectionPool& pool, const Endpoint& endpoint)
{
    return sendTo(pool, endpoint, 10s, 4, false, "second");
}

struct Case {
    std::string name;
    std::string response;
    AttemptResult result;
};

const Case cases[] = {
    { "complete", validResponse, AttemptResult::Answered },
    { "chunked",
        "HTTP/1.1 200 OK\r\nTeaselturn-Request-Id: id\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        AttemptResult::Answered },
    { "short body", "HTTP/1.1 200 OK\r\nTeaselturn-Request-Id: id\r\nContent-Length: 3\r\n\r\nok",
        AttemptResult::Incomplete },
    { "short head", "HTTP/1.1 200 OK\r\nTeaselturn-Request-Id: i", AttemptResult::Incomplete },
    { "unfinished chunks",
        "HTTP/1.1 200 OK\r\nTeaselturn-Request-Id: id\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
        AttemptResult::Incomplete },
    { "chunk longer than its size",
        "HTTP/1.1 200 OK\r\nTeaselturn-Request-Id: id\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nokay\r\n0\r\n\r\n",
        AttemptResult::Incomplete },
    { "chunk shorter than its size",
        "HTTP/1.1 200 OK\r\nTeaselturn-Request-Id: id\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nok\r\n0\r\n\r\n",
        AttemptResult::Incomplete },
    { "chunk size that is no number",
        "HTTP/1.1 200 OK\r\nTeaselturn-Request-Id: id\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0okay\r\n\r\n",
        AttemptResult::Incomplete },
    { "chunk size with a prefix",
        "HTTP/1.1 200 OK\r\nTeaselturn-Request-Id: id\r\nTransfer-Encoding: chunked\r\n\r\n0x2\r\nok\r\n0\r\n\r\n",
        AttemptResult::Incomplete },
    { "chunk with an extension",
        "HTTP/1.1 200 OK\r\nTeaselturn-Request-Id: id\r\nTransfer-Encoding: chunked\r\n\r\n02 ;name=value\r\nok\r\n0\r\n\r\n",
        AttemptResult::Answered },
    { "length not stated", "HTTP/1.1 200 OK\r\nTeaselturn-Request-Id: id\r\n\r\nok", AttemptResult::Incomplete },
    { "two lengths",
        "HTTP/1.1 200 OK\r\nTeaselturn-Request-Id: id\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nok",
        AttemptResult::Incomplete },
    // Upstreams in trouble were seen to send statuses that HTTP does not have.
    { "status 000", "HTTP/1.1 000 X\r\nTeaselturn-Request-Id: id\r\nContent-Length: 2\r\n\r\nok", AttemptResult::Incomplete },
    { "status 099", "HTTP/1.1 099 X\r\nTeaselturn-Request-Id: id\r\nContent-Length: 2\r\n\r\nok", AttemptResult::Incomplete },
    { "status 600", "HTTP/1.1 600 X\r\nTeaselturn-Request-Id: id\r\nContent-Length: 2\r\n\r\nok", AttemptResult::Incomplete },
    { "status 999", "HTTP/1.1 999 X\r\nTeaselturn-Request-Id: id\r\nContent-Length: 2\r\n\r\nok", AttemptResult::Incomplete },
    { "other id", "HTTP/1.1 200 OK\r\nTeaselturn-Request-Id: other\r\nContent-Length: 2\r\n\r\nok",
        AttemptResult::Mismatched },
    { "no id", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", AttemptResult::Mismatched },
    { "refused by fence",
        "HTTP/1.1 409 Conflict\r\nTeaselturn-Request-Id: id\r\nTeaselturn-Refused: yes\r\nContent-Length: 0\r\n\r\n",
        AttemptResult::RefusedByFence },
    { "refused by load",
        "HTTP/1.1 503 Busy\r\nTeaselturn-Request-Id: id\r\nTeaselturn-Refused: yes\r\nContent-Length: 0\r\n\r\n",
        AttemptResult::RefusedByLoad },
    { "refusal of another request",
        "HTTP/1.1 409 Conflict\r\nTeaselturn-Request-Id: other\r\nTeaselturn-Refused: yes\r\nContent-Length: 0\r\n\r\n",
        AttemptResult::Mismatched },
    { "conflict of the application", "HTTP/1.1 409 Conflict\r\nTeaselturn-Request-Id: id\r\nContent-Length: 0\r\n\r\n",
        AttemptResult::Answered },
    { "unavailable without a statement that the request did not run", "HTTP/1.1 503 Busy\r\nTeaselturn-Request-Id: id\r\nContent-Length: 0\r\n\r\n",
        AttemptResult::Answered },
    { "no response", "", AttemptResult::Broken },
    { "no HTTP", "garbage\r\n\r\n", AttemptResult::Incomplete },
};

}

TEST_CASE("upstream responses map to attempt results", "[http]")
{
    // A truncated response or one of another request must not count as the response, and a crash of the upstream must
    // not count as "not run".
    for (const auto& row : cases) {
        DYNAMIC_SECTION(row.name)
        {
            RawUpstream upstream { [&](Connection& connection, int) {
                RawUpstream::readRequest(connection);
                RawUpstream::respond(connection, row.response);
            } };
            UpstreamConnectionPool pool;
            const auto report = sendTo(pool, upstream.endpoint());
            REQUIRE(report.kind == AttemptReport::Kind::Made);
            CHECK(report.result == row.result);
            if (report.result == AttemptResult::Answered && report.response.status == 200) {
                CHECK(report.response.body == "ok");
            }
        }
    }
}

TEST_CASE("headers behind an interim response arrive unchanged", "[http]")
{
    // The library decodes %XX in header values, which are escaped for it only in what passes for the head.
    RawUpstream upstream { [&](Connection& connection, int) {
        RawUpstream::readRequest(connection);
        RawUpstream::respond(connection, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTeaselturn-Request-Id: id\r\nX-Name: a%41%0d%0a\r\nContent-Length: 3\r\n\r\n%41");
    } };
    UpstreamConnectionPool pool;
    const auto report = sendTo(pool, upstream.endpoint());
    REQUIRE(report.result == AttemptResult::Answered);
    CHECK(report.response.header("X-Name") == "a%41%0d%0a");
    CHECK(report.response.body == "%41");
}

TEST_CASE("a refused connection is the only failure that proves nothing was sent", "[http]")
{
    std::uint16_t port = 0;
    const int descriptor = listenOn("127.0.0.1", port).value();
    ::close(descriptor);
    UpstreamConnectionPool pool;
    const auto report = sendTo(pool, { "127.0.0.1", port });
    REQUIRE(report.kind == AttemptReport::Kind::Made);
    CHECK(report.result == AttemptResult::ConnectionRefused);
    CHECK(pool.connectionCount({ "127.0.0.1", port }) == 0);
}

TEST_CASE("an idle connection that the upstream closes after reading a request is not reported as not run", "[http]")
{
    // The upstream has read the second request, so the pool must not report "not run" or send the request again.
    std::atomic<int> requests { 0 };
    RawUpstream upstream { [&](Connection& connection, int) {
        for (int i = 0; i < 2; ++i) {
            if (RawUpstream::readRequest(connection).empty()) {
                return;
            }
            ++requests;
            if (i == 0) {
                RawUpstream::respond(connection, validResponse);
            }
        }
    } };
    {
        UpstreamConnectionPool pool;
        REQUIRE(sendTo(pool, upstream.endpoint()).result == AttemptResult::Answered);
        CHECK(sendSecondTo(pool, upstream.endpoint()).result == AttemptResult::Broken);
    }
    CHECK(requests == 2);
}

TEST_CASE("a request on an idle connection that the upstream closed is never reported as not sent", "[http]")
{
    std::atomic<int> connections { 0 };
    RawUpstream upstream { [&](Connection& connection, int) {
        ++connections;
        const bool isSecond = RawUpstream::readRequest(connection).find("Request-Id: second") != std::string::npos;
        RawUpstream::respond(connection, validResponseTo(isSecond ? "second" : "id"));
    } };
    UpstreamConnectionPool pool;
    REQUIRE(sendTo(pool, upstream.endpoint()).result == AttemptResult::Answered);
    // If the close has arrived, the pool opens another connection; if not, the request may have run. The pool must
    // never report that nothing was sent.
    const auto second = sendSecondTo(pool, upstream.endpoint());
    CHECK((second.result == AttemptResult::Answered || second.result == AttemptResult::Broken));
}

TEST_CASE("a connection without a response times out, is closed and not reused", "[http]")
{
    RawUpstream upstream { [&](Connection& connection, int number) {
        RawUpstream::readRequest(connection);
        if (number > 0) {
            RawUpstream::respond(connection, validResponse);
        }
        RawUpstream::waitForClose(connection);
    } };
    UpstreamConnectionPool pool;
    CHECK(sendTo(pool, upstream.endpoint(), 50ms).result == AttemptResult::TimedOut);
    CHECK(pool.connectionCount(upstream.endpoint()) == 0);
    CHECK(sendTo(pool, upstream.endpoint(), 10s, 4, true).result == AttemptResult::Answered);
}

TEST_CASE("a late response does not reach the next request", "[http]")
{
    // The late response belongs to the first request and must not be taken for the response to the second.
    RawUpstream upstream { [&](Connection& connection, int number) {
        RawUpstream::readRequest(connection);
        if (number == 0) {
            RawUpstream::waitForClose(connection);
            RawUpstream::respond(connection, validResponse);
        } else {
            RawUpstream::respond(connection, validResponse);
            RawUpstream::waitForClose(connection);
        }
    } };
    UpstreamConnectionPool pool;
    CHECK(sendTo(pool, upstream.endpoint(), 50ms).result == AttemptResult::TimedOut);
    CHECK(sendTo(pool, upstream.endpoint()).result == AttemptResult::Answered);
}

TEST_CASE("bytes after a response close its connection", "[http]")
{
    // They must not be read as the response to the next request.
    RawUpstream upstream { [&](Connection& connection, int) {
        RawUpstream::readRequest(connection);
        RawUpstream::respond(connection, validResponse + validResponse);
        RawUpstream::waitForClose(connection);
    } };
    UpstreamConnectionPool pool;
    CHECK(sendTo(pool, upstream.endpoint()).result == AttemptResult::Answered);
    CHECK(pool.connectionCount(upstream.endpoint()) == 0);
}

TEST_CASE("a refused request is not sent again on the connection that refused it", "[http]")
{
    // Its response has the same id as the refusal, so a late copy of the refusal would be taken for it while the request
    // runs. With a share of one, the idle connection has to make room for another.
    for (const std::uint32_t share : { 4U, 1U }) {
        std::atomic<int> copies { 0 };
        RawUpstream upstream { [&](Connection& connection, int number) {
            const std::string refusal = "HTTP/1.1 503 Busy\r\nTeaselturn-Request-Id: id\r\nTeaselturn-Refused: yes\r\nContent-Length: 0\r\n\r\n";
            for (int i = 0; !RawUpstream::readRequest(connection).empty(); ++i) {
                if (i > 0) {
                    ++copies;
                    RawUpstream::respond(connection, refusal);
                }
                RawUpstream::respond(connection, number == 0 && i == 0 ? refusal : validResponse);
            }
        } };
        UpstreamConnectionPool pool;
        CHECK(sendTo(pool, upstream.endpoint(), 10s, share).result == AttemptResult::RefusedByLoad);
        CHECK(sendTo(pool, upstream.endpoint(), 10s, share).result == AttemptResult::Answered);
        CHECK(copies == 0);
        CHECK(pool.connectionCount(upstream.endpoint()) == std::min(share, 2U));
    }
}

TEST_CASE("the pool respects the connection share", "[http]")
{
    RawUpstream upstream { [&](Connection& connection, int) {
        RawUpstream::readRequest(connection);
        RawUpstream::respond(connection, validResponse);
        RawUpstream::waitForClose(connection);
    } };
    UpstreamConnectionPool pool;
    CHECK(sendTo(pool, upstream.endpoint(), 10s, 0).kind == AttemptReport::Kind::Limited);
    CHECK(sendTo(pool, upstream.endpoint(), 10s, 1).result == AttemptResult::Answered);
    CHECK(pool.connectionCount(upstream.endpoint()) == 1);
    pool.closeUnused(SteadyClock {}.now() + 4s);
    CHECK(pool.connectionCount(upstream.endpoint()) == 1);
    pool.closeUnused(SteadyClock {}.now() + 6s);
    CHECK(pool.connectionCount(upstream.endpoint()) == 0);
}

TEST_CASE("an attempt is withdrawn when its route changed before the first byte", "[http]")
{
    std::atomic<bool> hasReceived { false };
    {
        RawUpstream upstream { [&](Connection& connection, int) {
            hasReceived = !RawUpstream::readRequest(connection).empty();
        } };
        UpstreamConnectionPool pool;
        const HttpRequest request { "GET", "/s/x/y", {}, {}, {} };
        const auto endpoint = upstream.endpoint();
        const auto report
            = pool.send({ endpoint, 1, request, "id", SteadyClock {}.now() + 10s, false, [] { return false; } });
        CHECK(report.kind == AttemptReport::Kind::Withdrawn);
    }
    CHECK_FALSE(hasReceived);
}

TEST_CASE("ending the attempts wakes a sender and does not report its request as not run", "[http]")
{
    // At the end of a drain period the worker blocked until the upstream responded, and the process exited before.
    absl::Notification isReceived;
    RawUpstream upstream { [&](Connection& connection, int) {
        RawUpstream::readRequest(connection);
        isReceived.Notify();
        RawUpstream::waitForClose(connection);
    } };
    UpstreamConnectionPool pool;
    AttemptReport report;
    std::thread sender { [&] { report = sendTo(pool, upstream.endpoint(), 20s); } };
    isReceived.WaitForNotification();
    const auto endedAt = SteadyClock {}.now();
    pool.endAttempts();
    sender.join();
    CHECK(SteadyClock {}.now() - endedAt < 5s);
    REQUIRE(report.kind == AttemptReport::Kind::Made);
    CHECK(report.result == AttemptResult::Broken);
    CHECK(pool.connectionCount(upstream.endpoint()) == 0);
}

TEST_CASE("no request is sent once the attempts have ended", "[http]")
{
    // Neither on an idle connection nor on a new one; such a request is reported as not run.
    std::atomic<int> requests { 0 };
    {
        RawUpstream upstream { [&](Connection& connection, int) {
            while (!RawUpstream::readRequest(connection).empty()) {
                ++requests;
                RawUpstream::respond(connection, validResponse);
            }
        } };
        UpstreamConnectionPool pool;
        REQUIRE(sendTo(pool, upstream.endpoint()).result == AttemptResult::Answered);
        pool.endAttempts();
        CHECK(sendSecondTo(pool, upstream.endpoint()).kind == AttemptReport::Kind::Withdrawn);
        CHECK(sendTo(pool, upstream.endpoint(), 10s, 4, true, "third").kind == AttemptReport::Kind::Withdrawn);
    }
    CHECK(requests == 1);
}

TEST_CASE("ending the attempts wakes a sender that waits for a connection or for the upstream's host", "[http]")
{
    // Neither has sent a byte, so both are reported as not run, in time for their callers.
    absl::Notification isReceived;
    RawUpstream upstream { [&](Connection& connection, int) {
        RawUpstream::readRequest(connection);
        isReceived.Notify();
        RawUpstream::waitForClose(connection);
    } };
    // The handshake of a third connection to this listener does not complete, since its queue of accepted ones is full.
    const auto silent = openBound({ "127.0.0.1", 0 }, SOCK_STREAM).value();
    REQUIRE(::listen(silent.number(), 0) == 0);
    const auto silentEndpoint = boundEndpoint(silent);
    std::vector<std::unique_ptr<Connection>> queued;
    for (int i = 0; i < 2; ++i) {
        if (auto connection = Connection::connect(silentEndpoint, SteadyClock {}.now() + 200ms)) {
            queued.push_back(std::move(connection).value());
        }
    }
    UpstreamConnectionPool pool { { 5s, 10, 20s, {} } };
    AttemptReport first;
    AttemptReport waiting;
    AttemptReport connecting;
    std::thread firstSender { [&] { first = sendTo(pool, upstream.endpoint(), 20s, 1); } };
    isReceived.WaitForNotification();
    std::thread waitingSender { [&] { waiting = sendTo(pool, upstream.endpoint(), 20s, 1, false, "second"); } };
    std::atomic<bool> hasConnected { false };
    std::thread connectingSender { [&] {
        connecting = sendTo(pool, silentEndpoint, 20s);
        hasConnected = true;
    } };
    std::this_thread::sleep_for(200ms);
    CHECK_FALSE(hasConnected);
    const auto endedAt = SteadyClock {}.now();
    pool.endAttempts();
    for (auto* sender : { &firstSender, &waitingSender, &connectingSender }) {
        sender->join();
    }
    CHECK(SteadyClock {}.now() - endedAt < 5s);
    CHECK(first.result == AttemptResult::Broken);
    CHECK(waiting.kind == AttemptReport::Kind::Withdrawn);
    const bool isNotSent = connecting.kind == AttemptReport::Kind::Withdrawn
        || (connecting.kind == AttemptReport::Kind::Made && connecting.result == AttemptResult::ConnectionRefused);
    CHECK(isNotSent);
}

TEST_CASE("attempts that end at any moment are reported by what was sent", "[http]")
{
    // A request that reached the upstream must not be reported as not sent. Also lets ThreadSanitizer and the kernel see
    // sockets that are closed and opened while they are shut down.
    for (int round = 0; round < 20; ++round) {
        Mutex mutex;
        std::set<std::string> received;
        std::map<std::string, AttemptReport> reports;
        {
            RawUpstream upstream { [&](Connection& connection, int) {
                while (true) {
                    const auto request = RawUpstream::readRequest(connection);
                    const auto position = request.find("Request-Id: ");
                    if (position == std::string::npos) {
                        return;
                    }
                    const auto begin = position + 12;
                    const auto id = request.substr(begin, request.find('\r', begin) - begin);
                    {
                        const MutexLock lock { mutex };
                        received.insert(id);
                    }
                    RawUpstream::respond(connection, validResponseTo(id));
                }
            } };
            UpstreamConnectionPool pool;
            std::vector<std::thread> senders;
            senders.reserve(4);
            for (int sender = 0; sender < 4; ++sender) {
                senders.emplace_back([&, sender] {
                    for (int i = 0;; ++i) {
                        const auto id = std::to_string(sender) + "-" + std::to_string(i);
                        auto report = sendTo(pool, upstream.endpoint(), 10s, 4, false, id);
                        const bool hasEnded = report.kind == AttemptReport::Kind::Withdrawn;
                        const MutexLock lock { mutex };
                        reports.emplace(id, std::move(report));
                        if (hasEnded) {
                            return;
                        }
                    }
                });
            }
            std::this_thread::sleep_for(std::chrono::milliseconds { 2 + round });
            pool.endAttempts();
            for (auto& sender : senders) {
                sender.join();
            }
        }
        const MutexLock lock { mutex };
        int falselyNotSent = 0;
        for (const auto& [id, report] : reports) {
            const bool isNotSent = report.kind != AttemptReport::Kind::Made || report.result == AttemptResult::ConnectionRefused;
            falselyNotSent += isNotSent && received.contains(id) ? 1 : 0;
        }
        CHECK(falselyNotSent == 0);
    }
}
