/// \file
/// The one place where the parts of Asio and Beast that are not templates are
/// compiled.

#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
