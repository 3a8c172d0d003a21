/// \file
/// Stores the configuration as rows of the table service. One transaction writes the
/// document, its history row and the head row, on condition that the head and the document
/// have not changed since the transaction was planned. Control thread only.
///
/// Rows of the table "configuration":
/// - `head`: revision and hash of the newest configuration
/// - `documents/GROUP/NAME`: the document as last published
/// - `history/GROUP/NAME/REVISION`: one publication of the document
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

/// Contents of the head row; all zero before the first publication.
struct ConfigurationHead {
  core::Revision revision;  ///< of the configuration
  std::uint64_t hash = 0;   ///< of the full configuration at that revision
  core::Revision row;       ///< the row's own revision in the table service
};

class ConfigurationStore {
 public:
  /// \param write_prefix prefix of all write ids, unique to this process
  ConfigurationStore(ports::TableService& table, std::string write_prefix)
      : table_(table), write_prefix_(std::move(write_prefix)) {}

  boost::asio::awaitable<core::Result<ConfigurationHead>> read_head(ports::TablePriority priority);
  /// \return the documents whose rows were written after row revision \p after
  boost::asio::awaitable<core::Result<std::map<config::DocumentKey, config::DocumentRecord>>>
  read_documents(core::Revision after, ports::TablePriority priority);
  /// Commits a change that was planned against \p head.
  /// \return the new head; kConflict when the head or the document has changed;
  /// kOutcomeUnknown when the response was lost and the result could not be determined
  boost::asio::awaitable<core::Result<ConfigurationHead>> commit(config::PublishCommit commit,
                                                                 ConfigurationHead head);
  /// \return all publications of the document, oldest first
  boost::asio::awaitable<core::Result<std::vector<config::DocumentRecord>>> history(
      config::DocumentKey key);
  /// \return the document as published at \p revision, or kNotFound
  boost::asio::awaitable<core::Result<config::DocumentRecord>> published_at(
      config::DocumentKey key, core::Revision revision);

 private:
  ports::TableService& table_;
  std::string write_prefix_;
  std::uint64_t writes_ = 0;
};

}  // namespace stoneport::controllers
