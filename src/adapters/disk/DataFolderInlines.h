#pragma once

#include "adapters/codec/Codec.h"
#include "adapters/disk/DataFolder.h"

#include <algorithm>
#include <utility>

namespace teaselturn {

namespace filenames {
    inline constexpr std::string_view lock = "lock";
    inline constexpr std::string_view identity = "disk";
    inline constexpr std::string_view hardState = "vote";
    inline constexpr std::string_view snapshot = "snapshot";
    inline constexpr std::string_view segmentPrefix = "log-";
    /// Suffix of a file that is being written. A file with it is ignored when the folder is opened, and overwritten
    /// later.
    inline constexpr std::string_view temporarySuffix = ".new";
}

template <FileSystem Files>
DataFolder<Files>::DataFolder(Files files, std::string_view path)
    : files(std::move(files))
    , folder(path)
{
}

template <FileSystem Files>
DataFolder<Files>::DataFolder(DataFolder&& other) noexcept
    : files(std::move(other.files))
    , folder(std::move(other.folder))
    , disk(other.disk)
    , state(std::move(other.state))
    , tornBytes(other.tornBytes)
    , isFailed(other.isFailed)
    , lockFile(std::exchange(other.lockFile, std::nullopt))
    , logFile(std::exchange(other.logFile, std::nullopt))
    , segments(std::move(other.segments))
{
}

template <FileSystem Files>
DataFolder<Files>& DataFolder<Files>::operator=(DataFolder&& other) noexcept
{
    if (this != &other) {
        this->closeAll();
        this->files = std::move(other.files);
        this->folder = std::move(other.folder);
        this->disk = other.disk;
        this->state = std::move(other.state);
        this->tornBytes = other.tornBytes;
        this->isFailed = other.isFailed;
        this->lockFile = std::exchange(other.lockFile, std::nullopt);
        this->logFile = std::exchange(other.logFile, std::nullopt);
        this->segments = std::move(other.segments);
    }
    return *this;
}

template <FileSystem Files>
DataFolder<Files>::~DataFolder()
{
    this->closeAll();
}

template <FileSystem Files>
void DataFolder<Files>::closeAll() noexcept
{
    for (auto* file : { &this->logFile, &this->lockFile }) {
        if (*file) {
            this->files.close(**file);
            file->reset();
        }
    }
}

template <FileSystem Files>
Result<DataFolder<Files>> DataFolder<Files>::open(Files files, std::string_view path, DiskId newDiskId)
{
    DataFolder result { std::move(files), path };
    if (const auto status = result.lockAndLoad(newDiskId); !status) {
        return status.failure();
    }
    return result;
}

template <FileSystem Files>
std::string DataFolder<Files>::segmentName(std::uint64_t number)
{
    // Padded to a fixed width, so that names sort in the order of their numbers.
    auto digits = std::to_string(number);
    digits.insert(0, 16 - std::min<std::size_t>(digits.size(), 16), '0');
    return std::string { filenames::segmentPrefix } + digits;
}

template <FileSystem Files>
MemberState DataFolder<Files>::takeState()
{
    auto result = std::exchange(this->state, {});
    result.disk = this->disk;
    return result;
}

template <FileSystem Files>
std::uint64_t DataFolder<Files>::logBytes() const noexcept
{
    std::uint64_t bytes = 0;
    for (const auto& [number, segment] : this->segments) {
        bytes += segment.bytes;
    }
    return bytes;
}

template <FileSystem Files>
Status DataFolder<Files>::write(const MemberEffects& effects)
{
    return this->recordWriteStatus(this->isFailed ? success() : this->writeEffects(effects));
}

template <FileSystem Files>
Status DataFolder<Files>::saveSnapshot(const LedgerSnapshot& snapshot)
{
    return this->recordWriteStatus(this->isFailed ? success() : this->writeSnapshot(snapshot));
}

template <FileSystem Files>
Status DataFolder<Files>::recordWriteStatus(Status status)
{
    // After a failed sync the content of the disk is unknown; after a failed write the log may end in an incomplete
    // record.
    if (this->isFailed) {
        return { ResultCode::LogWriteFailed, this->folder + ": an earlier write failed" };
    }
    if (!status) {
        this->isFailed = true;
        return { ResultCode::LogWriteFailed, this->folder + ": " + status.failure().describe() };
    }
    return status;
}

template <FileSystem Files>
Status DataFolder<Files>::replaceFile(std::string_view name, RecordType type, std::span<const std::uint8_t> payload)
{
    const auto target = this->pathOf(name);
    const auto temporary = target + std::string { filenames::temporarySuffix };
    const auto file = this->files.create(temporary);
    if (!file) {
        return file.failure();
    }
    auto status = this->files.write(*file, encodeRecord(type, payload));
    if (status) {
        status = this->files.sync(*file);
    }
    this->files.close(*file);
    if (status) {
        status = this->files.rename(temporary, target);
    }
    if (status) {
        status = this->files.syncFolder(this->folder);
    }
    return status;
}

template <FileSystem Files>
Status DataFolder<Files>::writeEffects(const MemberEffects& effects)
{
    if (effects.hardState) {
        // Written before the log, so that entries of a term are never on disk without the term.
        if (auto status = this->replaceFile(filenames::hardState, RecordType::HardState, encodeHardState(*effects.hardState)); !status) {
            return status;
        }
    }
    if (!effects.install) {
        return this->writeLog(effects.truncateFrom, effects.append);
    }
    // The truncation is written first: after a crash between the two writes, no conflicting entry may follow the
    // snapshot.
    if (auto status = this->writeLog(effects.truncateFrom, {}); !status) {
        return status;
    }
    if (auto status = this->writeSnapshot(*effects.install); !status) {
        return status;
    }
    return this->writeLog(std::nullopt, effects.append);
}

template <FileSystem Files>
Status DataFolder<Files>::writeLog(std::optional<LogIndex> truncateFrom, std::span<const LogEntry> entries)
{
    if (!truncateFrom && entries.empty()) {
        return success();
    }
    const auto record = encodeLogWrite(truncateFrom, entries);
    auto status = this->files.write(*this->logFile, record);
    if (status) {
        status = this->files.sync(*this->logFile);
    }
    auto& [number, segment] = *this->segments.rbegin();
    if (!status) {
        // Best effort: the next start must not read the record from the page cache, since it may never reach the disk.
        static_cast<void>(this->files.truncate(this->pathOf(segmentName(number)), segment.bytes).hasValue());
        return status;
    }
    segment.bytes += record.size();
    if (!entries.empty()) {
        segment.highestIndex = std::max(segment.highestIndex, entries.back().index);
    }
    return status;
}

template <FileSystem Files>
Status DataFolder<Files>::writeSnapshot(const LedgerSnapshot& snapshot)
{
    if (auto status = this->replaceFile(filenames::snapshot, RecordType::Snapshot, encodeLedgerSnapshot(snapshot)); !status) {
        return status;
    }
    if (this->segments.rbegin()->second.bytes != 0) {
        if (auto status = this->startSegment(this->segments.rbegin()->first + 1); !status) {
            return status;
        }
    }
    return this->removeCoveredSegments(snapshot.lastIndex);
}

template <FileSystem Files>
Status DataFolder<Files>::startSegment(std::uint64_t number)
{
    if (this->logFile) {
        this->files.close(*this->logFile);
        this->logFile.reset();
    }
    const auto file = this->files.create(this->pathOf(segmentName(number)));
    if (!file) {
        return file.failure();
    }
    this->logFile = *file;
    this->segments[number] = {};
    if (auto status = this->files.sync(*file); !status) {
        return status;
    }
    return this->files.syncFolder(this->folder);
}

template <FileSystem Files>
Status DataFolder<Files>::removeCoveredSegments(LogIndex through)
{
    // Removes the oldest segments first and never the last one. Each removal is synced before the next one: otherwise a
    // crash could undo only the removal of an older segment, and the remaining segments must be consecutive.
    while (this->segments.size() > 1 && this->segments.begin()->second.highestIndex <= through) {
        auto status = this->files.remove(this->pathOf(segmentName(this->segments.begin()->first)));
        if (status) {
            status = this->files.syncFolder(this->folder);
        }
        if (!status) {
            return status;
        }
        this->segments.erase(this->segments.begin());
    }
    return success();
}

}

#include "adapters/disk/DataFolderLoadInlines.h"
