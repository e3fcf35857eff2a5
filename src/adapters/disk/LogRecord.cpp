#include "adapters/disk/LogRecord.h"

#include "adapters/codec/Codec.h"

#include <boost/crc.hpp>

#include <algorithm>
#include <string>

namespace teaselturn {

namespace {

    constexpr std::size_t lengthBytes = 4;
    constexpr std::size_t checksumBytes = 4;

    template <typename T>
    void appendInteger(std::vector<std::uint8_t>& bytes, T value)
    {
        for (std::size_t i = 0; i < sizeof(T); ++i) {
            bytes.push_back(static_cast<std::uint8_t>(value >> (8 * i)));
        }
    }

    template <typename T>
    T readInteger(std::span<const std::uint8_t> bytes) noexcept
    {
        T value {};
        for (std::size_t i = 0; i < sizeof(T); ++i) {
            value |= static_cast<T>(bytes[i]) << (8 * i);
        }
        return value;
    }

    Failure corruptLog(std::string_view name, std::size_t offset, std::string_view problem)
    {
        return { ResultCode::LogCorrupt, std::string { name } + " at offset " + std::to_string(offset) + ": " + std::string { problem } };
    }

    /// @return True if a valid record begins at any offset after the given one.
    bool hasValidRecordAfter(std::span<const std::uint8_t> bytes, std::size_t offset)
    {
        for (auto start = offset + 1; start + recordHeaderBytes <= bytes.size(); ++start) {
            if (readRecord(bytes.subspan(start))) {
                return true;
            }
        }
        return false;
    }

}

std::uint32_t crc32c(std::span<const std::uint8_t> bytes) noexcept
{
    boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true> crc;
    crc.process_bytes(bytes.data(), bytes.size());
    return crc.checksum();
}

std::vector<std::uint8_t> encodeRecord(RecordType type, std::span<const std::uint8_t> payload)
{
    std::vector<std::uint8_t> bytes;
    bytes.reserve(recordHeaderBytes + payload.size());
    appendInteger(bytes, static_cast<std::uint32_t>(payload.size() + 1));
    appendInteger(bytes, std::uint32_t {});
    bytes.push_back(static_cast<std::uint8_t>(type));
    bytes.insert(bytes.end(), payload.begin(), payload.end());
    const auto checksum = crc32c(std::span { bytes }.subspan(lengthBytes + checksumBytes));
    for (std::size_t i = 0; i < checksumBytes; ++i) {
        bytes[lengthBytes + i] = static_cast<std::uint8_t>(checksum >> (8 * i));
    }
    return bytes;
}

std::optional<Record> readRecord(std::span<const std::uint8_t> bytes) noexcept
{
    if (bytes.size() < recordHeaderBytes) {
        return std::nullopt;
    }
    const std::size_t length = readInteger<std::uint32_t>(bytes);
    const auto content = bytes.subspan(lengthBytes + checksumBytes);
    const auto type = static_cast<RecordType>(content.front());
    if (length == 0 || length > content.size() || type < RecordType::LogWrite || type > RecordType::DiskIdentity) {
        return std::nullopt;
    }
    if (crc32c(content.first(length)) != readInteger<std::uint32_t>(bytes.subspan(lengthBytes))) {
        return std::nullopt;
    }
    return Record { type, content.subspan(1, length - 1), lengthBytes + checksumBytes + length };
}

std::vector<std::uint8_t> encodeLogWrite(std::optional<LogIndex> truncateFrom, std::span<const LogEntry> entries)
{
    std::vector<std::uint8_t> payload;
    appendInteger(payload, truncateFrom.value_or(LogIndex {}).value);
    for (const auto& entry : entries) {
        const auto encoded = encodeLogEntry(entry);
        appendInteger(payload, static_cast<std::uint32_t>(encoded.size()));
        payload.insert(payload.end(), encoded.begin(), encoded.end());
    }
    return encodeRecord(RecordType::LogWrite, payload);
}

Result<LogWrite> decodeLogWrite(std::span<const std::uint8_t> payload)
{
    if (payload.size() < sizeof(std::uint64_t)) {
        return { ResultCode::LogCorrupt, "log write without an index" };
    }
    LogWrite write;
    if (const auto index = readInteger<std::uint64_t>(payload); index != 0) {
        write.truncateFrom = LogIndex { index };
    }
    payload = payload.subspan(sizeof(std::uint64_t));
    while (!payload.empty()) {
        const std::size_t length = payload.size() < lengthBytes ? SIZE_MAX : readInteger<std::uint32_t>(payload);
        if (payload.size() < lengthBytes || length > payload.size() - lengthBytes) {
            return { ResultCode::LogCorrupt, "log entry is longer than its record" };
        }
        auto entry = decodeLogEntry(payload.subspan(lengthBytes, length));
        if (!entry) {
            return entry.failure();
        }
        write.entries.push_back(std::move(*entry));
        payload = payload.subspan(lengthBytes + length);
    }
    return write;
}

Result<LogFileContent> readLogFile(std::span<const std::uint8_t> bytes, std::string_view name)
{
    LogFileContent content;
    while (content.validBytes < bytes.size()) {
        const auto record = readRecord(bytes.subspan(content.validBytes));
        if (!record) {
            if (hasValidRecordAfter(bytes, content.validBytes)) {
                return corruptLog(name, content.validBytes, "damaged record");
            }
            break;
        }
        if (record->type != RecordType::LogWrite) {
            return corruptLog(name, content.validBytes, "unexpected record type");
        }
        auto write = decodeLogWrite(record->payload);
        if (!write) {
            return corruptLog(name, content.validBytes, write.failure().detail);
        }
        content.writes.push_back(std::move(*write));
        content.validBytes += record->size;
    }
    return content;
}

}
