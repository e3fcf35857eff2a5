#pragma once

#include "adapters/codec/Codec.h"
#include "adapters/disk/DataFolder.h"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <string>
#include <utility>

/// Member functions of DataFolder that open, create and read a data folder.
namespace teaselturn {

template <FileSystem Files>
Status DataFolder<Files>::lockAndLoad(DiskId newDiskId)
{
    if (auto status = this->files.createFolder(this->folder); !status) {
        return status;
    }
    const auto lock = this->files.lock(this->pathOf(filenames::lock));
    if (!lock) {
        return lock.failure();
    }
    this->lockFile = *lock;
    auto names = this->files.list(this->folder);
    if (!names) {
        return names.failure();
    }
    if (std::find(names->begin(), names->end(), filenames::identity) == names->end()) {
        const auto hasLog = std::any_of(names->begin(), names->end(), [](const auto& name) { return name == filenames::snapshot || name.starts_with(filenames::segmentPrefix); });
        if (hasLog) {
            return { ResultCode::DataFolderInvalid, this->folder + ": the identity file \"disk\" is missing, but the folder has a log or a snapshot" };
        }
        return this->createFiles(newDiskId);
    }
    return this->load(*names);
}

template <FileSystem Files>
Status DataFolder<Files>::createFiles(DiskId newDiskId)
{
    // The vote is written before the identity: a folder with an identity also has a vote, and one without has no log
    // yet.
    if (auto status = this->replaceFile(filenames::hardState, RecordType::HardState, encodeHardState({})); !status) {
        return status;
    }
    std::vector<std::uint8_t> identity;
    for (unsigned shift = 0; shift < 64; shift += 8) {
        identity.push_back(static_cast<std::uint8_t>(newDiskId.value >> shift));
    }
    if (auto status = this->replaceFile(filenames::identity, RecordType::DiskIdentity, identity); !status) {
        return status;
    }
    this->disk = newDiskId;
    return this->startSegment(1);
}

template <FileSystem Files>
Result<std::vector<std::uint8_t>> DataFolder<Files>::readRecordFile(std::string_view name, RecordType type, ResultCode corruptCode)
{
    auto bytes = this->files.read(this->pathOf(name));
    if (!bytes) {
        return bytes;
    }
    const auto record = readRecord(*bytes);
    if (!record || record->type != type || record->size != bytes->size()) {
        return { corruptCode, this->pathOf(name) + " at offset 0: damaged record" };
    }
    return std::vector<std::uint8_t> { record->payload.begin(), record->payload.end() };
}

template <FileSystem Files>
Status DataFolder<Files>::loadSnapshot()
{
    const auto payload = this->readRecordFile(filenames::snapshot, RecordType::Snapshot, ResultCode::SnapshotCorrupt);
    if (!payload) {
        return payload.failure();
    }
    auto snapshot = decodeLedgerSnapshot(*payload);
    if (!snapshot) {
        return { ResultCode::SnapshotCorrupt, this->pathOf(filenames::snapshot) + " at offset 0: " + snapshot.failure().detail };
    }
    this->state.snapshot = std::move(*snapshot);
    return success();
}

template <FileSystem Files>
Status DataFolder<Files>::load(const std::vector<std::string>& names)
{
    const auto identity = this->readRecordFile(filenames::identity, RecordType::DiskIdentity, ResultCode::DataFolderInvalid);
    if (!identity) {
        return identity.failure();
    }
    for (std::size_t i = 0; i < std::min<std::size_t>(identity->size(), sizeof(std::uint64_t)); ++i) {
        this->disk.value |= std::uint64_t { (*identity)[i] } << (8 * i);
    }
    const auto vote = this->readRecordFile(filenames::hardState, RecordType::HardState, ResultCode::LogCorrupt);
    if (!vote) {
        return vote.failure();
    }
    auto hardState = decodeHardState(*vote);
    if (!hardState) {
        return { ResultCode::LogCorrupt, this->pathOf(filenames::hardState) + " at offset 0: " + hardState.failure().detail };
    }
    this->state.hardState = *hardState;
    if (std::find(names.begin(), names.end(), filenames::snapshot) != names.end()) {
        if (auto status = this->loadSnapshot(); !status) {
            return status;
        }
    }
    std::vector<std::string> segmentNames;
    std::copy_if(names.begin(), names.end(), std::back_inserter(segmentNames), [](const auto& name) { return name.starts_with(filenames::segmentPrefix); });
    for (const auto& name : segmentNames) {
        if (auto status = this->loadSegment(name, name == segmentNames.back()); !status) {
            return status;
        }
    }
    if (this->segments.empty()) {
        if (this->state.hardState.term != Term {} || this->state.snapshot) {
            return { ResultCode::LogCorrupt, this->folder + ": all log segments are missing" };
        }
        // The process that created the identity may have ended before it synced the folder. Without this sync a crash
        // could leave a log without an identity, and such a folder is refused.
        if (auto status = this->files.syncFolder(this->folder); !status) {
            return status;
        }
        return this->startSegment(1);
    }
    auto file = this->files.openAtEnd(this->pathOf(segmentNames.back()));
    if (!file) {
        return file.failure();
    }
    this->logFile = *file;
    // The writes and renames of a killed process may have been read from the page cache and not be on disk yet.
    if (auto status = this->files.sync(*this->logFile); !status) {
        return status;
    }
    return this->files.syncFolder(this->folder);
}

template <FileSystem Files>
Status DataFolder<Files>::loadSegment(std::string_view name, bool isLast)
{
    std::uint64_t number = 0;
    const auto digits = name.substr(filenames::segmentPrefix.size());
    std::from_chars(digits.data(), digits.data() + digits.size(), number);
    if (segmentName(number) != name) {
        return { ResultCode::DataFolderInvalid, this->pathOf(name) + ": not the name of a log segment" };
    }
    if (!this->segments.empty() && number != this->segments.rbegin()->first + 1) {
        return { ResultCode::LogCorrupt, this->pathOf(name) + " at offset 0: the previous segment is missing" };
    }
    const auto bytes = this->files.read(this->pathOf(name));
    if (!bytes) {
        return bytes.failure();
    }
    auto content = readLogFile(*bytes, this->pathOf(name));
    if (!content) {
        return content.failure();
    }
    if (content->validBytes < bytes->size()) {
        // A segment is complete before the next one is created, so only the last one can end in an incomplete record.
        if (!isLast) {
            return { ResultCode::LogCorrupt, this->pathOf(name) + " at offset " + std::to_string(content->validBytes) + ": damaged record, but a later segment exists" };
        }
        this->tornBytes = bytes->size() - content->validBytes;
        if (auto status = this->files.truncate(this->pathOf(name), content->validBytes); !status) {
            return status;
        }
    }
    auto& segment = this->segments[number];
    segment.bytes = content->validBytes;
    for (auto& write : content->writes) {
        if (!write.entries.empty()) {
            segment.highestIndex = std::max(segment.highestIndex, write.entries.back().index);
        }
        if (auto status = this->replay(std::move(write), name); !status) {
            return status;
        }
    }
    return success();
}

template <FileSystem Files>
Status DataFolder<Files>::replay(LogWrite write, std::string_view name)
{
    auto& entries = this->state.entries;
    if (write.truncateFrom) {
        while (!entries.empty() && entries.back().index >= *write.truncateFrom) {
            entries.pop_back();
        }
    }
    const auto snapshotIndex = this->state.snapshot ? this->state.snapshot->lastIndex : LogIndex {};
    for (auto& entry : write.entries) {
        if (entry.index <= snapshotIndex) {
            continue;
        }
        if (entry.index.value != snapshotIndex.value + entries.size() + 1 || entry.term > this->state.hardState.term) {
            return { ResultCode::LogCorrupt, this->pathOf(name) + ": entry " + std::to_string(entry.index.value) + " does not follow the previous entry, or its term is above the stored term" };
        }
        entries.push_back(std::move(entry));
    }
    return success();
}

}
