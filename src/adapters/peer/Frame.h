#pragma once

#include "teaselturn/Result.h"
#include "teaselturn/Types.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

/// Frames carry one message between processes of the system. Integers are little-endian.
///
/// | bytes | content |
/// | --- | --- |
/// | 4 | magic "TSLT" |
/// | 1 | version of the encoding |
/// | 1 | type: index of the message in PeerMessage; the highest bit is set if the payload is compressed |
/// | 1 | channel: 0 datagram, 1 stream |
/// | 4, 4 | sender, receiver |
/// | 8, 8 | sender's boot id, sequence |
/// | 4 | length of the payload |
/// | n | payload |
/// | 32 | HMAC-SHA256 of all preceding bytes, keyed with the cluster key |
namespace teaselturn {

/// Transport of a frame. Each channel numbers its frames separately, because a frame on a stream may arrive long after
/// datagrams that were sent later.
enum class FrameChannel : std::uint8_t {
    Datagram,
    Stream,
};

struct FrameHeader {
    NodeId sender;
    /// Part of the authenticated bytes, so that a recorded frame cannot be replayed to another process.
    NodeId receiver;
    BootId boot;
    std::uint64_t sequence {};
    FrameChannel channel {};
    std::uint8_t type {};

    friend bool operator==(const FrameHeader&, const FrameHeader&) = default;
};

/// An authenticated frame. The payload is a view into the decoded bytes, which must outlive it.
struct Frame {
    FrameHeader header;
    std::span<const std::uint8_t> payload;
};

inline constexpr std::size_t frameHeaderBytes = 35;
inline constexpr std::size_t frameTagBytes = 32;
/// Bytes that a frame adds to its payload.
inline constexpr std::size_t frameOverheadBytes = frameHeaderBytes + frameTagBytes;

/// Encodes and authenticates one frame. Requires payload.size() <= limits::maxMessageBytes.
/// @param key The cluster key.
std::vector<std::uint8_t> encodeFrame(const FrameHeader& header, std::span<const std::uint8_t> payload, std::span<const std::uint8_t> key);

/// Decodes and authenticates exactly one frame.
/// @return The frame, MessageMalformed, MessageVersionUnknown, MessageTooLarge or MessageUnauthenticated.
Result<Frame> decodeFrame(std::span<const std::uint8_t> bytes, std::span<const std::uint8_t> key);

/// Returns the length of the first frame in the buffered bytes of a stream.
/// @return The length in bytes, nothing while the header is incomplete, or a failure if the header is invalid; the rest
/// of the stream is then unreadable.
Result<std::optional<std::size_t>> frameLength(std::span<const std::uint8_t> bytes);

}
