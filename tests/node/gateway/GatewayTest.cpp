#include "node/gateway/Gateway.h"

#include "adapters/http/HttpClient.h"
#include "core/registry/RegistryFixture.h"
#include "platform/CallerHeaders.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <functional>

using namespace teaselturn;
using namespace teaselturn::support;
using std::chrono::milliseconds;

namespace {

/// An upstream on loopback whose answers the test decides.
class FakeUpstream {
public:
    using Answer = std::function<std::optional<OutgoingResponse>(const ReceivedRequest&)>;

    FakeUpstream(Reactor& reactor, Answer answer)
        : answer(std::move(answer))
        , listener(reactor, { [this](HttpRequestId requestId, const ReceivedRequest& request) { this->take(requestId, request); }, [this](HttpRequestId) { ++this->left; } })
    {
        REQUIRE(this->listener.listen({ "127.0.0.1", 0 }));
    }

    Endpoint endpoint() const { return this->listener.localEndpoint(); }

    static OutgoingResponse proper(const ReceivedRequest& request, std::string body)
    {
        OutgoingResponse response;
        appendHeader(response.headerLines, "Request-Id", request.header("Request-Id"));
        appendHeader(response.headerLines, "Upstream-Signature", "signed");
        response.body = std::move(body);
        return response;
    }

    std::atomic<int> requests { 0 };
    std::atomic<int> left { 0 };

private:
    void take(HttpRequestId requestId, const ReceivedRequest& request)
    {
        ++this->requests;
        if (auto response = this->answer(request)) {
            this->listener.respond(requestId, std::move(*response));
        }
    }

