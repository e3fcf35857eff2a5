#include "adapters/http/RawUpstream.h"
#include "node/gateway/LoopbackGateway.h"

#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <map>

using namespace teaselturn;
using namespace teaselturn::support;

/// Upstreams that send a copy of an earlier response, or bytes that belong to no request, on a kept connection.
namespace {

std::string headerOf(const std::string& request, const std::string& name)
{
    const auto begin = request.find(name + ": ");
    return begin == std::string::npos ? "" : request.substr(begin + name.size() + 2, request.find("\r\n", begin) - begin - name.size() - 2);
}

std::string refusal(const std::string& status, const std::string& idLine)
{
    return "HTTP/1.1 " + status + " Refused\r\nNot-Executed: 1\r\n" + idLine + "Content-Length: 0\r\n\r\n";
}

std::string success(const std::string& id)
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nUpstream-Signature: signed\r\nContent-Length: 2\r\n\r\nok";
}

/// Serves connections at every loopback address on a few threads, one request on each connection. Sends a copy of each
/// response in a packet of its own, right behind it.
class CopyingUpstream {
public:
    CopyingUpstream()
    {
        this->listener = listenOn("0.0.0.0", this->listenPort).value();
        for (auto& thread : this->threads) {
            thread = std::thread { [this] { this->run(); } };
        }
    }
    ~CopyingUpstream()
    {
        ::shutdown(this->listener, SHUT_RDWR);
        for (auto& thread : this->threads) {
            thread.join();
        }
        ::close(this->listener);
    }
    CopyingUpstream(const CopyingUpstream&) = delete;
    CopyingUpstream& operator=(const CopyingUpstream&) = delete;

    std::uint16_t port() const { return this->listenPort; }

    /// @return Number of runs of each request.
    std::map<std::string, int> takeRuns()
    {
        const MutexLock lock { this->mutex };
        return std::exchange(this->runs, {});
    }

private:
    void run()
    {
        while (true) {
            pollfd entry { this->listener, POLLIN, 0 };
            ::poll(&entry, 1, -1);
            const int descriptor = ::accept4(this->listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (descriptor < 0 && errno == EAGAIN) {
                continue;
            }
            if (descriptor < 0) {
                return;
            }
            Connection connection { descriptor };
            const auto id = headerOf(RawUpstream::readRequest(connection), "Request-Id");
            if (!id.empty()) {
                {
                    const MutexLock lock { this->mutex };
                    ++this->runs[id];
                }
                RawUpstream::respond(connection, success(id));
                std::this_thread::yield();
                RawUpstream::respond(connection, success(id));
                RawUpstream::waitForClose(connection);
            }
        }
    }

    std::uint16_t listenPort {};
    int listener {};
    std::array<std::thread, 16> threads;
    Mutex mutex;
    std::map<std::string, int> runs ABSL_GUARDED_BY(mutex);
};

}

TEST_CASE("a late copy of a refusal is not taken for the response to the repeat of the request")
{
    // The repeat has the id of the refused request, so only the connection tells their responses apart. The caller was told
    // that the request did not run while the upstream ran it.
    const std::string status = GENERATE("503", "421");
    std::atomic<int> runs { 0 };
    std::atomic<int> copies { 0 };
    RawUpstream upstream { [&](Connection& connection, int number) {
        std::string lastRefusal;
        while (true) {
            const auto id = headerOf(RawUpstream::readRequest(connection), "Request-Id");
            if (id.empty()) {
                return;
            }
            if (!lastRefusal.empty()) {
                ++copies;
                RawUpstream::respond(connection, lastRefusal);
            }
            if (number == 0 && lastRefusal.empty()) {
                lastRefusal = refusal(status, "Request-Id: " + id + "\r\n");
                RawUpstream::respond(connection, lastRefusal);
            } else {
                ++runs;
                RawUpstream::respond(connection, success(id));
            }
        }
    } };
    {
        LoopbackGateway fixture;
        fixture.apply(ChangeItems { { serviceItem("keys", true), routeItem("r", "keys") }, {} });
        const auto owner = fixture.addUpstream("u", "keys", upstream.endpoint());
        fixture.apply(AssignKeyRanges { "keys", { { 0, keyNumberCount - 1, owner.key, "" } } });
        fixture.start();
        const auto received = fixture.sendAndReceive(callerRequest("one", "/r/x", "2000", "Shard-Key: 7\r\n"), 1);
        CHECK(received.starts_with("HTTP/1.1 200"));
        fixture.reactor.stop();
    }
    CHECK(runs == 1);
    CHECK(copies == 0);
}

