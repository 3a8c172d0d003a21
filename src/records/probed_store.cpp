#include "records/probed_store.hpp"

#include "runtime/tasks.hpp"

namespace stoneport::records {
namespace asio = boost::asio;
namespace {

core::Error lost() {
  return core::make_error(core::ErrorCode::kUnavailable, "the store does not serve this process");
}

}  // namespace

ProbedStore::ProbedStore(asio::any_io_executor executor, ports::RecordStore& store,
                         ports::RecordRange probe, const core::TimeSource& time,
                         core::Metrics& metrics, ProbedStoreSettings settings)
    : executor_(std::move(executor)),
      store_(store),
      probe_(std::move(probe)),
      time_(time),
      settings_(settings),
      probes_(metrics.counter("stoneport_store_probes_total",
                              "Probe reads that check whether a lost store is back")),
      held_back_(metrics.counter("stoneport_store_calls_held_back_total",
                                 "Calls not sent because the store was lost")) {}

void ProbedStore::start() {
  runtime::start(executor_, "store probe",
                 probe_loop(settings_.probe_interval, settings_.probe_timeout));
  runtime::start(executor_, "patient store probe",
                 probe_loop(settings_.patient_interval, settings_.patient_timeout));
}

bool ProbedStore::is_lost() const {
  return time_.now() - store_.last_served() > settings_.lost_after;
}

asio::awaitable<void> ProbedStore::probe_loop(core::Duration interval, core::Duration timeout) {
  while (true) {
    if (is_lost()) {
      probes_.Increment();
      ports::RecordRange range = probe_;
      co_await store_.read(std::move(range), timeout);
    }
    co_await runtime::sleep_for(interval);
  }
}

asio::awaitable<bool> ProbedStore::serves_within(core::Duration limit) {
  const core::MonotonicTime give_up_at = time_.now() + limit;
  while (is_lost()) {
    if (time_.now() + settings_.wait_step > give_up_at) {
      held_back_.Increment();
      co_return false;
    }
    co_await runtime::sleep_for(settings_.wait_step);
  }
  co_return true;
}

asio::awaitable<core::Result<core::Revision>> ProbedStore::commit(
    ports::RecordTransaction transaction, core::Duration timeout) {
  const bool serves = co_await serves_within(timeout);
  if (!serves) {
    co_return lost();
  }
  co_return co_await store_.commit(std::move(transaction), timeout);
}

asio::awaitable<core::Result<ports::RecordPage>> ProbedStore::read(ports::RecordRange range,
                                                                   core::Duration timeout) {
  const bool serves = co_await serves_within(timeout);
  if (!serves) {
    co_return lost();
  }
  co_return co_await store_.read(std::move(range), timeout);
}

asio::awaitable<core::Result<ports::RecordPage>> ProbedStore::changes(std::string table,
                                                                      core::Revision after,
                                                                      core::Duration wait) {
  const bool serves = co_await serves_within(wait);
  if (!serves) {
    co_return lost();
  }
  co_return co_await store_.changes(std::move(table), after, wait);
}

}  // namespace stoneport::records
