#include "CutResponses.h"
#include "adapters/http/HttpCodec.h"
#include "adapters/http/MessageReader.h"

#include <catch2/catch.hpp>

using namespace teaselturn;
using namespace teaselturn::support;

namespace {

/// Sizes of the pieces in which a response arrives, in bytes.
constexpr std::size_t pieceSizes[] = { 1, 3, 65'536 };

/// Reads the beginning of a response in pieces, and the end of the connection if the response is not complete before.
ReadProgress readCut(MessageReader<ReceivedResponse>& reader, const std::string& bytes, std::size_t pieceSize, bool& needsEnd)
{
    std::string buffer;
    auto progress = ReadProgress::Incomplete;
    for (std::size_t begin = 0; begin < bytes.size() && progress == ReadProgress::Incomplete; begin += pieceSize) {
        buffer += bytes.substr(begin, pieceSize);
        progress = reader.read(buffer);
    }
    needsEnd = progress == ReadProgress::Incomplete;
    return needsEnd ? reader.readEnd() : progress;
}

}

TEST_CASE("a response that ends early is not complete, whichever byte is the last")
{
    // Guards against a short or empty body that is passed on as a whole one.
    auto samples = sampleResponses("X-Name: value\r\n");
    for (auto& sample : bodylessResponses()) {
        samples.push_back(std::move(sample));
    }
    samples.push_back({ "two interim responses", "GET", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", "ab", "ab" });
    samples.push_back({ "trailers", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "2\r\nab\r\n0\r\nX-Trailer: value\r\n\r\n", "ab" });
    samples.push_back({ "HTTP/1.0", "GET", "HTTP/1.0 200 OK\r\nX-Name: value\r\n\r\n", "ab", "ab", true });
    for (const auto& sample : samples) {
        const auto bytes = sample.bytes();
        for (std::size_t size = 0; size <= bytes.size(); ++size) {
            for (const auto pieceSize : pieceSizes) {
                INFO(sample.name << ", " << size << " of " << bytes.size() << " bytes in pieces of " << pieceSize);
                MessageReader<ReceivedResponse> reader { {} };
                if (sample.method == "HEAD") {
                    reader.expectNoBody();
                }
                bool needsEnd = false;
                const auto progress = readCut(reader, bytes.substr(0, size), pieceSize, needsEnd);
                CHECK(needsEnd == (sample.isDelimitedByEnd || size < bytes.size()));
                REQUIRE((progress == ReadProgress::Complete) == sample.isCompleteAt(size));
                if (progress == ReadProgress::Complete) {
                    CHECK(reader.take().body == (sample.isDelimitedByEnd ? bytes.substr(sample.head.size(), size - sample.head.size()) : sample.body));
                }
            }
        }
    }
}

TEST_CASE("an exchange whose response ends early is not complete, whichever byte is the last", "[http]")
{
    // Guards against a short or empty body that is passed on as a whole one. A response without a length is never complete.
    const auto end = GENERATE(ConnectionEnd::Orderly, ConnectionEnd::Reset);
    auto samples = sampleResponses("X-Name: value\r\n");
    for (auto& sample : bodylessResponses()) {
        samples.push_back(std::move(sample));
    }
    CuttingUpstream upstream;
    for (const auto& sample : samples) {
        const auto bytes = sample.bytes();
        for (std::size_t size = 0; size <= bytes.size(); ++size) {
            INFO(sample.name << ", " << size << " of " << bytes.size() << " bytes, " << (end == ConnectionEnd::Reset ? "reset" : "orderly end"));
            upstream.setResponse(bytes.substr(0, size), end);
            const auto connection = Connection::connect(upstream.endpoint(), RawUpstream::soon()).value();
            const auto result = exchange(*connection, { sample.method, "/", {}, {}, {} }, MessageLimits {}, RawUpstream::soon());
            const bool isWhole = size == bytes.size() && !sample.isDelimitedByEnd;
            if (end == ConnectionEnd::Orderly || !isWhole) {
                CHECK((result.status == ExchangeStatus::Complete) == isWhole);
            }
            if (result.status == ExchangeStatus::Complete) {
                CHECK(result.response.body == sample.body);
            }
        }
    }
}
