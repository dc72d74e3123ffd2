#include "report.hpp"

#include <boost/json.hpp>

#include <cmath>
#include <iostream>
#include <sstream>

namespace limpet::bench
{

namespace
{

std::string bound_text(const figure& item)
{
    std::ostringstream text;
    switch (item.kind)
    {
    case bound_kind::none:
        return "none";
    case bound_kind::at_most:
        text << "<=" << item.bound;
        return text.str();
    case bound_kind::at_least:
        text << ">=" << item.bound;
        return text.str();
    }
    return "none";
}

void print_line(const figure& item)
{
    std::cout << "figure=" << item.name << " value=" << item.value
              << " bound=" << bound_text(item)
              << " ok=" << (item.ok() ? "true" : "false") << std::endl;
}

void print_json(const figure& item)
{
    const boost::json::object line{{"figure", item.name},
                                   {"value", item.value},
                                   {"bound", bound_text(item)},
                                   {"ok", item.ok()}};
    std::cout << boost::json::serialize(line) << std::endl;
}

} // namespace

bool figure::ok() const
{
    switch (kind)
    {
    case bound_kind::none:
        return true;
    case bound_kind::at_most:
        return value <= bound;
    case bound_kind::at_least:
        return value >= bound;
    }
    return false;
}

void report::at_most(std::string name, double value, double bound)
{
    m_figures.push_back({std::move(name), value, bound_kind::at_most, bound});
}

void report::at_least(std::string name, double value, double bound)
{
    m_figures.push_back({std::move(name), value, bound_kind::at_least, bound});
}

void report::note(std::string name, double value)
{
    m_figures.push_back({std::move(name), value, bound_kind::none, 0});
}

void report::print_new(bool as_json)
{
    for (; m_printed < m_figures.size(); ++m_printed)
    {
        const figure& item = m_figures[m_printed];
        as_json ? print_json(item) : print_line(item);
    }
}

bool report::ok() const
{
    for (const figure& item : m_figures)
    {
        if (!item.ok())
        {
            return false;
        }
    }
    return true;
}

} // namespace limpet::bench
