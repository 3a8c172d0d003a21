/// \file
/// The one translation unit that compiles Asio and Beast themselves.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
