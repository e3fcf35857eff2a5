#pragma once

#include "adapters/disk/FileSystem.h"
#include "teaselturn/Types.h"

namespace teaselturn {

/// Implements FileSystem with POSIX calls. A failed write operation returns LogWriteFailed, any other
/// DataFolderInvalid, with the path and the system's error message as detail.
class PosixFiles {
public:
    Status createFolder(std::string_view path);
    Result<FileHandle> lock(std::string_view path);
    Result<std::vector<std::string>> list(std::string_view path);
    Result<std::vector<std::uint8_t>> read(std::string_view path);
    Result<FileHandle> create(std::string_view path);
    Result<FileHandle> openAtEnd(std::string_view path);
    Status write(FileHandle file, std::span<const std::uint8_t> bytes);
    Status truncate(std::string_view path, std::uint64_t size);
    Status sync(FileHandle file);
    void close(FileHandle file);
    Status rename(std::string_view from, std::string_view to);
    Status remove(std::string_view path);
    Status syncFolder(std::string_view path);
};

static_assert(FileSystem<PosixFiles>);

/// @return A random disk identity from the system's source of randomness; never zero.
DiskId randomDiskId();

}