TEST_CASE("a refusal without an id is not taken for the response to a later request of its connection")
{
    // The refusal may be a copy of an earlier one; the request after it runs.
    std::atomic<int> runs { 0 };
    RawUpstream upstream { [&](Connection& connection, int) {
        for (int i = 0;; ++i) {
            const auto id = headerOf(RawUpstream::readRequest(connection), "Request-Id");
            if (id.empty()) {
                return;
            }
            ++runs;
            if (i > 0) {
                RawUpstream::respond(connection, refusal("503", ""));
            }
            RawUpstream::respond(connection, success(id));
        }
    } };
    {
        LoopbackGateway fixture;
        fixture.apply(ChangeItems { { serviceItem("a", false), routeItem("r", "a") }, {} });
        fixture.addUpstream("u", "a", upstream.endpoint());
        fixture.start();
        CHECK(fixture.sendAndReceive(callerRequest("one"), 1).starts_with("HTTP/1.1 200"));
        CHECK(fixture.sendAndReceive(callerRequest("two"), 1).starts_with("HTTP/1.1 502"));
        fixture.reactor.stop();
    }
    CHECK(runs == 2);
}

TEST_CASE("requests of callers that use an id twice do not share a connection")
{
    // A late copy of the response to the first of them would be delivered to the caller of the second.
    std::atomic<int> copies { 0 };
    RawUpstream upstream { [&](Connection& connection, int) {
        std::string lastResponse;
        while (true) {
            const auto request = RawUpstream::readRequest(connection);
            if (request.empty()) {
                return;
            }
            if (!lastResponse.empty()) {
                ++copies;
                RawUpstream::respond(connection, lastResponse);
            }
            lastResponse = success(headerOf(request, "Request-Id"));
            RawUpstream::respond(connection, lastResponse);
        }
    } };
    {
        LoopbackGateway fixture;
        fixture.apply(ChangeItems { { serviceItem("a", false), routeItem("r", "a") }, {} });
        fixture.addUpstream("u", "a", upstream.endpoint());
        fixture.start();
        CHECK(fixture.sendAndReceive(callerRequest("one"), 1).starts_with("HTTP/1.1 200"));
        CHECK(fixture.sendAndReceive(callerRequest("one"), 1).starts_with("HTTP/1.1 200"));
        fixture.reactor.stop();
    }
    CHECK(copies == 0);
}

TEST_CASE("bytes behind a complete response do not make its request run again")
{
    // The worker that got the bytes ended the attempt as not sent, while another worker still handled the response.
    constexpr int wantedResponses = 600;
    constexpr int pipelined = 8;
    const auto giveUpAt = SteadyClock {}.now() + std::chrono::seconds { 60 };
    CopyingUpstream upstream;
    LoopbackGateway fixture { 4 };
    fixture.apply(ChangeItems { { serviceItem("a", false), routeItem("r", "a") }, {} });
    for (int i = 1; i <= 2 * pipelined; ++i) {
        fixture.addUpstream("u" + std::to_string(i), "a", { "127.0.0." + std::to_string(i), upstream.port() });
    }
    fixture.start();
    std::map<std::string, unsigned> statuses;
    int answered = 0;
    // A copy that meets the next request of its connection ends that one as unknown, and after several the circuit breakers
    // refuse requests for a while.
    for (int round = 0; answered < wantedResponses && SteadyClock {}.now() < giveUpAt; ++round) {
        std::string requests;
        for (int i = 0; i < pipelined; ++i) {
            requests += callerRequest("id-" + std::to_string(round) + "-" + std::to_string(i));
        }
        MessageReader<ReceivedResponse> reader { {} };
        for (auto unread = fixture.sendAndReceive(requests, pipelined); reader.read(unread) == ReadProgress::Complete;) {
            const auto response = reader.take();
            statuses[std::string { response.header("Request-Id") }] = response.status;
            answered += response.status == 200 ? 1 : 0;
        }
    }
    fixture.reactor.stop();
    int repeated = 0;
    int refusedAfterRun = 0;
    for (const auto& [id, count] : upstream.takeRuns()) {
        repeated += count > 1 ? 1 : 0;
        refusedAfterRun += statuses[id] == 503 ? 1 : 0;
    }
    CHECK(repeated == 0);
    CHECK(refusedAfterRun == 0);
    CHECK(answered >= wantedResponses);
}
