#include "adapters/http/RawUpstream.h"
#include "node/gateway/LoopbackGateway.h"

#include <catch2/catch.hpp>

using namespace teaselturn;
using namespace teaselturn::support;

TEST_CASE("a response is forwarded although its upstream resets the connection before it has read the request")
{
    // The failure to send the rest of the request hid the response that had arrived before the reset.
    LoopbackGateway fixture;
    const RawUpstream upstream { [](Connection& connection, int) {
        std::array<char, 16 * 1'024> buffer {};
        std::size_t count = 0;
        static_cast<void>(connection.read(buffer, count, RawUpstream::soon()));
        RawUpstream::respond(connection, "HTTP/1.1 413 Content Too Large\r\nRequest-Id: one\r\nUpstream-Signature: s\r\nConnection: close\r\nContent-Length: 2\r\n\r\nno");
        // Closing with unread input resets the connection.
    } };
    fixture.apply(ChangeItems { { serviceItem("a", false), routeItem("r", "a") }, {} });
    fixture.addUpstream("u", "a", upstream.endpoint());
    fixture.start();
    const std::string body(8 * 1'024 * 1'024, 'x');
    const auto request = "POST /r/x HTTP/1.1\r\nHost: host.example\r\nRequest-Id: one\r\nDeadline-Ms: 9000\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    for (int round = 0; round < 20; ++round) {
        CAPTURE(round);
        const auto response = fixture.sendAndReceive(request, 1);
        CHECK(response.starts_with("HTTP/1.1 413"));
        CHECK(response.ends_with("no"));
    }
    fixture.reactor.stop();
}
