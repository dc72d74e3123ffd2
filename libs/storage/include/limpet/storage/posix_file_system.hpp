/// \file
/// A data folder in the VM's file system.

#pragma once

#include <limpet/storage/file_system.hpp>

namespace limpet::storage
{

/// Files of one existing folder. The object holds a lock on the folder, which
/// prevents other processes from opening it.
class posix_file_system final : public file_system
{
public:
    /// Opens and locks the folder. Errors: io_error, also if the folder does
    /// not exist or is locked by another process.
    static outcome<std::unique_ptr<posix_file_system>>
    open_folder(const std::string& folder);

    ~posix_file_system() override;
    posix_file_system(const posix_file_system&) = delete;
    posix_file_system& operator=(const posix_file_system&) = delete;

    outcome<std::unique_ptr<file>> create(const std::string& name) override;
    outcome<std::unique_ptr<file>> open(const std::string& name) override;
    outcome<std::string> read(const std::string& name) override;
    outcome<std::vector<std::string>> list() override;
    status rename(const std::string& from, const std::string& to) override;
    status remove(const std::string& name) override;
    status truncate(const std::string& name, std::uint64_t size) override;
    status sync_folder() override;

private:
    posix_file_system(std::string folder, int descriptor);

    std::string path_of(const std::string& name) const;

    std::string m_folder;
    int m_descriptor;
};

} // namespace limpet::storage
