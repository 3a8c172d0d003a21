/// \file
/// The configuration as rows of the table service. One transaction writes the
/// document, its line of history and the head, and holds only while the head and
/// the document are the ones it was planned against. Control thread only.
///
/// Rows of the table "configuration":
/// - `head`: revision and hash of the newest whole
/// - `documents/GROUP/NAME`: the document as last published
/// - `history/GROUP/NAME/REVISION`: every publication of it
#pragma once

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>
#include <vector>

#include "config/configuration_record.hpp"
#include "config/publish_plan.hpp"
#include "core/error.hpp"
#include "ports/table_service.hpp"

namespace stoneport::controllers {

/// The head row; all zero while nothing has been published.
struct ConfigurationHead {
  core::Revision revision;  ///< of the configuration
  std::uint64_t hash = 0;   ///< of the whole at that revision
  core::Revision row;       ///< the row's own revision in the table service
};

class ConfigurationStore {
 public:
  /// \param write_prefix unique to this process's life; stands in write ids
  ConfigurationStore(ports::TableService& table, std::string write_prefix)
      : table_(table), write_prefix_(std::move(write_prefix)) {}

  boost::asio::awaitable<core::Result<ConfigurationHead>> read_head(ports::TablePriority priority);
  /// \return the documents whose rows were written after the row revision \p after.
  boost::asio::awaitable<core::Result<std::map<config::DocumentKey, config::DocumentRecord>>>
  read_documents(core::Revision after, ports::TablePriority priority);
  /// Commits what was planned against \p head.
  /// \return the new head; kConflict when the head or the document has changed;
  /// kOutcomeUnknown when the answer was lost and could not be settled.
  boost::asio::awaitable<core::Result<ConfigurationHead>> commit(config::PublishCommit commit,
                                                                 ConfigurationHead head);
  /// \return every publication of the document, oldest first.
  boost::asio::awaitable<core::Result<std::vector<config::DocumentRecord>>> history(
      config::DocumentKey key);
  /// \return the document as it was published at \p revision, or kNotFound.
  boost::asio::awaitable<core::Result<config::DocumentRecord>> published_at(
      config::DocumentKey key, core::Revision revision);

 private:
  ports::TableService& table_;
  std::string write_prefix_;
  std::uint64_t writes_ = 0;
};

}  // namespace stoneport::controllers
