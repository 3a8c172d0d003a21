// TermSession: creates its parts and connects their listeners. Each listener holds the session
// weakly, so a part that still runs after the term has ended calls nothing.
#include "jobs/term_session.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::jobs {

void TermSession::make_writer() {
  const std::weak_ptr<TermSession> weak = weak_from_this();
  TermWriter::Listener listener;
  listener.open_jobs = [weak] {
    const auto self = weak.lock();
    return self ? self->open_jobs() : std::vector<OpenJobPointer>();
  };
  listener.on_listed = [weak](const PendingResult& listed, std::uint64_t position) {
    if (const auto self = weak.lock()) {
      self->on_listed(listed, position);
    }
  };
  listener.on_confirmed = [weak](core::MonotonicTime sent_at) {
    if (const auto self = weak.lock()) {
      self->keeper_.on_confirmed(sent_at);
    }
  };
  listener.on_deposed = [weak](std::string_view reason) {
    if (const auto self = weak.lock()) {
      self->keeper_.on_deposed(reason);
    }
  };
  writer_ =
      std::make_shared<TermWriter>(inputs_.executor, inputs_.store, term_, std::move(listener),
                                   inputs_.time, inputs_.metrics, settings_.writer);
}

void TermSession::make_dispatcher() {
  const std::weak_ptr<TermSession> weak = weak_from_this();
  ItemDispatcher::Listener listener;
  listener.on_complete = [weak](const OpenJobPointer& job, std::size_t item) {
    const auto self = weak.lock();
    if (self && !self->ended_) {
      runtime::start(self->inputs_.executor, "scoring", score(self, job, item));
    }
  };
  listener.on_failed = [weak](const OpenJobPointer& job, std::size_t item) {
    if (const auto self = weak.lock()) {
      self->list(job, item, ResultState::kTerminated, "");
    }
  };
  listener.on_change = [weak] {
    if (const auto self = weak.lock()) {
      self->dispatch_soon();
    }
  };
  ItemDispatcherInputs inputs{
      inputs_.executor, inputs_.directory, inputs_.replicas, inputs_.store,
      inputs_.time,     inputs_.metrics,   nullptr,          inputs_.forwarder.guard()};
  inputs.is_loading = [weak](const core::ReplicaId& replica, const core::ModelName& model) {
    const auto self = weak.lock();
    return self && self->loader_->is_loading(replica, model);
  };
  dispatcher_ = std::make_shared<ItemDispatcher>(std::move(inputs), std::move(listener),
                                                 settings_.dispatcher);
}

void TermSession::make_loader() {
  const std::weak_ptr<TermSession> weak = weak_from_this();
  weights::WeightLoader::Inputs loading;
  loading.wanted = [weak] {
    const auto self = weak.lock();
    return self ? self->wanted_weights_.wanted(self->open_jobs()) : weights::WantedVersions();
  };
  loading.can_send_orders = [weak] {
    const auto self = weak.lock();
    return self && self->may_order();
  };
  loading.running = [weak](const core::ReplicaId& id) {
    const auto self = weak.lock();
    return self ? self->dispatcher_->running_on(id) : 0;
  };
  loading.on_loaded = [weak] {
    if (const auto self = weak.lock()) {
      self->dispatch_soon();
    }
  };
  loading.announce = [weak](core::ReplicaId replica) {
    return announce_order(weak.lock(), std::move(replica));
  };
  weights::WeightLoaderSettings settings;
  settings.plan = settings_.weights;
  settings.holder = settings_.term.holder;
  settings.fence = term_.epoch;
  loader_ = std::make_shared<weights::WeightLoader>(
      inputs_.executor, inputs_.directory, inputs_.replicas, std::move(loading),
      std::move(settings), inputs_.time, inputs_.metrics);
}

void TermSession::make_duties() {
  if (!inputs_.term_duties) {
    return;
  }
  const std::weak_ptr<TermSession> weak = weak_from_this();
  TermContext context;
  context.term = term_;
  context.is_sure = [weak] {
    const auto self = weak.lock();
    return self && self->can_act_on_term();
  };
  context.open_jobs = [weak] {
    const auto self = weak.lock();
    return self ? self->open_jobs() : std::vector<OpenJobPointer>();
  };
  duties_ = inputs_.term_duties(context);
}

void TermSession::make_parts() {
  make_writer();
  make_dispatcher();
  announcer_ = std::make_shared<OrderAnnouncer>(inputs_.executor, inputs_.store, term_,
                                                inputs_.time, inputs_.metrics);
  make_loader();
  make_duties();
  scorer_ = std::make_unique<Scorer>(inputs_.forwarder, inputs_.routes, inputs_.directory,
                                     inputs_.time, inputs_.metrics, settings_.scorer);
  sweeper_ = std::make_unique<RecordSweeper>(inputs_.store, inputs_.jobs, term_, inputs_.metrics);
  const std::weak_ptr<TermSession> weak = weak_from_this();
  index_ = std::make_unique<records::TableMirror>(
      inputs_.executor, inputs_.store, std::string(kIndexTable), std::string(kSubmissionPartition),
      [weak](const records::TableMirror::Records& records) {
        if (const auto self = weak.lock()) {
          self->on_index(records);
        }
      });
}

}  // namespace stoneport::jobs
