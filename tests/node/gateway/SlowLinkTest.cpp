#include "adapters/http/RawUpstream.h"
#include "node/gateway/LoopbackGateway.h"

#include <absl/synchronization/notification.h>
#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <thread>

using namespace teaselturn;
using namespace teaselturn::support;
using std::chrono::milliseconds;

/// Large bodies that cross the link of an entry VM at the same time.
namespace {

/// 6.6 Mbit/s.
constexpr std::size_t linkSpeed = 825'000;

/// Differs at each position, so that a lost, doubled or moved piece is noticed.
std::string makeBody(std::size_t size, unsigned seed)
{
    std::string body(size, '\0');
    std::uint32_t value = seed;
    for (auto& byte : body) {
        value = value * 1'664'525 + 1'013'904'223;
        byte = static_cast<char>(value >> 24);
    }
    return body;
}

std::string respondTo(std::string_view id, const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + std::string { id } + "\r\nUpstream-Signature: s\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string uploadRequest(const std::string& id, const std::string& body, const std::string& deadline = "20000")
{
    return "POST /up/x HTTP/1.1\r\nHost: host.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: " + deadline + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Serves requests of kept connections: returns the body of an upload, and bytes as many as the path of a download states.
void serve(Connection& connection)
{
    MessageReader<ReceivedRequest> reader { {} };
    std::string input;
    std::array<char, 64 * 1'024> buffer {};
    while (true) {
        std::size_t count = 0;
        if (connection.read(buffer, count, RawUpstream::soon()) != IoStatus::Ok) {
            return;
        }
        input.append(buffer.data(), count);
        while (reader.read(input) == ReadProgress::Complete) {
            const auto request = reader.take();
            const auto size = request.target.substr(request.target.rfind('/') + 1);
            const auto body = request.method == "POST" ? request.body : makeBody(std::stoul(size), 7);
            RawUpstream::respond(connection, respondTo(request.header("Request-Id"), body));
        }
    }
}

/// A gateway on a limited link with routes for uploads, downloads and small requests.
struct SlowLinkGateway : LoopbackGateway {
    explicit SlowLinkGateway(const RawUpstream& upstream, std::size_t linkBytesPerSecond = linkSpeed)
        : LoopbackGateway(2, BufferBudget::defaultLimit, linkBytesPerSecond)
    {
        std::vector<ConfigItem> items { serviceItem("a", false), routeItem("up", "a", 1, RequestKind::Upload), routeItem("down", "a", 1, RequestKind::Download), routeItem("small", "a", 1, RequestKind::Idempotent) };
        for (auto& item : items) {
            if (auto* route = std::get_if<RouteItem>(&item.content)) {
                route->timeout = std::chrono::hours { 1 };
                // The dispatcher must not refuse what arrives faster over loopback than the stated link could carry.
                route->targetLatency = std::chrono::hours { 1 };
                route->priority = item.name == "small" ? 0 : 2;
            }
        }
        this->apply(ChangeItems { items, {} });
        for (int i = 0; i < 4; ++i) {
            this->addUpstream("u" + std::to_string(i), "a", { "127.0.0." + std::to_string(1 + i), upstream.endpoint().port });
        }
        this->start();
    }
    ~SlowLinkGateway() { this->reactor.stop(); }

    std::string metric(const std::string& name) const
    {
        const auto text = this->gateway.metricsText();
        const auto begin = text.find("\n" + name + " ");
        return begin == std::string::npos ? "" : text.substr(begin + name.size() + 2, text.find('\n', begin + 1) - begin - name.size() - 2);
    }

    /// @return The body of the response; empty unless its status is 200 and it is complete.
    std::string exchange(const std::string& request) const
    {
        const auto received = this->sendAndReceive(request, 1);
        std::string input = received;
        MessageReader<ReceivedResponse> reader { {} };
        if (reader.read(input) != ReadProgress::Complete) {
            return {};
        }
        auto response = reader.take();
        return response.status == 200 ? response.body : std::string {};
    }
};

template <typename Condition>
bool waitUntil(Condition condition)
{
    for (int i = 0; i < 2'000 && !condition(); ++i) {
        std::this_thread::sleep_for(milliseconds { 5 });
    }
    return condition();
}

}

TEST_CASE("large uploads and downloads at once on a slow link are whole and intact, and small requests among them are served")
{
    // Guards against bodies that lose bytes when they pause, turns that are never freed, and small requests that wait for large
    // bodies.
    const RawUpstream upstream { [](Connection& connection, int) { serve(connection); }, "0.0.0.0" };
    const SlowLinkGateway gateway { upstream };
    constexpr unsigned perKind = 6;
    constexpr unsigned rounds = 3;
    std::atomic<unsigned> uploads { 0 };
    std::atomic<unsigned> downloads { 0 };
    std::atomic<unsigned> small { 0 };
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < perKind; ++i) {
        threads.emplace_back([&, i] {
            for (unsigned j = 0; j < rounds; ++j) {
                const auto body = makeBody(50'000 + 60'000 * i, i + 10 * j);
                uploads += gateway.exchange(uploadRequest("up-" + std::to_string(i) + "-" + std::to_string(j), body)) == body ? 1 : 0;
            }
        });
        threads.emplace_back([&, i] {
            for (unsigned j = 0; j < rounds; ++j) {
                const std::size_t size = 30'000 + 100'000 * i;
                downloads += gateway.exchange(callerRequest("down-" + std::to_string(i) + "-" + std::to_string(j), "/down/" + std::to_string(size), "20000")) == makeBody(size, 7) ? 1 : 0;
            }
        });
        threads.emplace_back([&, i] {
            for (unsigned j = 0; j < rounds; ++j) {
                small += gateway.exchange(callerRequest("small-" + std::to_string(i) + "-" + std::to_string(j), "/small/100", "20000")) == makeBody(100, 7) ? 1 : 0;
            }
        });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    CHECK(uploads == perKind * rounds);
    CHECK(downloads == perKind * rounds);
    CHECK(small == perKind * rounds);
    CHECK(gateway.metric("teaselturn_transfer_pauses_total") != "0");
    CHECK(gateway.metric("teaselturn_transfers_paused") == "0");
}

TEST_CASE("a download that waits for its turn goes on when a partner of the others leaves")
{
    // Guards against a turn that stays with a transfer which has ended, and a download that stays paused for ever.
    const bool isCallerLeaving = GENERATE(true, false);
    constexpr std::size_t size = 4'000'000;
    std::atomic<bool> mayEnd { false };
    std::atomic<int> begun { 0 };
    const RawUpstream upstream { [&](Connection& connection, int) {
                                    const auto request = RawUpstream::readRequest(connection);
                                    const auto begin = request.find("Request-Id: ") + 12;
                                    const auto id = request.substr(begin, request.find("\r\n", begin) - begin);
                                    const auto body = makeBody(size, 7);
                                    const auto response = respondTo(id, body);
                                    ++begun;
                                    // The endless ones keep the link busy at half its speed each.
                                    std::size_t sent = 0;
                                    while (id != "waits" && sent < response.size() && !mayEnd) {
                                        const auto count = std::min<std::size_t>(linkSpeed / 200, response.size() - sent);
                                        if (connection.write(response.substr(sent, count), RawUpstream::soon()) != IoStatus::Ok) {
                                            return;
                                        }
                                        sent += count;
                                        std::this_thread::sleep_for(milliseconds { 10 });
                                    }
                                    if (id == "waits") {
                                        RawUpstream::respond(connection, response);
                                        RawUpstream::waitForClose(connection);
                                    }
                                },
        "0.0.0.0" };
    const SlowLinkGateway gateway { upstream };
    std::array<FileDescriptor, 2> busy { gateway.connectCaller(), gateway.connectCaller() };
    std::vector<std::thread> readers;
    readers.reserve(busy.size());
    for (auto& caller : busy) {
        gateway.sendBytes(caller, callerRequest("busy-" + std::to_string(caller.number()), "/down/1", "20000"));
    }
    std::atomic<bool> areLeaving { false };
    for (const auto& caller : busy) {
        readers.emplace_back([&] {
            std::array<char, 64 * 1'024> buffer {};
            while (!areLeaving && recv(caller.number(), buffer.data(), buffer.size(), 0) > 0) {
            }
        });
    }
    REQUIRE(waitUntil([&] { return begun == 2; }));
    std::this_thread::sleep_for(milliseconds { 100 });
    const auto waiting = gateway.connectCaller();
    gateway.sendBytes(waiting, callerRequest("waits", "/down/1", "20000"));
    CHECK(waitUntil([&] { return gateway.metric("teaselturn_transfers_paused") != "0"; }));
    areLeaving = isCallerLeaving;
    mayEnd = !isCallerLeaving;
    for (auto& reader : readers) {
        reader.join();
    }
    busy = {};
    const auto received = LoopbackGateway::receive(waiting, 1);
    CHECK(received.ends_with(makeBody(size, 7)));
    CHECK(waitUntil([&] { return gateway.metric("teaselturn_transfers_paused") == "0"; }));
}

TEST_CASE("the time in which a large body arrives counts against the request's deadline")
{
    // Guards against an upstream that is given more time than the caller has left, and a request that is sent in vain.
    std::atomic<int> requests { 0 };
    const RawUpstream upstream { [&](Connection& connection, int) {
                                    ++requests;
                                    serve(connection);
                                },
        "0.0.0.0" };
    const SlowLinkGateway gateway { upstream };
    const auto body = makeBody(100'000, 1);
    const auto request = uploadRequest("late", body, "300");
    const auto caller = gateway.connectCaller();
    gateway.sendBytes(caller, request.substr(0, 20'000));
    std::this_thread::sleep_for(milliseconds { 400 });
    gateway.sendBytes(caller, request.substr(20'000));
    const auto received = LoopbackGateway::receive(caller, 1);
    INFO(received);
    CHECK(received.starts_with("HTTP/1.1 503 "));
    CHECK(requests == 0);
}

TEST_CASE("a gateway whose link has no stated speed pauses nothing")
{
    // Guards against limits that take effect where a deployment does not ask for them.
    const RawUpstream upstream { [](Connection& connection, int) { serve(connection); }, "0.0.0.0" };
    const SlowLinkGateway gateway { upstream, 0 };
    std::vector<std::thread> threads;
    std::atomic<int> intact { 0 };
    for (unsigned i = 0; i < 6; ++i) {
        threads.emplace_back([&, i] {
            const auto body = makeBody(300'000, i);
            intact += gateway.exchange(uploadRequest("up-" + std::to_string(i), body)) == body ? 1 : 0;
            intact += gateway.exchange(callerRequest("down-" + std::to_string(i), "/down/300000", "20000")) == makeBody(300'000, 7) ? 1 : 0;
        });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    CHECK(intact == 12);
    CHECK(gateway.metric("teaselturn_transfer_pauses_total") == "0");
}
