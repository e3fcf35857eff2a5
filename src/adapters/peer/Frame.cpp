#include "adapters/peer/Frame.h"

#include "adapters/codec/Archive.h"

#include <algorithm>
#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace teaselturn {

namespace {

    constexpr std::array<std::uint8_t, 4> magic { 'T', 'S', 'L', 'T' };
    constexpr std::size_t versionOffset = 4;
    constexpr std::size_t lengthOffset = frameHeaderBytes - sizeof(std::uint32_t);

    using Tag = std::array<std::uint8_t, frameTagBytes>;

    bool computeTag(std::span<const std::uint8_t> bytes, std::span<const std::uint8_t> key, Tag& tag)
    {
        unsigned int length = 0;
        return HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), bytes.data(), bytes.size(), tag.data(), &length) != nullptr
            && length == tag.size();
    }

    std::uint32_t readLength(std::span<const std::uint8_t> header)
    {
        DecodeArchive archive { header.subspan(lengthOffset, sizeof(std::uint32_t)) };
        return archive.readInteger<std::uint32_t>();
    }

    /// Checks the header fields that do not depend on the sender. The frame is not authenticated yet.
    Status checkHeader(std::span<const std::uint8_t> header)
    {
        if (!std::ranges::equal(header.first(magic.size()), magic)) {
            return { ResultCode::MessageMalformed, "the frame does not start with the magic bytes" };
        }
        if (header[versionOffset] != encodingVersion) {
            return { ResultCode::MessageVersionUnknown, "version " + std::to_string(header[versionOffset]) };
        }
        if (readLength(header) > limits::maxMessageBytes) {
            return { ResultCode::MessageTooLarge, std::to_string(readLength(header)) + " bytes" };
        }
        return success();
    }

}

std::vector<std::uint8_t> encodeFrame(const FrameHeader& header, std::span<const std::uint8_t> payload, std::span<const std::uint8_t> key)
{
    std::vector<std::uint8_t> bytes;
    bytes.reserve(frameOverheadBytes + payload.size());
    EncodeArchive archive { bytes };
    archive.writeBytes(magic);
    archive.writeInteger(encodingVersion);
    archive.writeInteger(header.type);
    archive.writeInteger(static_cast<std::uint8_t>(header.channel));
    archive.writeInteger(header.sender.value);
    archive.writeInteger(header.receiver.value);
    archive.writeInteger(header.boot.value);
    archive.writeInteger(header.sequence);
    archive.writeInteger(static_cast<std::uint32_t>(payload.size()));
    archive.writeBytes(payload);
    Tag tag {};
    computeTag(bytes, key, tag);
    archive.writeBytes(tag);
    return bytes;
}

Result<Frame> decodeFrame(std::span<const std::uint8_t> bytes, std::span<const std::uint8_t> key)
{
    if (bytes.size() < frameOverheadBytes) {
        return { ResultCode::MessageMalformed, "shorter than the smallest frame" };
    }
    if (auto header = checkHeader(bytes.first(frameHeaderBytes)); !header) {
        return header.failure();
    }
    if (bytes.size() != frameOverheadBytes + readLength(bytes)) {
        return { ResultCode::MessageMalformed, "the payload length does not match the frame length" };
    }
    const auto signedBytes = bytes.first(bytes.size() - frameTagBytes);
    Tag expected {};
    if (!computeTag(signedBytes, key, expected) || CRYPTO_memcmp(expected.data(), bytes.last(frameTagBytes).data(), frameTagBytes) != 0) {
        return ResultCode::MessageUnauthenticated;
    }
    DecodeArchive archive { signedBytes.subspan(versionOffset + 1) };
    Frame frame;
    frame.header.type = archive.readInteger<std::uint8_t>();
    const auto channel = archive.readInteger<std::uint8_t>();
    frame.header.channel = static_cast<FrameChannel>(channel);
    frame.header.sender = NodeId { archive.readInteger<std::uint32_t>() };
    frame.header.receiver = NodeId { archive.readInteger<std::uint32_t>() };
    frame.header.boot = BootId { archive.readInteger<std::uint64_t>() };
    frame.header.sequence = archive.readInteger<std::uint64_t>();
    frame.payload = signedBytes.subspan(frameHeaderBytes);
    if (channel > static_cast<std::uint8_t>(FrameChannel::Stream)) {
        return { ResultCode::MessageMalformed, "unknown channel" };
    }
    return frame;
}

Result<std::optional<std::size_t>> frameLength(std::span<const std::uint8_t> bytes)
{
    if (bytes.size() < frameHeaderBytes) {
        return std::optional<std::size_t> {};
    }
    const auto header = bytes.first(frameHeaderBytes);
    if (auto checked = checkHeader(header); !checked) {
        return checked.failure();
    }
    return std::optional<std::size_t> { frameOverheadBytes + readLength(header) };
}

}
