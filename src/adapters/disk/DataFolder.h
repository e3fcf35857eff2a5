#pragma once

#include "adapters/disk/FileSystem.h"
#include "adapters/disk/LogRecord.h"
#include "adapters/disk/PosixFiles.h"
#include "core/ledger/Member.h"
#include "teaselturn/Result.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace teaselturn {

/// Stores the durable state of a ledger member in the files `disk` (identity), `vote` (term and vote), `snapshot` and
/// the log segments `log-NNNNNNNNNNNNNNNN`. The file `lock` is locked to prevent a second process from opening the
/// folder. An operation that returns success has synced its changes. After a failed write or sync, all further writes
/// fail until the folder is opened again. Not thread-safe.
/// @tparam Files Implementation of the file operations.
template <FileSystem Files = PosixFiles>
class DataFolder {
public:
    /// Locks a data folder and reads its files. Creates the folder if it is missing.
    /// @param path Path of the folder; its parent must exist.
    /// @param newDiskId Identity of the folder if it is created.
    /// @return The folder; DataFolderInvalid if it is locked or incomplete; LogCorrupt or SnapshotCorrupt, with file
    /// and offset, if a file is damaged.
    static Result<DataFolder> open(Files files, std::string_view path, DiskId newDiskId);

    DataFolder(const DataFolder&) = delete;
    DataFolder& operator=(const DataFolder&) = delete;
    DataFolder(DataFolder&& other) noexcept;
    DataFolder& operator=(DataFolder&& other) noexcept;
    ~DataFolder();

    /// @return The state that was read when the folder was opened; a second call returns an empty state. The caller
    /// sets node and initialMembers.
    MemberState takeState();
    DiskId diskId() const noexcept { return this->disk; }
    /// @return Bytes of an incomplete write at the end of the log that were removed when the folder was opened.
    std::uint64_t tornTailBytes() const noexcept { return this->tornBytes; }
    /// @return Total size of all log segments in bytes.
    std::uint64_t logBytes() const noexcept;

    /// Writes and syncs the hard state, the truncation, the installed snapshot and the entries of the effects.
    /// @return Success, or LogWriteFailed.
    Status write(const MemberEffects& effects);
    /// Writes and syncs a snapshot, then removes the log segments that it covers.
    /// @return Success, or LogWriteFailed.
    Status saveSnapshot(const LedgerSnapshot& snapshot);

private:
    struct Segment {
        std::uint64_t bytes {};
        /// Highest index ever written to the segment, including entries that were truncated later.
        LogIndex highestIndex;
    };

    DataFolder(Files files, std::string_view path);

    std::string pathOf(std::string_view name) const { return this->folder + "/" + std::string { name }; }
    static std::string segmentName(std::uint64_t number);

    Status lockAndLoad(DiskId newDiskId);
    Status createFiles(DiskId newDiskId);
    Status load(const std::vector<std::string>& names);
    /// Reads a file that consists of one record.
    /// @return The payload, or corruptCode if the file is not exactly one intact record of the type.
    Result<std::vector<std::uint8_t>> readRecordFile(std::string_view name, RecordType type, ResultCode corruptCode);
    Status loadSnapshot();
    Status loadSegment(std::string_view name, bool isLast);
    /// Applies a log write to the state that is being loaded.
    Status replay(LogWrite write, std::string_view name);

    /// Sets isFailed if the status is a failure.
    /// @return The status, or LogWriteFailed if this write or an earlier one failed.
    Status recordWriteStatus(Status status);
    /// Replaces a file atomically: writes a temporary file, syncs it, renames it and syncs the folder.
    Status replaceFile(std::string_view name, RecordType type, std::span<const std::uint8_t> payload);
    Status writeEffects(const MemberEffects& effects);
    Status writeLog(std::optional<LogIndex> truncateFrom, std::span<const LogEntry> entries);
    Status writeSnapshot(const LedgerSnapshot& snapshot);
    /// Creates an empty segment. Later log writes go to it.
    Status startSegment(std::uint64_t number);
    /// Removes the leading segments whose entries are all at or below an index.
    Status removeCoveredSegments(LogIndex through);
    void closeAll() noexcept;

    Files files;
    std::string folder;
    DiskId disk;
    MemberState state;
    std::uint64_t tornBytes {};
    bool isFailed {};
    std::optional<FileHandle> lockFile;
    std::optional<FileHandle> logFile;
    /// Segments by number. Log writes go to the last one.
    std::map<std::uint64_t, Segment> segments;
};

}

#include "adapters/disk/DataFolderInlines.h"
