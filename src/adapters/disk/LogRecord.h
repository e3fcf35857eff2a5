#pragma once

#include "teaselturn/Command.h"
#include "teaselturn/Result.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

/// Format of the files in the data folder. A record consists of the length of type and payload (4 bytes,
/// little-endian), the CRC32C of type and payload (4 bytes), the type (1 byte) and the payload.
namespace teaselturn {

enum class RecordType : std::uint8_t {
    /// One write to the log: the index to truncate from (8 bytes, zero for none), then the entries, each encoded as its
    /// length (4 bytes) and its bytes.
    LogWrite = 1,
    HardState = 2,
    Snapshot = 3,
    DiskIdentity = 4,
};

/// Size of a record's header in bytes: length, checksum and type.
inline constexpr std::size_t recordHeaderBytes = 9;

struct Record {
    RecordType type {};
    /// View of the bytes that were read.
    std::span<const std::uint8_t> payload;
    /// Size of the record in bytes, including its header.
    std::size_t size {};
};

/// One write to the log. It is stored as one record, so that it is atomic: a crash can leave only the last record
/// incomplete, and an incomplete record is discarded.
struct LogWrite {
    std::optional<LogIndex> truncateFrom;
    std::vector<LogEntry> entries;
};

/// @return The CRC32C checksum of the bytes.
std::uint32_t crc32c(std::span<const std::uint8_t> bytes) noexcept;

std::vector<std::uint8_t> encodeRecord(RecordType type, std::span<const std::uint8_t> payload);
/// @return The record at the start of the bytes, or nothing if it is incomplete, damaged or of an unknown type.
std::optional<Record> readRecord(std::span<const std::uint8_t> bytes) noexcept;

std::vector<std::uint8_t> encodeLogWrite(std::optional<LogIndex> truncateFrom, std::span<const LogEntry> entries);
/// @return The write, or LogCorrupt.
Result<LogWrite> decodeLogWrite(std::span<const std::uint8_t> payload);

/// Content of a log file.
struct LogFileContent {
    std::vector<LogWrite> writes;
    /// Total size of the valid records in bytes. Any bytes after them are an incomplete write.
    std::size_t validBytes {};
};

/// Reads one log file. An invalid record counts as an incomplete write if no valid record follows at any later offset,
/// and as damage otherwise.
/// @param name Name of the file for the failure text.
/// @return The writes, or LogCorrupt with name and offset.
Result<LogFileContent> readLogFile(std::span<const std::uint8_t> bytes, std::string_view name);

}
