/// \file
/// Grants epochs to the steps of this daemon from one counter in the table
/// service. Called on the steps thread; works on the control thread.
#pragma once

#include <boost/asio/any_io_executor.hpp>

#include "ports/table_service.hpp"
#include "ports/write_id_source.hpp"
#include "steps/dependencies.hpp"

namespace stoneport::daemon {

class StoreEpochSource : public steps::EpochSource {
 public:
  /// \p table lives on the thread of \p control and outlives the source.
  StoreEpochSource(boost::asio::any_io_executor control, ports::TableService& table,
                   const core::NodeId& node, core::Incarnation incarnation);

  /// \return kConflict when other daemons kept taking the next epoch first, or
  /// the table service's error.
  boost::asio::awaitable<core::Result<core::Epoch>> acquire() override;

 private:
  boost::asio::awaitable<core::Result<core::Epoch>> acquire_here();
  boost::asio::awaitable<core::Result<core::Epoch>> take_next();

  boost::asio::any_io_executor control_;
  ports::TableService& table_;
  ports::WriteIdSource write_ids_;
};

}  // namespace stoneport::daemon
