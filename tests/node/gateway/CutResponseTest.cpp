#include "adapters/http/CutResponses.h"
#include "node/gateway/LoopbackGateway.h"

#include <catch2/catch.hpp>

using namespace teaselturn;
using namespace teaselturn::support;

TEST_CASE("a response that ends early is not forwarded, whichever byte is the last")
{
    // Guards against a short or empty body that is passed on with a length, as a whole one. A response without a length
    // is complete at an orderly end, but not if its connection is reset.
    const auto end = GENERATE(ConnectionEnd::Orderly, ConnectionEnd::Reset);
    CuttingUpstream upstream;
    std::size_t requests = 0;
    for (const auto& sample : sampleResponses("Request-Id: one\r\nUpstream-Signature: signed\r\n")) {
        const auto bytes = sample.bytes();
        LoopbackGateway fixture;
        // Each cut has an upstream and an address of its own, because the gateway sends no request to one that failed several
        // times.
        REQUIRE(bytes.size() < 254);
        for (std::size_t size = 0; size <= bytes.size(); ++size) {
            const auto number = std::to_string(size);
            fixture.apply(ChangeItems { { serviceItem("s" + number, false), routeItem("r" + number, "s" + number) }, {} });
            fixture.addUpstream("u" + number, "s" + number, { "127.0.0." + std::to_string(1 + size), upstream.endpoint().port });
        }
        fixture.start();
        for (std::size_t size = 0; size <= bytes.size(); ++size) {
            INFO(sample.name << ", " << size << " of " << bytes.size() << " bytes, " << (end == ConnectionEnd::Reset ? "reset" : "orderly end"));
            upstream.setResponse(bytes.substr(0, size), end);
            auto received = fixture.sendAndReceive(callerRequest("one", "/r" + std::to_string(size) + "/x"), 1);
            MessageReader<ReceivedResponse> reader { {} };
            REQUIRE(reader.read(received) == ReadProgress::Complete);
            const auto response = reader.take();
            CHECK(upstream.requestCount() == ++requests);
            // A reset may overtake a complete response.
            const bool mayBeWhole = sample.isCompleteAt(size) && (end == ConnectionEnd::Orderly || !sample.isDelimitedByEnd);
            const bool mustBeWhole = mayBeWhole && end == ConnectionEnd::Orderly;
            CHECK((response.status == 200 || response.status == 502));
            CHECK((response.status != 200 || mayBeWhole));
            CHECK((response.status == 200 || !mustBeWhole));
            if (response.status == 200) {
                CHECK(response.body == (sample.isDelimitedByEnd ? bytes.substr(sample.head.size(), size - sample.head.size()) : sample.body));
            }
        }
        fixture.reactor.stop();
    }
}

TEST_CASE("a large response without length is forwarded whole after an orderly end, and not at all after a reset")
{
    // The gateway reads it in several rounds. Guards against an end that is seen before the bytes, and a reset taken for one.
    const auto end = GENERATE(ConnectionEnd::Orderly, ConnectionEnd::Reset);
    const std::string body(900'000, 'x');
    CuttingUpstream upstream;
    upstream.setResponse("HTTP/1.1 200 OK\r\nRequest-Id: one\r\nUpstream-Signature: signed\r\n\r\n" + body, end);
    LoopbackGateway fixture;
    fixture.apply(ChangeItems { { serviceItem("s", false), routeItem("r", "s") }, {} });
    fixture.addUpstream("u", "s", upstream.endpoint());
    fixture.start();
    auto received = fixture.sendAndReceive(callerRequest("one"), 1);
    fixture.reactor.stop();
    MessageReader<ReceivedResponse> reader { {} };
    REQUIRE(reader.read(received) == ReadProgress::Complete);
    const auto response = reader.take();
    CHECK(response.status == (end == ConnectionEnd::Orderly ? 200 : 502));
    CHECK(response.body.size() == (end == ConnectionEnd::Orderly ? body.size() : 0));
}
