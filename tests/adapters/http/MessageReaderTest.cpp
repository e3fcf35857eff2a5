#include "adapters/http/MessageReader.h"

#include <catch2/catch.hpp>

using namespace teaselturn;

namespace {

MessageReader<ReceivedRequest> requests() { return MessageReader<ReceivedRequest> { ReadLimits { 1'024, 64 } }; }
MessageReader<ReceivedResponse> responses() { return MessageReader<ReceivedResponse> { ReadLimits { 1'024, 64 } }; }

}

TEST_CASE("pipelined requests are read one after the other")
{
    auto reader = requests();
    std::string buffer = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET /b HTTP/1.1\r\nHost: h\r\n\r\n";
    REQUIRE(reader.read(buffer) == ReadProgress::Complete);
    const auto first = reader.take();
    CHECK(first.method == "POST");
    CHECK(first.body == "abc");
    REQUIRE(reader.read(buffer) == ReadProgress::Complete);
    CHECK(reader.take().target == "/b");
    CHECK(buffer.empty());
}

TEST_CASE("a request may arrive byte by byte, its body in chunks")
{
    auto reader = requests();
    const std::string bytes = "PUT /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n";
    std::string buffer;
    auto progress = ReadProgress::Incomplete;
    for (const auto byte : bytes) {
        REQUIRE(progress == ReadProgress::Incomplete);
        buffer += byte;
        progress = reader.read(buffer);
    }
    REQUIRE(progress == ReadProgress::Complete);
    CHECK(reader.take().body == "abc");
}

TEST_CASE("requests with ambiguous length are rejected")
{
    // Request smuggling: a second request could be hidden in the body of the first.
    auto reader = requests();
    std::string buffer = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /x HTTP/1.1\r\n\r\n";
    CHECK(reader.read(buffer) == ReadProgress::Malformed);
}

TEST_CASE("a message with a transfer coding other than chunked is rejected")
{
    // Request smuggling: the body of such a request was taken for the next request, and ran.
    const std::string inner = "POST /inner HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
    for (const std::string coding : { "xchunked", "identity", "gzip", "\"chunked\"", "chunked, identity", "gzip, chunked", "chunked, chunked", "" }) {
        INFO(coding);
        auto reader = requests();
        std::string buffer = "POST /outer HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: ";
        buffer.append(coding).append("\r\n\r\n").append(inner);
        CHECK(reader.read(buffer) == ReadProgress::Malformed);
        auto responseReader = responses();
        buffer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: ";
        buffer.append(coding).append("\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
        CHECK(responseReader.read(buffer) == ReadProgress::Malformed);
    }
    auto reader = requests();
    std::string twice = "POST /outer HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n" + inner;
    CHECK(reader.read(twice) == ReadProgress::Malformed);
    auto chunked = requests();
    std::string valid = "POST /a HTTP/1.1\r\nHost: h\r\ntransfer-encoding: Chunked \r\n\r\n0\r\n\r\n";
    CHECK(chunked.read(valid) == ReadProgress::Complete);
}

TEST_CASE("oversized heads and bodies are reported separately")
{
    auto reader = requests();
    std::string head = "GET / HTTP/1.1\r\nX: " + std::string(2'000, 'x') + "\r\n\r\n";
    CHECK(reader.read(head) == ReadProgress::HeadTooLarge);
    reader = requests();
    std::string body = "POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n";
    CHECK(reader.read(body) == ReadProgress::BodyTooLarge);
}

TEST_CASE("a response without length is complete when its connection ends, one with a length may be truncated")
{
    auto reader = responses();
    std::string buffer = "HTTP/1.1 200 OK\r\n\r\npart";
    CHECK(reader.read(buffer) == ReadProgress::Incomplete);
    CHECK(reader.readEnd() == ReadProgress::Complete);
    CHECK(reader.take().body == "part");
    buffer = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart";
    CHECK(reader.read(buffer) == ReadProgress::Incomplete);
    CHECK(reader.readEnd() == ReadProgress::Malformed);
}

TEST_CASE("interim responses are skipped, and responses to HEAD have no body")
{
    auto reader = responses();
    std::string buffer = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n";
    REQUIRE(reader.read(buffer) == ReadProgress::Complete);
    CHECK(reader.take().status == 204);
    reader.expectNoBody();
    buffer = "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n";
    REQUIRE(reader.read(buffer) == ReadProgress::Complete);
    CHECK(reader.take().body.empty());
}

TEST_CASE("bytes that are not an HTTP message are malformed")
{
    auto reader = responses();
    std::string buffer = "\x01\x02garbage\r\n\r\n";
    CHECK(reader.read(buffer) == ReadProgress::Malformed);
}

TEST_CASE("bytes that never become a message are bounded, wherever in the message they come")
{
    // Guards against a peer that sends until the process has no memory left.
    const auto start = GENERATE(as<std::string> {},
        "", "HTTP/1.1 ", "HTTP/1.1 200 ", "HTTP/1.1 200 OK\r\nName: ", "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nTrailer: ",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "HTTP/1.1 200 OK\r\n\r\n");
    const auto filler = GENERATE(as<std::string> {}, "a", "0", " ", "\r\n", "1\r\na\r\n", "a: b\r\n", "1;x=y\r\na\r\n", "HTTP/1.1 100 Continue\r\n\r\n");
    auto reader = responses();
    std::string buffer = start;
    std::string piece;
    while (piece.size() < 4'096) {
        piece += filler;
    }
    auto progress = reader.read(buffer);
    std::size_t largest = buffer.size();
    for (int i = 0; i < 64 && progress == ReadProgress::Incomplete; ++i) {
        buffer += piece;
        progress = reader.read(buffer);
        largest = std::max(largest, buffer.size());
    }
    INFO("start '" << start << "' filler '" << filler << "' largest buffer " << largest);
    CHECK(progress != ReadProgress::Incomplete);
    CHECK(largest <= 16'384);
}

TEST_CASE("an empty chunked body may arrive byte by byte")
{
    // Guards against an assertion of the parser, which takes the last chunk only with its end.
    auto reader = responses();
    std::string buffer;
    auto progress = ReadProgress::Incomplete;
    for (const auto byte : std::string { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" }) {
        REQUIRE(progress == ReadProgress::Incomplete);
        buffer += byte;
        progress = reader.read(buffer);
    }
    REQUIRE(progress == ReadProgress::Complete);
    CHECK(reader.take().body.empty());
}

TEST_CASE("a response with a status outside 100 to 599 is malformed")
{
    // An upstream in trouble answered with the status 000, and its response was passed to the caller.
    for (const std::string status : { "000", "001", "099", "600", "999" }) {
        INFO(status);
        auto reader = responses();
        std::string buffer = "HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n\r\n";
        CHECK(reader.read(buffer) == ReadProgress::Malformed);
    }
    for (const std::string status : { "0", "99", "20", "2000", "-20", "2x0" }) {
        INFO(status);
        auto reader = responses();
        std::string buffer = "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n";
        CHECK(reader.read(buffer) == ReadProgress::Malformed);
    }
    for (const std::string status : { "200", "204", "304", "421", "599" }) {
        INFO(status);
        auto reader = responses();
        std::string buffer = "HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n\r\n";
        CHECK(reader.read(buffer) == ReadProgress::Complete);
    }
}

TEST_CASE("a body is taken in pieces as its bytes arrive, beyond the limit of a whole one")
{
    // Guards against pieces that are lost, doubled or kept, and against a limit or a reservation for the declared length.
    const bool isChunked = GENERATE(false, true);
    constexpr std::size_t length = 1'000'000;
    auto reader = responses();
    reader.expectPieces();
    std::string buffer = "HTTP/1.1 200 OK\r\nX-Name: value\r\n";
    buffer += isChunked ? "Transfer-Encoding: chunked\r\n\r\n" : "Content-Length: 1000000\r\n\r\n";
    REQUIRE(reader.read(buffer) == ReadProgress::Incomplete);
    REQUIRE(reader.isHeadComplete());
    CHECK(reader.head().status == 200);
    CHECK(reader.head().header("X-Name") == "value");
    CHECK(reader.declaredLength() == (isChunked ? std::nullopt : std::optional<std::uint64_t> { length }));
    std::string taken;
    for (std::size_t sent = 0; sent < length; sent += 1'000) {
        const std::string piece(1'000, static_cast<char>('a' + sent / 1'000 % 26));
        buffer += isChunked ? "3e8\r\n" + piece + "\r\n" : piece;
        const auto progress = reader.read(buffer);
        CHECK(progress == (sent + 1'000 == length && !isChunked ? ReadProgress::Complete : ReadProgress::Incomplete));
        const auto bytes = reader.takeBody();
        CHECK(bytes.capacity() <= 128 * 1'024);
        taken += bytes;
        CHECK(reader.bodyBytes() == 0);
    }
    if (isChunked) {
        buffer += "0\r\n\r\n";
        CHECK(reader.read(buffer) == ReadProgress::Complete);
        taken += reader.takeBody();
    }
    CHECK(taken.size() == length);
    CHECK(taken.substr(27'000, 1'001) == std::string(1'000, 'b') + "c");
    static_cast<void>(reader.take());
    // The next message has the limit again.
    buffer = "HTTP/1.1 200 OK\r\nContent-Length: 65\r\n\r\n";
    CHECK(reader.read(buffer) == ReadProgress::BodyTooLarge);
}
