#pragma once

#include "adapters/disk/FileSystem.h"
#include "core/support/SeededRandom.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// An in-memory disk that keeps cached and synced data apart and injects a fault at a chosen operation.
namespace teaselturn::support {

enum class DiskFaultKind : std::uint8_t {
    None,
    /// The process stops at the operation, which may be partly done. Later operations fail without effect.
    Crash,
    /// The first write, file creation, rename or removal from the operation on fails. A write leaves part of its bytes.
    ShortWrite,
    /// Every write and file creation from the operation on fails. A write leaves part of its bytes.
    DiskFull,
    /// The first sync from the operation on fails. The unsynced data of a file stays readable, but only a random part
    /// of it is on the disk, and later syncs do not write the rest. Names stay unsynced until their folder is synced
    /// again.
    FailedSync,
};

/// A fault, and the number of the operation at which it occurs, counted from zero.
struct DiskFault {
    DiskFaultKind kind {};
    std::uint64_t operation {};
};

/// Deliberate errors of the disk that the crash checks must detect.
struct DiskMutations {
    /// Syncing a file succeeds and does nothing.
    bool skipsSync {};
    /// Syncing a folder succeeds and does nothing.
    bool skipsFolderSync {};
};

/// Content of the disk, shared by the FakeFiles of consecutive processes.
class FakeDisk {
public:
    explicit FakeDisk(std::uint64_t seed, DiskMutations mutations = {});

    /// Schedules a fault and restarts the count of operations at zero.
    void scheduleFault(DiskFault nextFault);
    /// @return True if the scheduled fault has occurred.
    bool hasFaultOccurred() const noexcept { return this->faultOccurred; }
    /// Ends the process without a power failure: all written data stays readable. Clears the fault.
    void endProcess();
    /// Ends the process with a power failure. Any subset of the sectors of each unsynced write may be on the disk, and
    /// each unsynced name takes any of its states since the folder was synced.
    void losePower();

private:
    friend class FakeFiles;

    /// A write at an offset, or, if bytes is empty, a change of the file's size to the offset.
    struct Change {
        std::uint64_t offset {};
        std::vector<std::uint8_t> bytes;
    };
    using Inode = std::size_t;
    struct File {
        std::vector<std::uint8_t> cached;
        std::vector<std::uint8_t> onDisk;
        std::vector<Change> unsynced;
    };

    /// Counts an operation and triggers a crash that is due.
    /// @return False if the process crashed at an earlier operation.
    bool beginOperation();
    bool isFaultDue(DiskFaultKind kind) const noexcept { return this->fault.kind == kind && this->operations > this->fault.operation; }
    Inode createFile(const std::string& path);
    void setName(const std::string& path, std::optional<Inode> inode);
    void change(File& file, Change change);
    Status write(Inode inode, std::span<const std::uint8_t> bytes);
    Status sync(Inode inode);
    Status syncNames();
    /// Applies a random part of the unsynced changes to the disk and discards the rest.
    void persistPartially(File& file);

    SeededRandom random;
    DiskMutations mutations;
    DiskFault fault;
    std::uint64_t operations {};
    bool faultOccurred {};
    bool isCrashed {};
    std::vector<File> files;
    std::map<std::string, Inode> names;
    std::map<std::string, Inode> syncedNames;
    /// States of each changed name since its folder was synced, beginning with the synced state.
    std::map<std::string, std::vector<std::optional<Inode>>> unsyncedNames;
};

/// Implements FileSystem on a FakeDisk.
class FakeFiles {
public:
    explicit FakeFiles(std::shared_ptr<FakeDisk> disk)
        : disk(std::move(disk))
    {
    }

    Status createFolder(std::string_view path);
    Result<FileHandle> lock(std::string_view path);
    Result<std::vector<std::string>> list(std::string_view path);
    Result<std::vector<std::uint8_t>> read(std::string_view path);
    Result<FileHandle> create(std::string_view path);
    Result<FileHandle> openAtEnd(std::string_view path);
    Status write(FileHandle file, std::span<const std::uint8_t> bytes);
    Status truncate(std::string_view path, std::uint64_t size);
    Status sync(FileHandle file);
    void close(FileHandle) { }
    Status rename(std::string_view from, std::string_view to);
    Status remove(std::string_view path);
    Status syncFolder(std::string_view path);

private:
    std::shared_ptr<FakeDisk> disk;
};

static_assert(FileSystem<FakeFiles>);

}
