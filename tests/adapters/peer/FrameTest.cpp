#include "adapters/peer/Frame.h"
#include "adapters/peer/ReplayWindow.h"

#include <catch2/catch.hpp>

using namespace teaselturn;

namespace {

const std::vector<std::uint8_t> key { 9, 8, 7 };
const FrameHeader header { NodeId { 3 }, NodeId { 4 }, BootId { 55 }, 6, FrameChannel::Stream, 2 };
const std::vector<std::uint8_t> payload { 1, 2, 3, 4, 5 };

}

TEST_CASE("a frame is unchanged after encoding and decoding")
{
    const auto bytes = encodeFrame(header, payload, key);
    CHECK(bytes.size() == payload.size() + frameOverheadBytes);
    const auto frame = decodeFrame(bytes, key);
    REQUIRE(frame);
    CHECK(frame->header == header);
    CHECK(std::vector<std::uint8_t>(frame->payload.begin(), frame->payload.end()) == payload);
}

TEST_CASE("a frame with any bit changed, or with another key, is rejected")
{
    // Guards against a field that the authentication tag does not cover.
    const auto bytes = encodeFrame(header, payload, key);
    for (std::size_t bit = 0; bit < bytes.size() * 8; ++bit) {
        auto changed = bytes;
        changed[bit / 8] ^= static_cast<std::uint8_t>(1u << (bit % 8));
        CHECK_FALSE(decodeFrame(changed, key).hasValue());
    }
    const std::vector<std::uint8_t> otherKey { 9, 8, 6 };
    CHECK(decodeFrame(bytes, otherKey).error() == ResultCode::MessageUnauthenticated);
}

TEST_CASE("a frame that is truncated or followed by other bytes is malformed")
{
    auto bytes = encodeFrame(header, payload, key);
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        CHECK(decodeFrame(std::span { bytes }.first(length), key).error() == ResultCode::MessageMalformed);
    }
    bytes.push_back(0);
    CHECK(decodeFrame(bytes, key).error() == ResultCode::MessageMalformed);
}

TEST_CASE("the length of a stream's first frame is available once its header is complete")
{
    auto bytes = encodeFrame(header, payload, key);
    const auto incomplete = frameLength(std::span { bytes }.first(frameHeaderBytes - 1));
    REQUIRE(incomplete);
    CHECK(*incomplete == std::nullopt);
    const auto complete = frameLength(std::span { bytes }.first(frameHeaderBytes));
    REQUIRE(complete);
    CHECK(*complete == bytes.size());
    // The length is not authenticated yet. Without a limit, a forged one would make the receiver wait for gigabytes.
    bytes[frameHeaderBytes - 1] = 0xff;
    CHECK(frameLength(bytes).error() == ResultCode::MessageTooLarge);
    bytes[4] = 77;
    CHECK(frameLength(bytes).error() == ResultCode::MessageVersionUnknown);
    bytes[0] = 0;
    CHECK(frameLength(bytes).error() == ResultCode::MessageMalformed);
}

TEST_CASE("a replay window accepts each sequence once, also out of order")
{
    ReplayWindow window;
    CHECK(window.accept(BootId { 5 }, 10));
    CHECK_FALSE(window.accept(BootId { 5 }, 10));
    CHECK(window.accept(BootId { 5 }, 12));
    CHECK(window.accept(BootId { 5 }, 11));
    CHECK_FALSE(window.accept(BootId { 5 }, 11));
    CHECK(window.accept(BootId { 5 }, 75));
    // 12 is 63 below the highest and inside the window; 11 is 64 below and outside.
    CHECK_FALSE(window.accept(BootId { 5 }, 12));
    CHECK_FALSE(window.accept(BootId { 5 }, 11));
    CHECK(window.accept(BootId { 5 }, 13));
    CHECK(window.accept(BootId { 5 }, 1000));
    CHECK_FALSE(window.accept(BootId { 5 }, 75));
    CHECK(window.accept(BootId { 5 }, 999));
}

TEST_CASE("a replay window accepts a later start of the sender and never an earlier one")
{
    // Guards against replayed messages of an earlier start of a process.
    ReplayWindow window;
    CHECK(window.accept(BootId { 5 }, 100));
    CHECK(window.accept(BootId { 6 }, 1));
    CHECK_FALSE(window.accept(BootId { 5 }, 101));
    CHECK_FALSE(window.accept(BootId { 6 }, 1));
    CHECK(window.accept(BootId { 6 }, 2));
}
