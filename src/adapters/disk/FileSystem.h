#pragma once

#include "teaselturn/Result.h"

#include <concepts>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace teaselturn {

/// Handle of a file opened by a FileSystem.
using FileHandle = int;

/// File operations of the data folder. Tests implement them with injected failures and with writes that a crash loses.
template <typename T>
concept FileSystem = std::movable<T> && requires(T& files, std::string_view path, FileHandle file, std::span<const std::uint8_t> bytes)
{
    /// Creates the folder and syncs its parent. Succeeds without a change if the folder exists.
    {
        files.createFolder(path)
        } -> std::same_as<Status>;
    /// Locks the file until the handle is closed or the process ends. Creates the file if it is missing.
    {
        files.lock(path)
        } -> std::same_as<Result<FileHandle>>;
    /// @return Names of the files in the folder, sorted.
    {
        files.list(path)
        } -> std::same_as<Result<std::vector<std::string>>>;
    /// @return The whole content of a file.
    {
        files.read(path)
        } -> std::same_as<Result<std::vector<std::uint8_t>>>;
    /// Creates an empty file, or empties an existing one, for writing.
    {
        files.create(path)
        } -> std::same_as<Result<FileHandle>>;
    /// Opens an existing file for appending.
    {
        files.openAtEnd(path)
        } -> std::same_as<Result<FileHandle>>;
    /// Writes all bytes. On failure, any part of them may have been written.
    {
        files.write(file, bytes)
        } -> std::same_as<Status>;
    /// Truncates the file to a size in bytes and syncs it.
    {
        files.truncate(path, std::uint64_t {})
        } -> std::same_as<Status>;
    {
        files.sync(file)
        } -> std::same_as<Status>;
    {
        files.close(file)
        } -> std::same_as<void>;
    {
        files.rename(path, path)
        } -> std::same_as<Status>;
    {
        files.remove(path)
        } -> std::same_as<Status>;
    /// Syncs the directory entries of the folder: created, renamed and removed files.
    {
        files.syncFolder(path)
        } -> std::same_as<Status>;
};

}
