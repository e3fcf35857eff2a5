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

/// The durable state of a ledger member: `disk` (identity), `vote` (term and vote), `snapshot`, and log segments
/// `log-NNNNNNNNNNNNNNNN`. `lock` keeps a second process out. Every call that returns success has synced its work; after
/// a failed write or sync the folder refuses further writes until it is opened again. Not thread-safe.
/// @tparam Files File operations.
template <FileSystem Files = PosixFiles>
class DataFolder {
public:
    /// Opens a data folder, and creates it where it is missing.
    /// @param path Path of the folder; its parent must exist.
    /// @param freshDisk Identity of the folder in case that it is created.
    /// @return The folder; DataFolderInvalid where it is locked or incomplete; LogCorrupt or SnapshotCorrupt, with file
    /// and offset, where a file is damaged.
    static Result<DataFolder> open(Files files, std::string_view path, DiskId freshDisk);

    DataFolder(const DataFolder&) = delete;
    DataFolder& operator=(const DataFolder&) = delete;
    DataFolder(DataFolder&& other) noexcept;
    DataFolder& operator=(DataFolder&& other) noexcept;
    ~DataFolder();

    /// @return What was read when the folder was opened; a second call returns an empty state. The caller fills in node
    /// and initialMembers.
    MemberState takeState();
    DiskId diskId() const noexcept { return this->disk; }
    /// @return Bytes of a torn tail that opening the folder cut.
    std::uint64_t cutBytes() const noexcept { return this->tornBytes; }
    /// @return Bytes in all segments of the log.
    std::uint64_t logBytes() const noexcept;

    /// Makes the writes of the effects durable.
    /// @return Success, or LogWriteFailed.
    Status write(const MemberEffects& effects);
    /// Makes a snapshot durable, then removes the segments of the log that it covers.
    /// @return Success, or LogWriteFailed.
    Status saveSnapshot(const LedgerSnapshot& snapshot);

private:
    struct Segment {
        std::uint64_t bytes {};
        /// Highest index that was ever written to the segment.
        LogIndex highest;
    };

    DataFolder(Files files, std::string_view path);

    std::string pathOf(std::string_view name) const { return this->folder + "/" + std::string { name }; }
    static std::string segmentName(std::uint64_t number);

    Status lockAndLoad(DiskId freshDisk);
    Status createFiles(DiskId freshDisk);
    Status load(const std::vector<std::string>& names);
    Result<std::vector<std::uint8_t>> readSingle(std::string_view name, RecordType type, ResultCode damaged);
    Status loadSnapshot();
    Status loadSegment(std::string_view name, bool isLast);
    Status replay(LogWrite write, std::string_view name);

    Status guarded(Status status);
    Status replaceFile(std::string_view name, RecordType type, std::span<const std::uint8_t> payload);
    Status writeEffects(const MemberEffects& effects);
    Status writeLog(std::optional<LogIndex> truncateFrom, std::span<const LogEntry> entries);
    Status writeSnapshot(const LedgerSnapshot& snapshot);
    Status startSegment(std::uint64_t number);
    Status removeCovered(LogIndex through);
    void closeAll() noexcept;

    Files files;
    std::string folder;
    DiskId disk;
    MemberState state;
    std::uint64_t tornBytes {};
    bool isFailed {};
    std::optional<FileHandle> lockFile;
    std::optional<FileHandle> logFile;
    /// By number; the last one is written to.
    std::map<std::uint64_t, Segment> segments;
};

}

#include "adapters/disk/DataFolderInlines.h"
