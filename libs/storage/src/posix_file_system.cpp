#include <limpet/storage/posix_file_system.hpp>

#include <array>
#include <cerrno>
#include <fcntl.h>
#include <filesystem>
#include <sys/file.h>
#include <system_error>
#include <unistd.h>

namespace limpet::storage
{

namespace
{

constexpr int file_mode = 0640;
constexpr std::size_t read_bytes = 1 << 16;

error io_failure(const std::string& action, const std::string& path)
{
    const auto reason = std::generic_category().message(errno);
    return {error_code::io_error, action + " " + path + ": " + reason};
}

/// Owns a file descriptor.
class descriptor
{
public:
    explicit descriptor(int value)
        : m_value(value)
    {
    }

    ~descriptor()
    {
        if (m_value >= 0)
        {
            ::close(m_value);
        }
    }

    descriptor(const descriptor&) = delete;
    descriptor& operator=(const descriptor&) = delete;

    int get() const
    {
        return m_value;
    }

private:
    int m_value;
};

class posix_file final : public file
{
public:
    posix_file(int value, std::string path)
        : m_descriptor(value),
          m_path(std::move(path))
    {
    }

    status append(std::string_view bytes) override
    {
        while (!bytes.empty())
        {
            const ssize_t written =
                ::write(m_descriptor.get(), bytes.data(), bytes.size());
            if (written < 0 && errno == EINTR)
            {
                continue;
            }
            if (written < 0)
            {
                return io_failure("write", m_path);
            }
            bytes.remove_prefix(static_cast<std::size_t>(written));
        }
        return success();
    }

    status sync() override
    {
        if (::fdatasync(m_descriptor.get()) != 0)
        {
            return io_failure("sync", m_path);
        }
        return success();
    }

private:
    descriptor m_descriptor;
    std::string m_path;
};

outcome<std::unique_ptr<file>> open_file(const std::string& path, int flags)
{
    const int value = ::open(path.c_str(), flags | O_CLOEXEC, file_mode);
    if (value < 0)
    {
        return io_failure("open", path);
    }
    return std::unique_ptr<file>(std::make_unique<posix_file>(value, path));
}

} // namespace

posix_file_system::posix_file_system(std::string folder, int descriptor)
    : m_folder(std::move(folder)),
      m_descriptor(descriptor)
{
}

posix_file_system::~posix_file_system()
{
    ::close(m_descriptor);
}

outcome<std::unique_ptr<posix_file_system>>
posix_file_system::open_folder(const std::string& folder)
{
    const int value =
        ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (value < 0)
    {
        return io_failure("open folder", folder);
    }
    std::unique_ptr<posix_file_system> result(
        new posix_file_system(folder, value));
    if (::flock(value, LOCK_EX | LOCK_NB) != 0)
    {
        return io_failure("lock folder", folder);
    }
    return result;
}

std::string posix_file_system::path_of(const std::string& name) const
{
    return m_folder + "/" + name;
}

outcome<std::unique_ptr<file>>
posix_file_system::create(const std::string& name)
{
    constexpr int flags = O_WRONLY | O_CREAT | O_TRUNC | O_APPEND;
    return open_file(path_of(name), flags);
}

outcome<std::unique_ptr<file>> posix_file_system::open(const std::string& name)
{
    return open_file(path_of(name), O_WRONLY | O_APPEND);
}

outcome<std::string> posix_file_system::read(const std::string& name)
{
    const std::string path = path_of(name);
    const descriptor source(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
    if (source.get() < 0)
    {
        return io_failure("open", path);
    }
    std::string content;
    std::array<char, read_bytes> buffer{};
    while (true)
    {
        const ssize_t count =
            ::read(source.get(), buffer.data(), buffer.size());
        if (count < 0 && errno == EINTR)
        {
            continue;
        }
        if (count < 0)
        {
            return io_failure("read", path);
        }
        if (count == 0)
        {
            return content;
        }
        content.append(buffer.data(), static_cast<std::size_t>(count));
    }
}

outcome<std::vector<std::string>> posix_file_system::list()
{
    std::vector<std::string> names;
    std::error_code failure;
    std::filesystem::directory_iterator entry(m_folder, failure);
    const std::filesystem::directory_iterator end;
    while (!failure && entry != end)
    {
        if (entry->is_regular_file(failure))
        {
            names.push_back(entry->path().filename().string());
        }
        entry.increment(failure);
    }
    if (failure)
    {
        return error{error_code::io_error,
                     "list " + m_folder + ": " + failure.message()};
    }
    return names;
}

status posix_file_system::rename(const std::string& from, const std::string& to)
{
    if (::rename(path_of(from).c_str(), path_of(to).c_str()) != 0)
    {
        return io_failure("rename", path_of(from));
    }
    return success();
}

status posix_file_system::remove(const std::string& name)
{
    if (::unlink(path_of(name).c_str()) != 0)
    {
        return io_failure("remove", path_of(name));
    }
    return success();
}

status posix_file_system::truncate(const std::string& name, std::uint64_t size)
{
    const std::string path = path_of(name);
    const descriptor target(::open(path.c_str(), O_WRONLY | O_CLOEXEC));
    if (target.get() < 0)
    {
        return io_failure("open", path);
    }
    if (::ftruncate(target.get(), static_cast<off_t>(size)) != 0)
    {
        return io_failure("truncate", path);
    }
    if (::fsync(target.get()) != 0)
    {
        return io_failure("sync", path);
    }
    return success();
}

status posix_file_system::sync_folder()
{
    if (::fsync(m_descriptor) != 0)
    {
        return io_failure("sync folder", m_folder);
    }
    return success();
}

} // namespace limpet::storage
