#include "adapters/disk/FakeFiles.h"

#include <algorithm>

namespace teaselturn::support {

namespace {

    /// Smaller than the sectors of a real disk, so that a short record can be torn at many offsets.
    constexpr std::size_t sectorBytes = 16;

    Status injectedFailure() { return { ResultCode::LogWriteFailed, "injected failure" }; }

    void applyChange(std::vector<std::uint8_t>& content, std::uint64_t offset, std::span<const std::uint8_t> bytes)
    {
        if (bytes.empty()) {
            content.resize(offset);
            return;
        }
        content.resize(std::max<std::size_t>(content.size(), offset + bytes.size()));
        std::copy(bytes.begin(), bytes.end(), content.begin() + static_cast<std::ptrdiff_t>(offset));
    }

}

FakeDisk::FakeDisk(std::uint64_t seed, DiskMutations mutations)
    : random(seed)
    , mutations(mutations)
{
}

void FakeDisk::scheduleFault(DiskFault nextFault)
{
    this->fault = nextFault;
    this->operations = 0;
    this->faultOccurred = false;
}

void FakeDisk::endProcess()
{
    this->isCrashed = false;
    this->scheduleFault({});
}

void FakeDisk::losePower()
{
    this->endProcess();
    for (auto& file : this->files) {
        this->persistPartially(file);
        file.cached = file.onDisk;
    }
    for (const auto& [path, states] : this->unsyncedNames) {
        const auto state = states[this->random.below(states.size())];
        if (state) {
            this->syncedNames[path] = *state;
        } else {
            this->syncedNames.erase(path);
        }
    }
    this->unsyncedNames.clear();
    this->names = this->syncedNames;
}

bool FakeDisk::beginOperation()
{
    if (this->isCrashed) {
        return false;
    }
    ++this->operations;
    if (this->isFaultDue(DiskFaultKind::Crash)) {
        this->isCrashed = this->faultOccurred = true;
    }
    return true;
}

FakeDisk::Inode FakeDisk::createFile(const std::string& path)
{
    const auto inode = this->files.size();
    this->files.emplace_back();
    this->setName(path, inode);
    return inode;
}

void FakeDisk::setName(const std::string& path, std::optional<Inode> inode)
{
    auto& states = this->unsyncedNames[path];
    if (states.empty()) {
        const auto synced = this->syncedNames.find(path);
        states.push_back(synced == this->syncedNames.end() ? std::nullopt : std::optional { synced->second });
    }
    states.push_back(inode);
    if (inode) {
        this->names[path] = *inode;
    } else {
        this->names.erase(path);
    }
}

void FakeDisk::change(File& file, Change change)
{
    applyChange(file.cached, change.offset, change.bytes);
    file.unsynced.push_back(std::move(change));
}

Status FakeDisk::write(Inode inode, std::span<const std::uint8_t> bytes)
{
    const auto isShort = this->isFaultDue(DiskFaultKind::DiskFull) || (this->isFaultDue(DiskFaultKind::ShortWrite) && !this->faultOccurred);
    this->faultOccurred |= isShort;
    const auto length = isShort || this->isCrashed ? this->random.below(bytes.size() + 1) : bytes.size();
    if (length != 0) {
        auto& file = this->files[inode];
        const auto part = bytes.first(length);
        this->change(file, { file.cached.size(), { part.begin(), part.end() } });
    }
    return isShort || this->isCrashed ? injectedFailure() : success();
}

Status FakeDisk::sync(Inode inode)
{
    auto& file = this->files[inode];
    if (this->isFaultDue(DiskFaultKind::FailedSync) && !this->faultOccurred) {
        this->faultOccurred = true;
        this->persistPartially(file);
        return injectedFailure();
    }
    if (this->isCrashed) {
        return injectedFailure();
    }
    if (!this->mutations.skipsSync) {
        for (const auto& change : std::exchange(file.unsynced, {})) {
            applyChange(file.onDisk, change.offset, change.bytes);
        }
    }
    return success();
}

Status FakeDisk::syncNames()
{
    if (this->isFaultDue(DiskFaultKind::FailedSync) && !this->faultOccurred) {
        this->faultOccurred = true;
        return injectedFailure();
    }
    if (this->isCrashed) {
        return injectedFailure();
    }
    if (!this->mutations.skipsFolderSync) {
        this->unsyncedNames.clear();
        this->syncedNames = this->names;
    }
    return success();
}

void FakeDisk::persistPartially(File& file)
{
    for (const auto& change : std::exchange(file.unsynced, {})) {
        const std::span<const std::uint8_t> bytes { change.bytes };
        switch (this->random.below(4)) {
        case 0:
            break;
        case 1:
            applyChange(file.onDisk, change.offset, bytes);
            break;
        case 2:
            if (!bytes.empty()) {
                applyChange(file.onDisk, change.offset, bytes.first(1 + this->random.below(bytes.size())));
            }
            break;
        default:
            for (std::size_t start = 0; start < bytes.size(); start += sectorBytes) {
                if (this->random.below(2) == 0) {
                    applyChange(file.onDisk, change.offset + start, bytes.subspan(start, std::min(sectorBytes, bytes.size() - start)));
                }
            }
        }
    }
}

Status FakeFiles::createFolder(std::string_view)
{
    return this->disk->beginOperation() && !this->disk->isCrashed ? success() : injectedFailure();
}

Result<FileHandle> FakeFiles::lock(std::string_view path)
{
    return this->openAtEnd(path);
}

Result<std::vector<std::string>> FakeFiles::list(std::string_view path)
{
    if (!this->disk->beginOperation() || this->disk->isCrashed) {
        return injectedFailure().failure();
    }
    std::vector<std::string> result;
    for (const auto& [name, inode] : this->disk->names) {
        result.push_back(name.substr(path.size() + 1));
    }
    return result;
}

Result<std::vector<std::uint8_t>> FakeFiles::read(std::string_view path)
{
    const auto isRead = this->disk->beginOperation() && !this->disk->isCrashed;
    const auto found = this->disk->names.find(std::string { path });
    if (!isRead || found == this->disk->names.end()) {
        return { ResultCode::DataFolderInvalid, std::string { path } + ": cannot be read" };
    }
    return this->disk->files[found->second].cached;
}

Result<FileHandle> FakeFiles::create(std::string_view path)
{
    auto& state = *this->disk;
    const auto isRunning = state.beginOperation();
    const auto isFull = state.isFaultDue(DiskFaultKind::DiskFull);
    const auto isFailing = isFull || (state.isFaultDue(DiskFaultKind::ShortWrite) && !state.faultOccurred);
    if (!isRunning || isFailing) {
        state.faultOccurred |= isFailing;
        return injectedFailure().failure();
    }
    const auto found = state.names.find(std::string { path });
    const auto inode = found == state.names.end() ? state.createFile(std::string { path }) : found->second;
    state.change(state.files[inode], {});
    if (state.isCrashed) {
        return injectedFailure().failure();
    }
    return static_cast<FileHandle>(inode);
}

Result<FileHandle> FakeFiles::openAtEnd(std::string_view path)
{
    auto& state = *this->disk;
    if (!state.beginOperation()) {
        return injectedFailure().failure();
    }
    const auto found = state.names.find(std::string { path });
    const auto inode = found == state.names.end() ? state.createFile(std::string { path }) : found->second;
    if (state.isCrashed) {
        return injectedFailure().failure();
    }
    return static_cast<FileHandle>(inode);
}

Status FakeFiles::write(FileHandle file, std::span<const std::uint8_t> bytes)
{
    return this->disk->beginOperation() ? this->disk->write(static_cast<FakeDisk::Inode>(file), bytes) : injectedFailure();
}

Status FakeFiles::truncate(std::string_view path, std::uint64_t size)
{
    auto& state = *this->disk;
    if (!state.beginOperation()) {
        return injectedFailure();
    }
    const auto inode = state.names.at(std::string { path });
    state.change(state.files[inode], { size, {} });
    return state.sync(inode);
}

Status FakeFiles::sync(FileHandle file)
{
    return this->disk->beginOperation() ? this->disk->sync(static_cast<FakeDisk::Inode>(file)) : injectedFailure();
}

Status FakeFiles::rename(std::string_view from, std::string_view to)
{
    auto& state = *this->disk;
    if (!state.beginOperation()) {
        return injectedFailure();
    }
    if (state.isFaultDue(DiskFaultKind::ShortWrite) && !state.faultOccurred) {
        state.faultOccurred = true;
        return injectedFailure();
    }
    state.setName(std::string { to }, state.names.at(std::string { from }));
    state.setName(std::string { from }, std::nullopt);
    return state.isCrashed ? injectedFailure() : success();
}

Status FakeFiles::remove(std::string_view path)
{
    auto& state = *this->disk;
    if (!state.beginOperation()) {
        return injectedFailure();
    }
    if (state.isFaultDue(DiskFaultKind::ShortWrite) && !state.faultOccurred) {
        state.faultOccurred = true;
        return injectedFailure();
    }
    state.setName(std::string { path }, std::nullopt);
    return state.isCrashed ? injectedFailure() : success();
}

Status FakeFiles::syncFolder(std::string_view)
{
    return this->disk->beginOperation() ? this->disk->syncNames() : injectedFailure();
}

}
