/// \file
/// Folder that lasts as long as its owner.

#pragma once

#include <filesystem>
#include <random>
#include <string>

namespace limpet::local_fleet
{

/// A new folder under the system's folder for temporary files.
class data_folder
{
public:
    data_folder()
        : m_path(std::filesystem::temp_directory_path() /
                 ("limpet-" + std::to_string(std::random_device{}()) + "-" +
                  std::to_string(std::random_device{}())))
    {
        std::filesystem::create_directories(m_path);
    }

    ~data_folder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(m_path, ignored);
    }

    data_folder(const data_folder&) = delete;
    data_folder& operator=(const data_folder&) = delete;

    std::string path() const
    {
        return m_path.string();
    }

private:
    std::filesystem::path m_path;
};

} // namespace limpet::local_fleet
