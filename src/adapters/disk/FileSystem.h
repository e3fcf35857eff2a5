#pragma once

#include "teaselturn/Result.h"

#include <concepts>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace teaselturn {

/// An open file of a FileSystem.
using FileHandle = int;

/// File operations of the data folder. Tests model it with failures and with writes that a crash loses.
template <typename T>
concept FileSystem = std::movable<T> && requires(T& files, std::string_view path, FileHandle file, std::span<const std::uint8_t> bytes)
{
    /// Creates the folder where it is missing and syncs its parent.
    {
        files.createFolder(path)
        } -> std::same_as<Status>;
    /// Locks the file, which is created where it is missing, until the handle is closed or the process ends.
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
    /// Opens a file for writing at its end.
    {
        files.openAtEnd(path)
        } -> std::same_as<Result<FileHandle>>;
    /// Writes all the bytes, or fails after writing any part of them.
    {
        files.write(file, bytes)
        } -> std::same_as<Status>;
    /// Cuts the file to a size in bytes and syncs it.
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
    /// Syncs the names in the folder.
    {
        files.syncFolder(path)
        } -> std::same_as<Status>;
};

}
