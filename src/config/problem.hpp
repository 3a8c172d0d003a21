/// \file
/// What is wrong with settings or documents: one typed record a fault, so that
/// every fault is reported at once and in one form. Plain values, any thread.
#pragma once

#include <boost/system/result.hpp>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <stdexcept>
#include <string>
#include <vector>

#include "core/error.hpp"

namespace stoneport::config {

/// One fault in an input.
struct Problem {
  std::string file;        ///< a path, "command line", or the name of a document
  std::uint32_t line = 0;  ///< from 1; 0 when the input has no lines
  std::string key;         ///< empty when the fault is not about one key
  std::string found;       ///< as it stands in the input
  std::string allowed;     ///< what may stand there instead
  bool operator==(const Problem&) const = default;
};

using Problems = std::vector<Problem>;

[[noreturn]] inline void throw_exception_from_error(const Problems& problems,
                                                    const boost::source_location&) {
  throw std::logic_error("value() taken from an invalid input with " +
                         std::to_string(problems.size()) + " problems");
}

/// A value, or everything that is wrong with its input.
template <class T>
using Checked = boost::system::result<T, Problems>;

/// \return "file:line: key: found X; allowed: Y".
std::string to_string(const Problem& problem);
/// \return one line for each problem, without a final newline.
std::string to_string(const Problems& problems);
/// \return kInvalidArgument with every problem in its message.
core::Error to_error(const Problems& problems);

nlohmann::json to_json_value(const Problems& problems);
/// \return the problems that to_json_value() wrote; fields that are missing stay empty.
Problems problems_from_json(const nlohmann::json& array);

/// Appends \p more to \p problems.
void append(Problems& problems, Problems more);

}  // namespace stoneport::config
