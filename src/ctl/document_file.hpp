/// \file
/// Documents in files: reading them with their problems, and finding the line
/// that a daemon's problem is about.
#pragma once

#include <string>

#include "config/document.hpp"
#include "ctl/command.hpp"

namespace stoneport::ctl {

/// One document and where it came from.
struct DocumentFile {
  config::SourceDocument source;
  config::Document document;
  /// From the comment that `get` writes in the first line; nothing without it.
  std::optional<core::Revision> base_revision;
};

/// Reads and checks the file at \p path.
config::Checked<DocumentFile> read_document_file(const std::string& path);

/// \return the first line that `get` writes, which carries the base revision.
std::string base_revision_comment(core::Revision revision);

/// Prints a failed call; problems about one of \p files name its path and line,
/// and a conflict shows what the change would do to what is in force.
/// \return the exit code.
ExitCode report_failure(const CommandContext& context, const CallFailure& failure,
                        const std::vector<DocumentFile>& files);
/// Prints problems found before anything was sent.
/// \return kInvalidDocument.
ExitCode report_problems(const CommandContext& context, const config::Problems& problems);

}  // namespace stoneport::ctl
