#include "adapters/disk/PosixFiles.h"

#include <algorithm>
#include <cerrno>
#include <dirent.h>
#include <fcntl.h>
#include <memory>
#include <random>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

namespace teaselturn {

namespace {

    /// Only the daemon's user and group can read the files.
    constexpr mode_t fileMode = 0640;
    constexpr mode_t folderMode = 0750;

    /// @return A failure with the path, the operation and the message of errno.
    Failure systemFailure(ResultCode code, std::string_view operation, std::string_view path)
    {
        const auto reason = std::generic_category().message(errno);
        return { code, std::string { path } + ": " + std::string { operation } + ": " + reason };
    }

    Result<FileHandle> openFile(std::string_view path, int flags, ResultCode code)
    {
        const auto file = ::open(std::string { path }.c_str(), flags | O_CLOEXEC, fileMode);
        if (file < 0) {
            return systemFailure(code, "open", path);
        }
        return file;
    }

    std::string parentOf(std::string_view path)
    {
        const auto slash = path.find_last_of('/');
        if (slash == std::string_view::npos) {
            return ".";
        }
        return std::string { path.substr(0, std::max<std::size_t>(slash, 1)) };
    }

}

Status PosixFiles::createFolder(std::string_view path)
{
    if (::mkdir(std::string { path }.c_str(), folderMode) == 0) {
        return this->syncFolder(parentOf(path));
    }
    if (errno != EEXIST) {
        return systemFailure(ResultCode::DataFolderInvalid, "mkdir", path);
    }
    return success();
}

Result<FileHandle> PosixFiles::lock(std::string_view path)
{
    auto file = openFile(path, O_RDWR | O_CREAT, ResultCode::DataFolderInvalid);
    if (file && ::flock(*file, LOCK_EX | LOCK_NB) != 0) {
        auto failure = systemFailure(ResultCode::DataFolderInvalid, "locked by another process", path);
        ::close(*file);
        return failure;
    }
    return file;
}

Result<std::vector<std::string>> PosixFiles::list(std::string_view path)
{
    const std::unique_ptr<DIR, int (*)(DIR*)> folder { ::opendir(std::string { path }.c_str()), &::closedir };
    if (!folder) {
        return systemFailure(ResultCode::DataFolderInvalid, "opendir", path);
    }
    std::vector<std::string> names;
    while (const auto* entry = ::readdir(folder.get())) { // NOLINT(concurrency-mt-unsafe): the stream is not shared.
        const std::string name { entry->d_name };
        if (name != "." && name != "..") {
            names.push_back(name);
        }
    }
    std::sort(names.begin(), names.end());
    return names;
}

Result<std::vector<std::uint8_t>> PosixFiles::read(std::string_view path)
{
    auto file = openFile(path, O_RDONLY, ResultCode::DataFolderInvalid);
    if (!file) {
        return file.failure();
    }
    std::vector<std::uint8_t> bytes;
    constexpr std::size_t chunkBytes = 1024 * 1024;
    ssize_t count = 0;
    do {
        const auto size = bytes.size();
        bytes.resize(size + chunkBytes);
        do {
            count = ::read(*file, bytes.data() + size, chunkBytes);
        } while (count < 0 && errno == EINTR);
        bytes.resize(size + static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    } while (count > 0);
    Result<std::vector<std::uint8_t>> result = count < 0 ? Result<std::vector<std::uint8_t>> { systemFailure(ResultCode::DataFolderInvalid, "read", path) } : std::move(bytes);
    ::close(*file);
    return result;
}

Result<FileHandle> PosixFiles::create(std::string_view path)
{
    return openFile(path, O_WRONLY | O_CREAT | O_TRUNC, ResultCode::LogWriteFailed);
}

Result<FileHandle> PosixFiles::openAtEnd(std::string_view path)
{
    return openFile(path, O_WRONLY | O_APPEND, ResultCode::LogWriteFailed);
}

Status PosixFiles::write(FileHandle file, std::span<const std::uint8_t> bytes)
{
    while (!bytes.empty()) {
        const auto count = ::write(file, bytes.data(), bytes.size());
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count <= 0) {
            return systemFailure(ResultCode::LogWriteFailed, "write", "log");
        }
        bytes = bytes.subspan(static_cast<std::size_t>(count));
    }
    return success();
}

Status PosixFiles::truncate(std::string_view path, std::uint64_t size)
{
    auto file = openFile(path, O_WRONLY, ResultCode::LogWriteFailed);
    if (!file) {
        return file.failure();
    }
    auto result = success();
    if (::ftruncate(*file, static_cast<off_t>(size)) != 0) {
        result = systemFailure(ResultCode::LogWriteFailed, "ftruncate", path);
    } else {
        result = this->sync(*file);
    }
    this->close(*file);
    return result;
}

Status PosixFiles::sync(FileHandle file)
{
    // fsync is not retried: after a failure the kernel may have dropped the unwritten pages, and a retry would succeed
    // without writing them.
    if (::fsync(file) != 0) {
        return systemFailure(ResultCode::LogWriteFailed, "fsync", "log");
    }
    return success();
}

void PosixFiles::close(FileHandle file)
{
    ::close(file);
}

Status PosixFiles::rename(std::string_view from, std::string_view to)
{
    if (::rename(std::string { from }.c_str(), std::string { to }.c_str()) != 0) {
        return systemFailure(ResultCode::LogWriteFailed, "rename", from);
    }
    return success();
}

Status PosixFiles::remove(std::string_view path)
{
    if (::unlink(std::string { path }.c_str()) != 0) {
        return systemFailure(ResultCode::LogWriteFailed, "unlink", path);
    }
    return success();
}

Status PosixFiles::syncFolder(std::string_view path)
{
    auto folder = openFile(path, O_RDONLY | O_DIRECTORY, ResultCode::LogWriteFailed);
    if (!folder) {
        return folder.failure();
    }
    auto result = this->sync(*folder);
    this->close(*folder);
    return result;
}

DiskId randomDiskId()
{
    std::random_device randomDevice;
    std::uint64_t number = 0;
    while (number == 0) {
        number = (std::uint64_t { randomDevice() } << 32U) | randomDevice();
    }
    return DiskId { number };
}

}
