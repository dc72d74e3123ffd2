/// \file
/// The few file operations that the storage needs.

#pragma once

#include <limpet/base/outcome.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace limpet::storage
{

/// A file open for appending. Closed when destroyed.
class file
{
public:
    virtual ~file() = default;

    /// Writes the bytes at the end. They survive a crash only after sync().
    /// After an error some of them may have been written.
    virtual status append(std::string_view bytes) = 0;

    /// Makes all bytes written so far durable.
    virtual status sync() = 0;
};

/// One data folder without subfolders. Names are plain file names. Creation,
/// renaming and removal survive a crash only after sync_folder().
class file_system
{
public:
    virtual ~file_system() = default;

    /// Creates an empty file or empties an existing one.
    virtual outcome<std::unique_ptr<file>> create(const std::string& name) = 0;

    /// Opens an existing file for appending.
    virtual outcome<std::unique_ptr<file>> open(const std::string& name) = 0;

    /// Returns the content of a file.
    virtual outcome<std::string> read(const std::string& name) = 0;

    /// Returns the names of all files.
    virtual outcome<std::vector<std::string>> list() = 0;

    /// Renames a file and replaces an existing one atomically.
    virtual status rename(const std::string& from, const std::string& to) = 0;

    virtual status remove(const std::string& name) = 0;

    /// Shortens a file to the size and makes that durable.
    virtual status truncate(const std::string& name, std::uint64_t size) = 0;

    /// Makes creations, renames and removals so far durable.
    virtual status sync_folder() = 0;
};

} // namespace limpet::storage
