/// \file
/// HTTP messages as plain values.

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpet::http
{

/// One header field. Refers to the list that it is from.
struct header
{
    std::string_view name;
    std::string_view value;
};

/// Header fields in the order received. All names and values are kept in one
/// text, so that many small fields take little more memory than their bytes.
class header_list
{
    struct position
    {
        std::uint32_t begin = 0;
        std::uint32_t name_size = 0;
        std::uint32_t value_size = 0;
    };

public:
    /// Iterates over the fields of a list, which must not change meanwhile.
    class iterator
    {
    public:
        iterator(const header_list& list, std::size_t index) noexcept
            : m_list(&list),
              m_index(index)
        {
        }

        header operator*() const
        {
            return m_list->at(m_list->m_positions[m_index]);
        }

        iterator& operator++() noexcept
        {
            ++m_index;
            return *this;
        }

        bool operator==(const iterator& other) const noexcept = default;

    private:
        const header_list* m_list;
        std::size_t m_index;
    };

    iterator begin() const noexcept
    {
        return {*this, 0};
    }

    iterator end() const noexcept
    {
        return {*this, size()};
    }

    /// Returns the number of fields.
    std::size_t size() const noexcept
    {
        return m_positions.size();
    }

    /// Returns the first value under the name, which is compared without
    /// regard to case, if there is such a field. Valid until the list changes.
    std::optional<std::string_view> find(std::string_view name) const;

    /// Returns the first value under the name, or an empty text.
    std::string_view value_or_empty(std::string_view name) const;

    /// Replaces all fields of the name by one.
    void set(std::string_view name, std::string_view value);

    /// Appends a field; earlier ones of the name stay.
    void add(std::string_view name, std::string_view value);

    /// Removes all fields of the name.
    void erase(std::string_view name);

    /// Gives back memory beyond what the fields need.
    void shrink_to_fit();

    /// Returns the memory that the list takes besides itself, in bytes.
    std::size_t memory_bytes() const noexcept
    {
        return m_text.capacity() + m_positions.capacity() * sizeof(position);
    }

private:
    header at(const position& place) const
    {
        const std::string_view text(m_text);
        return {text.substr(place.begin, place.name_size),
                text.substr(place.begin + place.name_size, place.value_size)};
    }

    bool has_name(const position& place, std::string_view name) const;

    std::string m_text;
    std::vector<position> m_positions;
};

/// A request with its whole body.
struct request
{
    std::string method;
    std::string target;
    header_list headers;
    std::string body;
    /// Body to send in place of `body` without a copy. Its owner keeps it until
    /// the request has been sent.
    std::string_view borrowed_body;

    /// Returns the body to send.
    std::string_view payload() const noexcept
    {
        return borrowed_body.empty() ? std::string_view(body) : borrowed_body;
    }
};

/// Status line and header fields of an answer.
struct response_head
{
    unsigned status = 200;
    header_list headers;
};

/// An answer with its whole body.
struct response
{
    response_head head;
    std::string body;
};

} // namespace limpet::http
