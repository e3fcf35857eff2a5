#include "adapters/codec/Compression.h"

#include <catch2/catch.hpp>

using namespace teaselturn;

TEST_CASE("bytes are unchanged after compression and decompression")
{
    const std::vector<std::uint8_t> bytes(10'000, 7);
    const auto shorter = compress(bytes);
    REQUIRE(!shorter.empty());
    CHECK(shorter.size() < 100);
    const auto back = decompress(shorter, bytes.size());
    REQUIRE(back);
    CHECK(*back == bytes);
}

TEST_CASE("corrupt or oversized compressed bytes are rejected before memory is allocated")
{
    const std::vector<std::uint8_t> bytes(10'000, 7);
    auto shorter = compress(bytes);
    CHECK(decompress(shorter, bytes.size() - 1).error() == ResultCode::MessageMalformed);
    shorter.resize(shorter.size() / 2);
    CHECK(!decompress(shorter, bytes.size()));
    CHECK(!decompress(std::vector<std::uint8_t> { 1, 2, 3 }, 100));
}
