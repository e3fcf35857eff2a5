#include "adapters/codec/Compression.h"

#include <catch2/catch.hpp>

using namespace teaselturn;

TEST_CASE("bytes are unchanged after compression and decompression")
{
    const std::vector<std::uint8_t> bytes(10'000, 7);
    const auto compressed = compress(bytes);
    REQUIRE(!compressed.empty());
    CHECK(compressed.size() < 100);
    const auto decompressed = decompress(compressed, bytes.size());
    REQUIRE(decompressed);
    CHECK(*decompressed == bytes);
}

TEST_CASE("corrupt or oversized compressed bytes are rejected before memory is allocated")
{
    const std::vector<std::uint8_t> bytes(10'000, 7);
    auto compressed = compress(bytes);
    CHECK(decompress(compressed, bytes.size() - 1).error() == ResultCode::MessageMalformed);
    compressed.resize(compressed.size() / 2);
    CHECK(!decompress(compressed, bytes.size()));
    CHECK(!decompress(std::vector<std::uint8_t> { 1, 2, 3 }, 100));
}
