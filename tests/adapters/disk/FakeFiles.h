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

/// A disk in memory that separates what is cached from what is synced, and fails at a chosen operation.
namespace teaselturn::support {

enum class DiskFaultKind : std::uint8_t {
    None,
    /// The operation may take effect in part; nothing happens after it.
    Crash,
    /// The operation fails; a write leaves part of its bytes.
    ShortWrite,
    /// Every write and every new file fails from the operation on; a write leaves part of its bytes.
    DiskFull,
    /// The first sync from the operation on fails. Of a file, the unsynced data stays readable, may be on the disk in
    /// part, and is not written by a later sync. Names stay unsynced until a later sync of their folder.
    FailedSync,
};

/// What goes wrong, and at which operation, counted from zero.
struct DiskFault {
    DiskFaultKind kind {};
    std::uint64_t operation {};
};

/// Breaks of the rules of a disk that the checks must notice.
struct DiskMutations {
    /// Syncing a file succeeds and does nothing.
    bool skipsSync {};
    /// Syncing a folder succeeds and does nothing.
    bool skipsFolderSync {};
};

/// The content of the disk, shared by the file systems of consecutive processes.
class FakeDisk {
public:
    explicit FakeDisk(std::uint64_t seed, DiskMutations mutations = {});

    /// Starts counting operations from zero again.
    void arm(DiskFault next);
    /// @return True where the fault has happened.
    bool hasFired() const noexcept { return this->fired; }
    /// Ends the process: open files are closed, and everything written stays readable.
    void endProcess();
    /// Ends the process and loses unsynced data. Of each unsynced write, any of its sectors may be on the disk, and of
    /// each name any of its states since the folder was synced.
    void losePower();

private:
    friend class FakeFiles;

    /// A write at an offset, or a change of size where bytes is empty.
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

    /// Counts an operation. @return False where it is to fail.
    bool begin();
    bool isFaultDue(DiskFaultKind kind) const noexcept { return this->fault.kind == kind && this->operations > this->fault.operation; }
    Inode make(const std::string& path);
    void setName(const std::string& path, std::optional<Inode> inode);
    void change(File& file, Change change);
    Status write(Inode inode, std::span<const std::uint8_t> bytes);
    Status sync(Inode inode);
    Status syncNames();
    /// Brings a random part of the unsynced changes to the disk.
    void settleInPart(File& file);

    SeededRandom random;
    DiskMutations mutations;
    DiskFault fault;
    std::uint64_t operations {};
    bool fired {};
    bool isDead {};
    std::vector<File> files;
    std::map<std::string, Inode> names;
    std::map<std::string, Inode> syncedNames;
    /// States that a name had since its folder was synced, the synced one first.
    std::map<std::string, std::vector<std::optional<Inode>>> unsyncedNames;
};

/// FileSystem over a FakeDisk.
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
