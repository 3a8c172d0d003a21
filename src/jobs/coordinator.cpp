#include "jobs/coordinator.hpp"

#include "jobs/tenure.hpp"

namespace stoneport::jobs {
namespace asio = boost::asio;

Coordinator::Coordinator(CoordinatorInputs inputs, CoordinatorSettings settings, std::uint64_t seed)
    : inputs_(std::move(inputs)),
      settings_(std::move(settings)),
      keeper_(inputs_.executor, inputs_.store, settings_.term,
              {inputs_.eligible, inputs_.sign_of, [this](Term term) { begin(term); },
               [this] { finish(); }},
              seed, inputs_.time, inputs_.metrics) {}

Coordinator::~Coordinator() = default;

void Coordinator::start() {
  keeper_.start();
}

void Coordinator::begin(Term term) {
  tenure_ = std::make_shared<Tenure>(inputs_, settings_, keeper_, term);
  tenure_->start();
}

void Coordinator::finish() {
  if (tenure_) {
    tenure_->stop();
    tenure_.reset();
  }
}

void Coordinator::on_inputs_changed() {
  if (tenure_) {
    tenure_->dispatch_soon();
  }
}

asio::awaitable<void> Coordinator::stop() {
  const std::shared_ptr<Tenure> tenure = tenure_;
  if (tenure) {
    co_await tenure->hand_over();
  }
  co_await keeper_.release();
  finish();
}

}  // namespace stoneport::jobs
