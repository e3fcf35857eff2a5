#include "adapters/codec/Compression.h"

#include <zstd.h>

namespace teaselturn {

namespace {

    /// Configuration items repeat their field names, so level 1 already compresses them about tenfold.
    constexpr int compressionLevel = 1;

}

std::vector<std::uint8_t> compress(std::span<const std::uint8_t> bytes)
{
    std::vector<std::uint8_t> compressed(ZSTD_compressBound(bytes.size()));
    const auto size = ZSTD_compress(compressed.data(), compressed.size(), bytes.data(), bytes.size(), compressionLevel);
    compressed.resize(ZSTD_isError(size) != 0 || size >= bytes.size() ? 0 : size);
    return compressed;
}

Result<std::vector<std::uint8_t>> decompress(std::span<const std::uint8_t> bytes, std::size_t maxBytes)
{
    const auto size = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN || size > maxBytes) {
        return { ResultCode::MessageMalformed, "compressed payload has no valid content size or exceeds the size limit" };
    }
    std::vector<std::uint8_t> decompressed(size);
    const auto written = ZSTD_decompress(decompressed.data(), decompressed.size(), bytes.data(), bytes.size());
    if (ZSTD_isError(written) != 0 || written != decompressed.size()) {
        return { ResultCode::MessageMalformed, "compressed payload is corrupt" };
    }
    return decompressed;
}

}
