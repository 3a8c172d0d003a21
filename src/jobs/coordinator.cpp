#include "jobs/coordinator.hpp"

#include "jobs/term_session.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::jobs {
namespace asio = boost::asio;

Coordinator::Coordinator(CoordinatorInputs inputs, CoordinatorSettings settings, std::uint64_t seed)
    : inputs_(std::move(inputs)),
      settings_(std::move(settings)),
      keeper_(inputs_.executor, inputs_.store, settings_.term,
              {[this] { return may_bid(); }, inputs_.holder_status,
               [this](Term term) { begin(term); }, [this] { finish(); }},
              seed, inputs_.time, inputs_.metrics) {}

Coordinator::~Coordinator() = default;

void Coordinator::start() {
  keeper_.start();
}

void Coordinator::begin(Term term) {
  began_at_ = inputs_.time.now();
  session_ = std::make_shared<TermSession>(inputs_, settings_, keeper_, term);
  session_->start();
}

void Coordinator::finish() {
  if (session_) {
    session_->stop();
    session_.reset();
  }
}

void Coordinator::on_inputs_changed() {
  if (session_) {
    session_->dispatch_soon();
    leave_if_preferred_elsewhere();
  }
}

bool Coordinator::is_preferred_elsewhere() const {
  return inputs_.is_preferred_elsewhere && inputs_.is_preferred_elsewhere();
}

bool Coordinator::may_bid() const {
  const core::Duration silence = inputs_.time.now() - keeper_.changed_at();
  const bool leaves_it = is_preferred_elsewhere() && silence < settings_.foreign_term_silence;
  return !leaves_it && inputs_.eligible();
}

void Coordinator::leave_if_preferred_elsewhere() {
  const bool has_stayed = inputs_.time.now() - began_at_ >= settings_.min_term_duration;
  if (!leaving_ && has_stayed && inputs_.eligible() && is_preferred_elsewhere()) {
    leaving_ = true;
    runtime::start(inputs_.executor, "coordinator leaves its term", leave());
  }
}

asio::awaitable<void> Coordinator::leave() {
  const std::shared_ptr<TermSession> session = session_;
  if (session) {
    co_await session->hand_over();
  }
  co_await keeper_.step_down();
  leaving_ = false;
}

asio::awaitable<void> Coordinator::stop() {
  const std::shared_ptr<TermSession> session = session_;
  if (session) {
    co_await session->hand_over();
  }
  co_await keeper_.release();
  finish();
}

}  // namespace stoneport::jobs
