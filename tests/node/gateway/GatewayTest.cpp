#include "node/gateway/Gateway.h"

#include "adapters/http/HttpClient.h"
#include "node/gateway/LoopbackGateway.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <functional>

using namespace teaselturn;
using namespace teaselturn::support;
using std::chrono::milliseconds;

namespace {

/// An upstream on loopback that responds with what a function of the test returns, or not at all.
class FakeUpstream {
public:
    using ResponseFunction = std::function<std::optional<OutgoingResponse>(const ReceivedRequest&)>;

    FakeUpstream(Reactor& reactor, ResponseFunction makeResponse)
        : makeResponse(std::move(makeResponse))
        , listener(reactor, { [this](HttpRequestId requestId, const ReceivedRequest& request) { this->handleRequest(requestId, request); }, [this](HttpRequestId) { ++this->disconnects; } })
    {
        REQUIRE(this->listener.listen({ "127.0.0.1", 0 }));
    }

    Endpoint endpoint() const { return this->listener.localEndpoint(); }

    static OutgoingResponse validResponse(const ReceivedRequest& request, std::string body)
    {
        OutgoingResponse response;
        appendHeader(response.headerLines, "Request-Id", request.header("Request-Id"));
        appendHeader(response.headerLines, "Upstream-Signature", "signed");
        response.body = std::move(body);
        return response;
    }

    std::atomic<int> requests { 0 };
    std::atomic<int> disconnects { 0 };

private:
    void handleRequest(HttpRequestId requestId, const ReceivedRequest& request)
    {
        ++this->requests;
        if (auto response = this->makeResponse(request)) {
            this->listener.respond(requestId, std::move(*response));
        }
    }

    ResponseFunction makeResponse;
    HttpListener listener;
};

/// A gateway with one route, to a service with one fake upstream.
struct GatewayFixture : LoopbackGateway {
    FakeUpstream upstream;

    GatewayFixture(FakeUpstream::ResponseFunction makeResponse, RequestKind kind)
        : upstream(this->reactor, std::move(makeResponse))
    {
        this->apply(ChangeItems { { serviceItem("a", false), routeItem("r", "a", 1, kind) }, {} });
        this->addUpstream("u", "a", this->upstream.endpoint());
        this->start();
    }
    ~GatewayFixture() { this->reactor.stop(); }
};

}

TEST_CASE("a request is forwarded to its upstream and the response to its caller")
{
    // Catch's checks aren't thread-safe, so the upstream's worker returns what it received in the response.
    const auto echo = [](const ReceivedRequest& request) {
        return FakeUpstream::validResponse(request, request.target + " " + std::string { request.header("Expect-Instance") } + " " + std::string { request.header("Request-Id") });
    };
    GatewayFixture fixture { echo, RequestKind::AtMostOnce };
    const auto received = fixture.sendAndReceive(callerRequest("one", "/r/x?q=1"), 1);
    CHECK(received.starts_with("HTTP/1.1 200"));
    CHECK(received.find("Upstream-Signature: signed") != std::string::npos);
    CHECK(received.ends_with("/r/x?q=1 u one"));
}

TEST_CASE("pipelined requests get their responses in order")
{
    GatewayFixture fixture { [](const ReceivedRequest& request) { return FakeUpstream::validResponse(request, "[" + std::string { request.header("Request-Id") } + "]"); }, RequestKind::Idempotent };
    const auto received = fixture.sendAndReceive(callerRequest("one") + callerRequest("two") + callerRequest("three"), 3);
    const auto one = received.find("[one]");
    const auto two = received.find("[two]");
    const auto three = received.find("[three]");
    CHECK(one < two);
    CHECK(two < three);
    CHECK(three != std::string::npos);
}

TEST_CASE("a request that matches no route is rejected and not sent")
{
    GatewayFixture fixture { [](const ReceivedRequest& request) { return FakeUpstream::validResponse(request, ""); }, RequestKind::AtMostOnce };
    CHECK(fixture.sendAndReceive(callerRequest("one", "/other/"), 1).starts_with("HTTP/1.1 404"));
    CHECK(fixture.upstream.requests == 0);
}

