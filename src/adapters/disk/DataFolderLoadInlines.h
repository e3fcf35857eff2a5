#pragma once

#include "adapters/codec/Codec.h"
#include "adapters/disk/DataFolder.h"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <string>
#include <utility>

/// Opening and reading a data folder.
namespace teaselturn {

template <FileSystem Files>
Status DataFolder<Files>::lockAndLoad(DiskId freshDisk)
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
        const auto isUsed = std::any_of(names->begin(), names->end(), [](const auto& name) { return name == filenames::snapshot || name.starts_with(filenames::segmentPrefix); });
        if (isUsed) {
            return { ResultCode::DataFolderInvalid, this->folder + ": the file disk is missing beside a log" };
        }
        return this->createFiles(freshDisk);
    }
    return this->load(*names);
}

template <FileSystem Files>
Status DataFolder<Files>::createFiles(DiskId freshDisk)
{
    // The identity comes last: a folder with an identity is complete, and one without holds nothing yet.
    if (auto status = this->replaceFile(filenames::hardState, RecordType::HardState, encodeHardState({})); !status) {
        return status;
    }
    std::vector<std::uint8_t> identity;
    for (unsigned shift = 0; shift < 64; shift += 8) {
        identity.push_back(static_cast<std::uint8_t>(freshDisk.value >> shift));
    }
    if (auto status = this->replaceFile(filenames::identity, RecordType::DiskIdentity, identity); !status) {
        return status;
    }
    this->disk = freshDisk;
    return this->startSegment(1);
}

template <FileSystem Files>
Result<std::vector<std::uint8_t>> DataFolder<Files>::readSingle(std::string_view name, RecordType type, ResultCode damaged)
{
    auto bytes = this->files.read(this->pathOf(name));
    if (!bytes) {
        return bytes;
    }
    const auto record = readRecord(*bytes);
    if (!record || record->type != type || record->size != bytes->size()) {
        return { damaged, this->pathOf(name) + " at offset 0: damaged record" };
    }
    return std::vector<std::uint8_t> { record->payload.begin(), record->payload.end() };
}

template <FileSystem Files>
Status DataFolder<Files>::loadSnapshot()
{
    const auto payload = this->readSingle(filenames::snapshot, RecordType::Snapshot, ResultCode::SnapshotCorrupt);
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
    const auto identity = this->readSingle(filenames::identity, RecordType::DiskIdentity, ResultCode::DataFolderInvalid);
    if (!identity) {
        return identity.failure();
    }
    for (std::size_t i = 0; i < std::min<std::size_t>(identity->size(), sizeof(std::uint64_t)); ++i) {
        this->disk.value |= std::uint64_t { (*identity)[i] } << (8 * i);
    }
    const auto vote = this->readSingle(filenames::hardState, RecordType::HardState, ResultCode::LogCorrupt);
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
    std::vector<std::string> logs;
    std::copy_if(names.begin(), names.end(), std::back_inserter(logs), [](const auto& name) { return name.starts_with(filenames::segmentPrefix); });
    for (const auto& name : logs) {
        if (auto status = this->loadSegment(name, name == logs.back()); !status) {
            return status;
        }
    }
    if (this->segments.empty()) {
        if (this->state.hardState.term != Term {} || this->state.snapshot) {
            return { ResultCode::LogCorrupt, this->folder + ": every log segment is missing" };
        }
        return this->startSegment(1);
    }
    auto file = this->files.openAtEnd(this->pathOf(logs.back()));
    if (!file) {
        return file.failure();
    }
    this->logFile = *file;
    // A killed process may leave writes and renames that were read back here but are not on disk yet.
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
        return { ResultCode::LogCorrupt, this->pathOf(name) + " at offset 0: the segment before it is missing" };
    }
    const auto bytes = this->files.read(this->pathOf(name));
    if (!bytes) {
        return bytes.failure();
    }
    auto content = readLogFile(*bytes, this->pathOf(name));
    if (!content) {
        return content.failure();
    }
    if (content->soundBytes < bytes->size()) {
        // A segment is complete before the next one begins, so only the last one can end in a torn record.
        if (!isLast) {
            return { ResultCode::LogCorrupt, this->pathOf(name) + " at offset " + std::to_string(content->soundBytes) + ": damaged record before a later segment" };
        }
        this->tornBytes = bytes->size() - content->soundBytes;
        if (auto status = this->files.truncate(this->pathOf(name), content->soundBytes); !status) {
            return status;
        }
    }
    auto& segment = this->segments[number];
    segment.bytes = content->soundBytes;
    for (auto& write : content->writes) {
        if (!write.entries.empty()) {
            segment.highest = std::max(segment.highest, write.entries.back().index);
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
    const auto base = this->state.snapshot ? this->state.snapshot->lastIndex : LogIndex {};
    for (auto& entry : write.entries) {
        if (entry.index <= base) {
            continue;
        }
        if (entry.index.value != base.value + entries.size() + 1 || entry.term > this->state.hardState.term) {
            return { ResultCode::LogCorrupt, this->pathOf(name) + ": entry " + std::to_string(entry.index.value) + " does not follow" };
        }
        entries.push_back(std::move(entry));
    }
    return success();
}

}
