/// \file
/// Claims idempotency keys through rows of the table service. May be called from any
/// thread; all state and all store calls are on the control thread. See
/// docs/design/claims.md.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <memory>

#include "controllers/claim_memory.hpp"
#include "controllers/claim_process.hpp"
#include "core/metrics.hpp"
#include "filters/claim_registry.hpp"
#include "ports/object_store.hpp"
#include "ports/table_service.hpp"
#include "ports/write_id_source.hpp"

namespace stoneport::controllers {

class TableClaimRegistry : public filters::ClaimRegistry {
 public:
  /// \param control runs on the thread of \p table, \p objects and \p time, which must
  /// outlive the registry
  /// \param incarnation must differ from that of every earlier process of \p node
  TableClaimRegistry(boost::asio::any_io_executor control, ports::TableService& table,
                     ports::ObjectStore& objects, const core::TimeSource& time,
                     const core::NodeId& node, core::Incarnation incarnation,
                     core::Metrics& metrics);
  ~TableClaimRegistry() override;

  boost::asio::awaitable<core::Result<filters::ClaimAnswer>> claim(filters::ClaimKey key) override;
  boost::asio::awaitable<core::Result<void>> record(filters::ClaimKey key, core::WriteId claim,
                                                    filters::RecordedOutcome outcome) override;
  boost::asio::awaitable<core::Result<void>> release(filters::ClaimKey key,
                                                     core::WriteId claim) override;

  /// Releases abandoned claims every few seconds until stop(). Start once, on the control
  /// thread.
  boost::asio::awaitable<void> run();
  void stop() { stopping_ = true; }
  /// Processes the abandoned claims that are due; control thread only.
  boost::asio::awaitable<void> release_abandoned();

 private:
  struct Counters;
  using ClaimResult = core::Result<filters::ClaimAnswer>;

  boost::asio::awaitable<ClaimResult> claim_on_control(filters::ClaimKey key);
  boost::asio::awaitable<core::Result<void>> record_on_control(filters::ClaimKey key,
                                                               core::WriteId claim,
                                                               filters::RecordedOutcome outcome);
  boost::asio::awaitable<core::Result<void>> release_on_control(filters::ClaimKey key,
                                                                core::WriteId claim);

  boost::asio::awaitable<core::Result<core::Revision>> write(const std::string& row_key,
                                                             const ClaimRecord& record,
                                                             core::WriteId write_id,
                                                             core::Revision condition);
  boost::asio::awaitable<core::Result<std::optional<StoredClaim>>> read(
      const std::string& row_key, ports::TablePriority priority);
  boost::asio::awaitable<void> run_process(ClaimProcess& process, const std::string& row_key,
                                           const ClaimRecord& ours);
  boost::asio::awaitable<filters::ClaimTaken> describe(ClaimRecord record,
                                                       std::uint64_t fingerprint);
  boost::asio::awaitable<core::Result<void>> erase(std::string row_key, core::WriteId claim,
                                                   core::Revision revision,
                                                   ports::TablePriority priority);
  boost::asio::awaitable<void> release_one(AbandonedClaim abandoned);
  void abandon(const std::string& row_key, const core::WriteId& claim);

  boost::asio::any_io_executor control_;
  ports::TableService& table_;
  ports::ObjectStore& objects_;
  const core::TimeSource& time_;
  ports::WriteIdSource claim_ids_;
  ports::WriteIdSource write_ids_;
  GrantedClaims granted_;
  AbandonedClaims abandoned_;
  std::unique_ptr<Counters> counters_;
  bool stopping_ = false;
};

}  // namespace stoneport::controllers