TEST_CASE("a response with the id of another request is not forwarded")
{
    GatewayFixture fixture { [](const ReceivedRequest&) {
                                OutgoingResponse response;
                                appendHeader(response.headerLines, "Request-Id", "another");
                                appendHeader(response.headerLines, "Upstream-Signature", "signed");
                                return response;
                            },
        RequestKind::AtMostOnce };
    CHECK(fixture.sendAndReceive(callerRequest("one"), 1).starts_with("HTTP/1.1 502"));
    CHECK(fixture.upstream.requests == 1);
}

TEST_CASE("a response whose status is no HTTP status does not reach the caller")
{
    for (const unsigned status : { 0U, 99U, 600U, 999U }) {
        INFO(status);
        GatewayFixture fixture { [status](const ReceivedRequest& request) {
                                    auto response = FakeUpstream::validResponse(request, "x");
                                    response.status = status;
                                    return response;
                                },
            RequestKind::AtMostOnce };
        CHECK(fixture.sendAndReceive(callerRequest("one"), 1).starts_with("HTTP/1.1 502"));
    }
}

TEST_CASE("a request refused by its overloaded upstream gets 503 with Retry-After")
{
    GatewayFixture fixture { [](const ReceivedRequest& request) {
                                auto response = FakeUpstream::validResponse(request, "");
                                response.status = 503;
                                appendHeader(response.headerLines, "Not-Executed", "1");
                                return response;
                            },
        RequestKind::AtMostOnce };
    const auto received = fixture.sendAndReceive(callerRequest("one"), 1);
    CHECK(received.starts_with("HTTP/1.1 503"));
    CHECK(received.find("Retry-After: ") != std::string::npos);
}

TEST_CASE("a status that promises that a request did not run reaches the caller only if the upstream states so")
{
    // Guards against a caller that sends a request again that has run (review/7). An idempotent request is repeated here, and
    // its caller gets no promise either.
    const auto status = GENERATE(408U, 429U, 503U);
    const auto kind = GENERATE(RequestKind::AtMostOnce, RequestKind::Upload, RequestKind::Idempotent, RequestKind::Download);
    GatewayFixture fixture { [status](const ReceivedRequest& request) {
                                auto response = FakeUpstream::validResponse(request, "the payment could not be completed");
                                response.status = status;
                                return response;
                            },
        kind };
    const auto received = fixture.sendAndReceive(callerRequest("one"), 1);
    CHECK(received.starts_with("HTTP/1.1 502"));
    CHECK(received.find("Request-Id: one") != std::string::npos);
    CHECK(received.find("Upstream-Signature") == std::string::npos);
    CHECK(received.find("Retry-After") == std::string::npos);
    CHECK((mayRepeat(kind) || fixture.upstream.requests == 1));
}

TEST_CASE("a request without a response ends at its deadline, and its upstream connection is closed")
{
    GatewayFixture fixture { [](const ReceivedRequest&) { return std::optional<OutgoingResponse> {}; }, RequestKind::AtMostOnce };
    CHECK(fixture.sendAndReceive(callerRequest("one", "/r/x", "200"), 1).starts_with("HTTP/1.1 504"));
    for (int i = 0; i < 1'000 && fixture.upstream.disconnects == 0; ++i) {
        std::this_thread::sleep_for(milliseconds { 10 });
    }
    CHECK(fixture.upstream.disconnects == 1);
}

TEST_CASE("a request whose upstream cannot be reached is refused, not lost")
{
    GatewayFixture fixture { [](const ReceivedRequest&) { return std::optional<OutgoingResponse> {}; }, RequestKind::AtMostOnce };
    auto unreachable = fixture.state.findUpstream("u")->announcement;
    unreachable.key.incarnation = 2;
    unreachable.endpoint.port = 1;
    REQUIRE(applyNext(fixture.state, unreachable) == ResultCode::Ok);
    fixture.gateway.executeEffects(fixture.gateway.applyState(fixture.state));
    CHECK(fixture.sendAndReceive(callerRequest("one"), 1).starts_with("HTTP/1.1 503"));
}

