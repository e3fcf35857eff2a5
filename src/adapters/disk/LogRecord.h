#pragma once

#include "teaselturn/Command.h"
#include "teaselturn/Result.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

/// Format of the files in the data folder. A record is the length of type and payload (4 bytes, little-endian), the
/// CRC32C of type and payload (4 bytes), the type (1 byte) and the payload.
namespace teaselturn {

enum class RecordType : std::uint8_t {
    /// One write to the log: the index to truncate from (8 bytes, zero for none), then entries, each as its length (4
    /// bytes) and its encoded form.
    LogWrite = 1,
    HardState = 2,
    Snapshot = 3,
    DiskIdentity = 4,
};

/// Bytes of a record before its payload.
inline constexpr std::size_t recordHeaderBytes = 9;

struct Record {
    RecordType type {};
    /// Into the bytes that were read.
    std::span<const std::uint8_t> payload;
    /// Bytes that the record takes, header included.
    std::size_t size {};
};

/// One write to the log. It is one record, so that a crash leaves all of it or none: the torn record is the last one.
struct LogWrite {
    std::optional<LogIndex> truncateFrom;
    std::vector<LogEntry> entries;
};

/// @return CRC32C of the bytes.
std::uint32_t crc32c(std::span<const std::uint8_t> bytes) noexcept;

std::vector<std::uint8_t> encodeRecord(RecordType type, std::span<const std::uint8_t> payload);
/// @return The record at the start of the bytes, or nothing where it is incomplete, of an unknown type or damaged.
std::optional<Record> readRecord(std::span<const std::uint8_t> bytes) noexcept;

std::vector<std::uint8_t> encodeLogWrite(std::optional<LogIndex> truncateFrom, std::span<const LogEntry> entries);
/// @return The write, or LogCorrupt.
Result<LogWrite> decodeLogWrite(std::span<const std::uint8_t> payload);

/// What reading a log file gave.
struct LogFileContent {
    std::vector<LogWrite> writes;
    /// Bytes of whole records; anything beyond is a torn tail.
    std::size_t soundBytes {};
};

/// Reads the content of one log file. A bad record with no whole record anywhere behind it is a torn tail.
/// @param name Name of the file, for the failure.
/// @return The writes, or LogCorrupt with name and offset.
Result<LogFileContent> readLogFile(std::span<const std::uint8_t> bytes, std::string_view name);

}
