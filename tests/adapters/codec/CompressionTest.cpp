#include "adapters/codec/Compression.h"

#include <catch2/catch.hpp>

using namespace teaselturn;

TEST_CASE("compressed bytes come back as they were")
{
    const std::vector<std::uint8_t> bytes(10'000, 7);
    const auto shorter = compress(bytes);
    REQUIRE(!shorter.empty());
    CHECK(shorter.size() < 100);
    const auto back = decompress(shorter, bytes.size());
    REQUIRE(back);
    CHECK(*back == bytes);
}

TEST_CASE("damaged or oversized compressed bytes are refused before memory is taken")
{
    const std::vector<std::uint8_t> bytes(10'000, 7);
    auto shorter = compress(bytes);
    CHECK(decompress(shorter, bytes.size() - 1).error() == ResultCode::MessageMalformed);
    shorter.resize(shorter.size() / 2);
    CHECK(!decompress(shorter, bytes.size()));
    CHECK(!decompress(std::vector<std::uint8_t> { 1, 2, 3 }, 100));
}