TEST_CASE("a draining connection is closed after the response in progress")
{
    // Guards against a caller that always has another request pending and so keeps its connection open until the
    // process ends, which cut off its last request.
    GatewayFixture fixture { [](const ReceivedRequest& request) { return FakeUpstream::validResponse(request, "[" + std::string { request.header("Request-Id") } + "]"); }, RequestKind::Idempotent };
    fixture.gateway.beginDrain();
    const auto received = fixture.sendAndReceive(callerRequest("one") + callerRequest("two"), 2);
    CHECK(received.find("[one]") != std::string::npos);
    CHECK(received.find("Connection: close") != std::string::npos);
    CHECK(received.find("[two]") == std::string::npos);
}

TEST_CASE("a planned stop does not cut a large response whose caller reads slowly")
{
    // Guards against closing a connection whose response is decided but not sent: it has no open request any more.
    const std::string body(7 * 1'024 * 1'024, 'x');
    GatewayFixture fixture { [&body](const ReceivedRequest& request) { return FakeUpstream::validResponse(request, body); }, RequestKind::Download };
    const auto address = toSocketAddress(fixture.gateway.localEndpoint());
    const FileDescriptor socket { ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0) };
    const int smallBuffer = 16 * 1'024;
    setsockopt(socket.number(), SOL_SOCKET, SO_RCVBUF, &smallBuffer, sizeof smallBuffer);
    const timeval receiveTimeout { 10, 0 };
    setsockopt(socket.number(), SOL_SOCKET, SO_RCVTIMEO, &receiveTimeout, sizeof receiveTimeout);
    REQUIRE(connect(socket.number(), address->pointer(), address->length) == 0);
    const auto request = callerRequest("one", "/r/x", "20000");
    REQUIRE(send(socket.number(), request.data(), request.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(request.size()));
    char buffer[4'096];
    auto received = static_cast<std::size_t>(recv(socket.number(), buffer, sizeof buffer, 0));
    REQUIRE(received > 0);
    fixture.gateway.beginDrain();
    fixture.gateway.closeIdle();
    CHECK(fixture.gateway.openRequests() == 1);
    for (auto count = recv(socket.number(), buffer, sizeof buffer, 0); count > 0 && received < body.size(); count = recv(socket.number(), buffer, sizeof buffer, 0)) {
        received += static_cast<std::size_t>(count);
    }
    CHECK(received >= body.size());
    for (int i = 0; i < 1'000 && fixture.gateway.openRequests() > 0; ++i) {
        std::this_thread::sleep_for(milliseconds { 10 });
    }
    CHECK(fixture.gateway.openRequests() == 0);
}

TEST_CASE("a request that a cold upstream has no room for is refused as not run and counted")
{
    GatewayFixture fixture { [](const ReceivedRequest& request) { return FakeUpstream::validResponse(request, "x"); }, RequestKind::Idempotent };
    auto service = serviceItem("a", false, 2);
    auto& content = std::get<ServiceItem>(service.content);
    content.warmUpTime = std::chrono::seconds { 60 };
    content.warmUpMilliRequestsPerSecond = 100;
    fixture.apply(ChangeItems { { service }, {} });
    fixture.apply(BeginWarmUp { fixture.state.findUpstream("u")->announcement.key, content.warmUpTime });
    fixture.publish();
    const auto received = fixture.sendAndReceive(callerRequest("1"), 1);
    CHECK(received.starts_with("HTTP/1.1 503"));
    CHECK(received.find("Retry-After: ") != std::string::npos);
    CHECK(fixture.upstream.requests == 0);
    CHECK(fixture.gateway.statistics().refusedForWarmUp.value() == 1);
    CHECK(fixture.gateway.metricsText().find("teaselturn_requests_refused_for_warm_up_total 1\n") != std::string::npos);
}
