#include "adapters/codec/Codec.h"
#include "adapters/peer/Frame.h"

#include <array>
#include <cstdint>
#include <cstdlib>
#include <vector>

/// Decodes the input as a frame, and as a message in the payload of an authenticated frame.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace teaselturn;
    static constexpr std::array<std::uint8_t, 4> key { 1, 2, 3, 4 };
    const std::span bytes { data, size };
    static_cast<void>(decodeFrame(bytes, key));
    if (const auto length = frameLength(bytes); length && *length && **length <= size) {
        static_cast<void>(decodeFrame(bytes.first(**length), key));
    }
    const auto encoded = encodeFrame({ NodeId { 1 }, NodeId { 2 }, BootId { 3 }, 4, FrameChannel::Stream, 0 }, bytes, key);
    const auto frame = decodeFrame(encoded, key);
    if (!frame || frame->payload.size() != size) {
        std::abort();
    }
    if (const auto message = decodeMessage(frame->payload)) {
        // The encoding must be unique. Otherwise two processes could decode the same bytes differently.
        if (encodeMessage(*message) != std::vector<std::uint8_t>(bytes.begin(), bytes.end())) {
            std::abort();
        }
    }
    return 0;
}
