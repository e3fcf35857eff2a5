#include "adapters/http/ChunkFraming.h"

#include <algorithm>
#include <limits>

namespace teaselturn {

namespace {

    constexpr std::uint64_t radix = 16;

    /// @return The value of a hexadecimal digit, or radix.
    std::uint64_t digitValue(char byte) noexcept
    {
        if (byte >= '0' && byte <= '9') {
            return static_cast<std::uint64_t>(byte - '0');
        }
        if (byte >= 'a' && byte <= 'f') {
            return static_cast<std::uint64_t>(byte - 'a') + 10;
        }
        return byte >= 'A' && byte <= 'F' ? static_cast<std::uint64_t>(byte - 'A') + 10 : radix;
    }

}

bool ChunkFraming::accept(std::string_view bytes) noexcept
{
    while (!bytes.empty()) {
        if (this->part == Part::Data) {
            const auto count = std::min<std::uint64_t>(this->size, bytes.size());
            bytes.remove_prefix(count);
            this->size -= count;
            this->part = this->size == 0 ? Part::DataReturn : Part::Data;
        } else if (this->acceptByte(bytes.front())) {
            bytes.remove_prefix(1);
        } else {
            return false;
        }
    }
    return true;
}

bool ChunkFraming::acceptByte(char byte) noexcept
{
    switch (this->part) {
    case Part::SizeBegin:
        this->size = 0;
        return this->acceptDigit(byte);
    case Part::Size:
        return this->acceptDigit(byte) || this->acceptSizeEnd(byte);
    case Part::Extension:
        return byte == '\r' ? this->acceptSizeEnd(byte) : byte != '\n';
    case Part::SizeLineFeed:
        return this->expect(byte, '\n', this->size == 0 ? Part::LastReturn : Part::Data);
    case Part::DataReturn:
        return this->expect(byte, '\r', Part::DataLineFeed);
    case Part::DataLineFeed:
        return this->expect(byte, '\n', Part::SizeBegin);
    case Part::LastReturn:
        return this->expect(byte, '\r', Part::LastLineFeed);
    case Part::LastLineFeed:
        return this->expect(byte, '\n', Part::End);
    case Part::Data:
    case Part::End:
        break;
    }
    return false;
}

bool ChunkFraming::acceptDigit(char byte) noexcept
{
    const auto value = digitValue(byte);
    if (value == radix || this->size > std::numeric_limits<std::uint64_t>::max() / radix) {
        return false;
    }
    this->size = this->size * radix + value;
    this->part = Part::Size;
    return true;
}

bool ChunkFraming::acceptSizeEnd(char byte) noexcept
{
    if (byte == '\r') {
        this->part = Part::SizeLineFeed;
        return true;
    }
    // Some servers pad the size with spaces.
    this->part = Part::Extension;
    return byte == ';' || byte == ' ' || byte == '\t';
}

bool ChunkFraming::expect(char byte, char expected, Part next) noexcept
{
    this->part = next;
    return byte == expected;
}

}
