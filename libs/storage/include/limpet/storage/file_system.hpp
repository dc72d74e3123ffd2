/// \file
/// Interface for the file operations that the storage uses.

#pragma once

#include <limpet/base/outcome.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace limpet::storage
{

/// A file opened for appending. The destructor closes it.
class file
{
public:
    virtual ~file() = default;

    /// Appends the bytes. They survive a crash only after sync(). After an
    /// error, a part of them may have been written.
    virtual status append(std::string_view bytes) = 0;

    /// Makes all bytes written so far durable.
    virtual status sync() = 0;
};

/// A data folder without subfolders. Names are file names without a path.
/// Creations, renames and removals survive a crash only after sync_folder().
class file_system
{
public:
    virtual ~file_system() = default;

    /// Creates an empty file or truncates an existing one.
    virtual outcome<std::unique_ptr<file>> create(const std::string& name) = 0;

    /// Opens an existing file for appending.
    virtual outcome<std::unique_ptr<file>> open(const std::string& name) = 0;

    /// Returns the content of a file.
    virtual outcome<std::string> read(const std::string& name) = 0;

    /// Returns the names of all files.
    virtual outcome<std::vector<std::string>> list() = 0;

    /// Renames a file; atomically replaces an existing file named `to`.
    virtual status rename(const std::string& from, const std::string& to) = 0;

    virtual status remove(const std::string& name) = 0;

    /// Truncates a file to the size in bytes and makes the change durable.
    virtual status truncate(const std::string& name, std::uint64_t size) = 0;

    /// Makes all previous creations, renames and removals durable.
    virtual status sync_folder() = 0;
};

} // namespace limpet::storage
