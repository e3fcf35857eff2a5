#pragma once

#include <cstdint>
#include <string_view>

namespace teaselturn {

/// Checks the chunk sizes and line ends of a chunked body while another parser decodes it. cpp-httplib takes a chunk that
/// is not followed by CR LF for the last one, and the beginning of a line that is no number for its size.
class ChunkFraming {
public:
    /// @param bytes The next bytes of the body.
    /// @return False if they do not continue a valid body. Trailers are not accepted.
    bool accept(std::string_view bytes) noexcept;

private:
    enum class Part : std::uint8_t {
        SizeBegin,
        Size,
        Extension,
        SizeLineFeed,
        Data,
        DataReturn,
        DataLineFeed,
        LastReturn,
        LastLineFeed,
        End,
    };

    bool acceptByte(char byte) noexcept;
    bool acceptDigit(char byte) noexcept;
    bool acceptSizeEnd(char byte) noexcept;
    bool expect(char byte, char expected, Part next) noexcept;

    Part part { Part::SizeBegin };
    /// Size of the chunk, of which the data is counted down.
    std::uint64_t size {};
};

}