    Answer answer;
    HttpListener listener;
};

/// A gateway with one route to a service of the given upstream.
struct GatewayFixture {
    Reactor reactor { 2 };
    std::unique_ptr<Logger> logger { std::move(*Logger::open({ LogLevel::Fatal, {}, LogStream::Error })) };
    FakeUpstream upstream;
    Gateway<platform::CallerHeaders> gateway { reactor, *logger, { "z1", {}, 1, 200, 100, milliseconds { 10'000 } } };
    RegistryState state;

    GatewayFixture(FakeUpstream::Answer answer, RequestKind kind)
        : upstream(this->reactor, std::move(answer))
    {
        REQUIRE(applyNext(this->state, ChangeItems { { serviceItem("a", false), routeItem("r", "a", 1, kind) }, {} }) == ResultCode::Ok);
        auto announced = announcement("u", "a");
        announced.endpoint = this->upstream.endpoint();
        REQUIRE(applyNext(this->state, announced) == ResultCode::Ok);
        this->gateway.executeEffects(this->gateway.applyState(this->state));
        REQUIRE(this->gateway.listen({ "127.0.0.1", 0 }));
        this->reactor.start();
    }
    ~GatewayFixture() { this->reactor.stop(); }

    /// Sends raw bytes and reads until the connection ends or enough answers came.
    std::string exchange(const std::string& bytes, int answers)
    {
        const auto address = toSocketAddress(this->gateway.localEndpoint());
        REQUIRE(address);
        const FileDescriptor socket { ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0) };
        REQUIRE(connect(socket.number(), address->pointer(), address->length) == 0);
        const timeval patience { 10, 0 };
        setsockopt(socket.number(), SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
        REQUIRE(send(socket.number(), bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
        std::string received;
        MessageReader<ReceivedResponse> reader { {} };
        std::string unread;
        while (answers > 0) {
            char buffer[4'096];
            const auto count = recv(socket.number(), buffer, sizeof buffer, 0);
            if (count <= 0) {
                break;
            }
            received.append(buffer, static_cast<std::size_t>(count));
            unread.append(buffer, static_cast<std::size_t>(count));
            while (reader.read(unread) == ReadProgress::Complete) {
                static_cast<void>(reader.take());
                --answers;
            }
        }
        return received;
    }
};

std::string callerRequest(const std::string& id, const std::string& path = "/r/x", const std::string& deadline = "2000")
{
    return "GET " + path + " HTTP/1.1\r\nHost: host.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: " + deadline + "\r\n\r\n";
}

}

TEST_CASE("a request reaches its upstream unchanged, and the answer its caller")
{
    // Catch checks on one thread only, so the upstream's worker puts what it saw into the answer.
    const auto echo = [](const ReceivedRequest& request) {
        return FakeUpstream::proper(request, request.target + " " + std::string { request.header("Expect-Instance") } + " " + std::string { request.header("Request-Id") });
    };
    GatewayFixture fixture { echo, RequestKind::AtMostOnce };
    const auto received = fixture.exchange(callerRequest("one", "/r/x?q=1"), 1);
    CHECK(received.starts_with("HTTP/1.1 200"));
    CHECK(received.find("Upstream-Signature: signed") != std::string::npos);
    CHECK(received.ends_with("/r/x?q=1 u one"));
}

TEST_CASE("pipelined requests are answered in their order")
{
    GatewayFixture fixture { [](const ReceivedRequest& request) { return FakeUpstream::proper(request, "[" + std::string { request.header("Request-Id") } + "]"); }, RequestKind::Idempotent };
    const auto received = fixture.exchange(callerRequest("one") + callerRequest("two") + callerRequest("three"), 3);
    const auto one = received.find("[one]");
    const auto two = received.find("[two]");
    const auto three = received.find("[three]");
    CHECK(one < two);
    CHECK(two < three);
    CHECK(three != std::string::npos);
}

TEST_CASE("what no route allows is rejected without a send")
{
    GatewayFixture fixture { [](const ReceivedRequest& request) { return FakeUpstream::proper(request, ""); }, RequestKind::AtMostOnce };
    CHECK(fixture.exchange(callerRequest("one", "/other/"), 1).starts_with("HTTP/1.1 404"));
    CHECK(fixture.upstream.requests == 0);
}

TEST_CASE("an answer that belongs to another request is not handed on")
{
    GatewayFixture fixture { [](const ReceivedRequest&) {
                                OutgoingResponse response;
                                appendHeader(response.headerLines, "Request-Id", "another");
                                appendHeader(response.headerLines, "Upstream-Signature", "signed");
                                return response;
                            },
        RequestKind::AtMostOnce };
    CHECK(fixture.exchange(callerRequest("one"), 1).starts_with("HTTP/1.1 502"));
    CHECK(fixture.upstream.requests == 1);
}

TEST_CASE("an upstream without room leads to a refusal that tells when to return")
{
    GatewayFixture fixture { [](const ReceivedRequest& request) {
                                auto response = FakeUpstream::proper(request, "");
                                response.status = 503;
                                appendHeader(response.headerLines, "Not-Executed", "1");
                                return response;
                            },
        RequestKind::AtMostOnce };
    const auto received = fixture.exchange(callerRequest("one"), 1);
    CHECK(received.starts_with("HTTP/1.1 503"));
    CHECK(received.find("Retry-After: ") != std::string::npos);
}

TEST_CASE("a request without an answer ends at its deadline, and its upstream's connection with it")
{
    GatewayFixture fixture { [](const ReceivedRequest&) { return std::optional<OutgoingResponse> {}; }, RequestKind::AtMostOnce };
    CHECK(fixture.exchange(callerRequest("one", "/r/x", "200"), 1).starts_with("HTTP/1.1 504"));
    for (int i = 0; i < 1'000 && fixture.upstream.left == 0; ++i) {
        std::this_thread::sleep_for(milliseconds { 10 });
    }
    CHECK(fixture.upstream.left == 1);
}

TEST_CASE("an upstream that cannot be reached is no loss")
{
    GatewayFixture fixture { [](const ReceivedRequest&) { return std::optional<OutgoingResponse> {}; }, RequestKind::AtMostOnce };
    auto gone = fixture.state.findUpstream("u")->announcement;
    gone.key.incarnation = 2;
    gone.endpoint.port = 1;
    REQUIRE(applyNext(fixture.state, gone) == ResultCode::Ok);
    fixture.gateway.executeEffects(fixture.gateway.applyState(fixture.state));
    CHECK(fixture.exchange(callerRequest("one"), 1).starts_with("HTTP/1.1 503"));
}

TEST_CASE("a draining connection ends with the requests under way")
{
    // Guards against a caller that keeps its connection past the end of the process by always having another request
    // under way: its last one was cut.
    GatewayFixture fixture { [](const ReceivedRequest& request) { return FakeUpstream::proper(request, "[" + std::string { request.header("Request-Id") } + "]"); }, RequestKind::Idempotent };
    fixture.gateway.beginDrain();
    const auto received = fixture.exchange(callerRequest("one") + callerRequest("two"), 2);
    CHECK(received.find("[one]") != std::string::npos);
    CHECK(received.find("Connection: close") != std::string::npos);
    CHECK(received.find("[two]") == std::string::npos);
}
