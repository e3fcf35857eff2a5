#include "ctl/AdminClient.h"

#include "adapters/http/CutResponses.h"

#include <catch2/catch.hpp>

using namespace teaselturn;
using namespace teaselturn::support;

TEST_CASE("a response of the administration API that ends early is a failure, whichever byte is the last")
{
    // Guards against a part of a status or report that is shown as a whole one, and against an exit code that depends on it.
    const auto end = GENERATE(ConnectionEnd::Orderly, ConnectionEnd::Reset);
    CuttingUpstream upstream;
    for (const auto& sample : sampleResponses("X-Name: value\r\n")) {
        const auto bytes = sample.bytes();
        for (std::size_t size = 0; size <= bytes.size(); ++size) {
            INFO(sample.name << ", " << size << " of " << bytes.size() << " bytes, " << (end == ConnectionEnd::Reset ? "reset" : "orderly end"));
            upstream.setResponse(bytes.substr(0, size), end);
            const auto response = adminGet(upstream.endpoint(), "/status");
            // The administration API declares the length of every response.
            const bool mayBeWhole = size == bytes.size() && sample.head.find("Content-Length") != std::string::npos;
            if (response) {
                CHECK(mayBeWhole);
                CHECK(response->status == 200);
                CHECK(response->body == sample.body);
            } else {
                // A reset may overtake a complete response.
                CHECK((!mayBeWhole || end == ConnectionEnd::Reset));
                CHECK(response.failure().code == ResultCode::HttpUnreachable);
            }
        }
    }
}
