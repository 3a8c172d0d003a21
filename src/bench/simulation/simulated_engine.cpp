#include "bench/simulation/simulated_engine.hpp"

#include <algorithm>
#include <cmath>

namespace stoneport::bench {

SimulatedEngine::SimulatedEngine(EventQueue& events, EngineSettings settings, EndHandler on_end)
    : events_(events),
      settings_(settings),
      on_end_(std::move(on_end)),
      cache_(settings.cache_capacity_tokens) {}

bool SimulatedEngine::submit(SimulatedStream stream) {
  if (!up_ || waiting_.size() >= settings_.max_waiting) {
    return false;
  }
  const auto lower =
      std::find_if(waiting_.begin(), waiting_.end(),
                   [&](const SimulatedStream& other) { return other.priority < stream.priority; });
  waiting_.insert(lower, std::move(stream));
  if (may_run()) {
    advance_to_boundary();
    admit_waiting();
    schedule();
  }
  return true;
}

bool SimulatedEngine::import_stream(SimulatedStream stream) {
  const bool has_room = may_run() && admitting_ && running_.size() < settings_.max_running;
  if (!has_room) {
    return submit(std::move(stream));
  }
  advance_to_boundary();
  admit(std::move(stream), false);
  schedule();
  return true;
}

std::optional<SimulatedStream> SimulatedEngine::remove(StreamKey key) {
  const auto queued =
      std::find_if(waiting_.begin(), waiting_.end(),
                   [&](const SimulatedStream& stream) { return stream.key == key; });
  if (queued != waiting_.end()) {
    SimulatedStream stream = std::move(*queued);
    waiting_.erase(queued);
    return stream;
  }
  const auto found = std::find_if(running_.begin(), running_.end(),
                                  [&](const Running& entry) { return entry.stream.key == key; });
  if (found == running_.end()) {
    return std::nullopt;
  }
  if (may_run()) {
    advance_to_boundary();
  }
  SimulatedStream stream = take_out(static_cast<std::size_t>(found - running_.begin()));
  if (may_run()) {
    admit_waiting();
    schedule();
  }
  return stream;
}

bool SimulatedEngine::set_priority(StreamKey key, std::int32_t priority) {
  const auto queued =
      std::find_if(waiting_.begin(), waiting_.end(),
                   [&](const SimulatedStream& stream) { return stream.key == key; });
  if (queued == waiting_.end()) {
    const auto found = std::find_if(running_.begin(), running_.end(),
                                    [&](const Running& entry) { return entry.stream.key == key; });
    if (found == running_.end()) {
      return false;
    }
    found->stream.priority = priority;
    return true;
  }
  SimulatedStream stream = std::move(*queued);
  waiting_.erase(queued);
  stream.priority = priority;
  const auto lower =
      std::find_if(waiting_.begin(), waiting_.end(),
                   [&](const SimulatedStream& other) { return other.priority < priority; });
  waiting_.insert(lower, std::move(stream));
  if (may_run()) {
    advance_to_boundary();
    admit_waiting();
    schedule();
  }
  return true;
}

void SimulatedEngine::switch_weights(core::WeightVersion version, SwitchMode mode,
                                     std::function<void()> done) {
  if (!up_) {
    return;
  }
  pending_switch_ = PendingSwitch{version, std::move(done)};
  if (mode == SwitchMode::kFinish && !running_.empty()) {
    admitting_ = false;
    return;
  }
  begin_switch();
  if (mode == SwitchMode::kCancel) {
    cancel_running();
  }
}

void SimulatedEngine::cancel_running() {
  std::vector<SimulatedStream> cancelled;
  while (!running_.empty()) {
    cancelled.push_back(take_out(running_.size() - 1));
  }
  for (SimulatedStream& stream : cancelled) {
    on_end_(std::move(stream), false);
  }
}

void SimulatedEngine::begin_switch() {
  if (may_run()) {
    advance_to_boundary();
  }
  for (Running& entry : running_) {
    close_span(entry);
  }
  switching_ = true;
  ++timer_generation_;
  events_.after(settings_.switch_time, [this, life = life_] { end_switch(life); });
}

void SimulatedEngine::end_switch(std::uint64_t life) {
  if (life != life_ || !pending_switch_) {
    return;
  }
  version_ = pending_switch_->version;
  std::function<void()> done = std::move(pending_switch_->done);
  pending_switch_.reset();
  switching_ = false;
  admitting_ = true;
  // Cached prefixes belong to the weights that made them.
  cache_.clear();
  anchor_ = std::max(anchor_, events_.now());
  if (may_run()) {
    admit_waiting();
    schedule();
  }
  if (done) {
    done();
  }
}

void SimulatedEngine::pause() {
  if (may_run()) {
    advance_to_boundary();
  }
  ++pauses_;
  ++timer_generation_;
}

void SimulatedEngine::resume() {
  if (pauses_ == 0) {
    return;
  }
  --pauses_;
  if (may_run()) {
    anchor_ = std::max(anchor_, events_.now());
    admit_waiting();
    schedule();
  }
}

void SimulatedEngine::crash() {
  if (!up_) {
    return;
  }
  if (may_run()) {
    advance_to_boundary();
  }
  up_ = false;
  ++life_;
  ++timer_generation_;
  switching_ = false;
  admitting_ = true;
  pauses_ = 0;
  pending_switch_.reset();
  cache_.clear();
  std::vector<SimulatedStream> lost;
  while (!running_.empty()) {
    lost.push_back(take_out(running_.size() - 1));
  }
  lost.insert(lost.end(), waiting_.begin(), waiting_.end());
  waiting_.clear();
  for (SimulatedStream& stream : lost) {
    on_end_(std::move(stream), false);
  }
}

void SimulatedEngine::restart(core::WeightVersion version) {
  up_ = true;
  version_ = version;
  anchor_ = events_.now();
}

std::uint32_t SimulatedEngine::tokens_of(const Running& entry) const {
  const std::uint64_t reached =
      may_run() ? iteration_ + iterations_until(events_.now()) : iteration_;
  const std::uint64_t made = std::max(reached, entry.start_iteration) - entry.start_iteration;
  return entry.tokens_at_start + static_cast<std::uint32_t>(made);
}

std::optional<std::uint32_t> SimulatedEngine::generated(StreamKey key) const {
  for (const Running& entry : running_) {
    if (entry.stream.key == key) {
      return tokens_of(entry);
    }
  }
  for (const SimulatedStream& stream : waiting_) {
    if (stream.key == key) {
      return stream.generated;
    }
  }
  return std::nullopt;
}

std::optional<core::WeightVersion> SimulatedEngine::oldest_version(StreamKey key) const {
  for (const Running& entry : running_) {
    if (entry.stream.key != key) {
      continue;
    }
    if (!entry.stream.spans.empty()) {
      return entry.stream.spans.front().version;
    }
    return tokens_of(entry) > 0 ? std::optional(version_) : std::nullopt;
  }
  for (const SimulatedStream& stream : waiting_) {
    if (stream.key == key && !stream.spans.empty()) {
      return stream.spans.front().version;
    }
  }
  return std::nullopt;
}

double SimulatedEngine::tokens_per_second() const {
  if (running_.empty()) {
    return 0;
  }
  return static_cast<double>(running_.size()) / iteration_seconds(context_tokens_);
}

double SimulatedEngine::iteration_seconds(double context) const {
  return settings_.base_seconds +
         settings_.per_stream_seconds * static_cast<double>(running_.size()) +
         settings_.per_context_token_seconds * context;
}

/// Sum over the iterations; the context grows by one token a stream in each.
double SimulatedEngine::seconds_for(std::uint64_t iterations) const {
  const auto count = static_cast<double>(iterations);
  const double growth = settings_.per_context_token_seconds * static_cast<double>(running_.size());
  return count * iteration_seconds(context_tokens_) + growth * count * (count - 1) / 2;
}

/// Inverse of seconds_for(), rounded down.
std::uint64_t SimulatedEngine::whole_iterations_in(double seconds) const {
  if (seconds <= 0 || running_.empty()) {
    return 0;
  }
  const double growth = settings_.per_context_token_seconds * static_cast<double>(running_.size());
  const double linear = iteration_seconds(context_tokens_) - growth / 2;
  const double half = growth / 2;
  const double count = half > 0
                           ? (std::sqrt(linear * linear + 4 * half * seconds) - linear) / (2 * half)
                           : seconds / linear;
  return static_cast<std::uint64_t>(count + 1e-6);
}

std::uint64_t SimulatedEngine::iterations_until(core::MonotonicTime time) const {
  return time <= anchor_ ? 0 : whole_iterations_in(core::to_seconds(time - anchor_));
}

std::uint64_t SimulatedEngine::iterations_until_first_end() const {
  std::uint64_t earliest = running_.front().finish_iteration;
  for (const Running& entry : running_) {
    earliest = std::min(earliest, entry.finish_iteration);
  }
  return earliest > iteration_ ? earliest - iteration_ : 0;
}

void SimulatedEngine::move_to(std::uint64_t iterations) {
  const double seconds = seconds_for(iterations);
  iteration_ += iterations;
  anchor_ += core::from_seconds(seconds);
  context_tokens_ += static_cast<double>(iterations * running_.size());
  counts_.tokens_generated += iterations * running_.size();
  counts_.busy_seconds += seconds;
}

/// Accounts for the batch up to the end of the iteration that is under way.
void SimulatedEngine::advance_to_boundary() {
  const core::MonotonicTime now = events_.now();
  if (running_.empty()) {
    anchor_ = std::max(anchor_, now);
    return;
  }
  if (now <= anchor_) {
    return;
  }
  const std::uint64_t until_first_end = iterations_until_first_end();
  std::uint64_t iterations = std::min(iterations_until(now), until_first_end);
  const bool is_within_iteration = anchor_ + core::from_seconds(seconds_for(iterations)) < now;
  if (is_within_iteration && iterations < until_first_end) {
    ++iterations;
  }
  move_to(iterations);
}

void SimulatedEngine::admit_waiting() {
  while (admitting_ && !waiting_.empty()) {
    if (running_.size() >= settings_.max_running && !preempt_below(waiting_.front().priority)) {
      return;
    }
    const double needed = waiting_.front().prompt_tokens + waiting_.front().generated;
    const bool fits = context_tokens_ + needed <= static_cast<double>(settings_.kv_capacity_tokens);
    if (!fits && !running_.empty()) {
      return;
    }
    SimulatedStream stream = std::move(waiting_.front());
    waiting_.erase(waiting_.begin());
    admit(std::move(stream), true);
  }
}

/// Puts the running stream of lowest priority, and of these the one that has come
/// least far, back in the queue. Its cache is lost.
bool SimulatedEngine::preempt_below(std::int32_t priority) {
  std::optional<std::size_t> lowest;
  for (std::size_t index = 0; index < running_.size(); ++index) {
    const SimulatedStream& stream = running_[index].stream;
    if (stream.priority >= priority) {
      continue;
    }
    const bool is_lower = !lowest || stream.priority < running_[*lowest].stream.priority ||
                          (stream.priority == running_[*lowest].stream.priority &&
                           tokens_of(running_[index]) < tokens_of(running_[*lowest]));
    if (is_lower) {
      lowest = index;
    }
  }
  if (!lowest) {
    return false;
  }
  SimulatedStream stream = take_out(*lowest);
  const auto same_or_lower =
      std::find_if(waiting_.begin(), waiting_.end(),
                   [&](const SimulatedStream& other) { return other.priority <= stream.priority; });
  waiting_.insert(same_or_lower, std::move(stream));
  return true;
}

bool SimulatedEngine::admit(SimulatedStream stream, bool needs_prefill) {
  if (needs_prefill) {
    const std::uint32_t tokens = stream.prompt_tokens + stream.generated;
    const std::uint32_t cached =
        std::min(stream.prompt_tokens, cache_.cached_tokens(*stream.prefix));
    counts_.prompt_tokens += stream.prompt_tokens;
    counts_.prompt_tokens_cached += cached;
    const double seconds = (tokens - cached) / settings_.prefill_tokens_per_second;
    anchor_ += core::from_seconds(seconds);
    counts_.busy_seconds += seconds;
  }
  cache_.store(*stream.prefix);
  context_tokens_ += stream.prompt_tokens + stream.generated;
  Running entry;
  entry.start_iteration = iteration_;
  entry.finish_iteration = iteration_ + std::max(1u, stream.length - stream.generated);
  entry.tokens_at_start = stream.generated;
  entry.stream = std::move(stream);
  running_.push_back(std::move(entry));
  return true;
}

void SimulatedEngine::schedule() {
  ++timer_generation_;
  if (running_.empty() || !may_run()) {
    return;
  }
  const double seconds = seconds_for(iterations_until_first_end());
  const core::MonotonicTime when = anchor_ + core::from_seconds(seconds);
  events_.at(when, [this, generation = timer_generation_] { on_timer(generation); });
}

void SimulatedEngine::on_timer(std::uint64_t generation) {
  if (generation != timer_generation_) {
    return;
  }
  move_to(iterations_until_first_end());
  finish_due();
}

void SimulatedEngine::finish_due() {
  std::vector<SimulatedStream> finished;
  for (std::size_t index = 0; index < running_.size();) {
    if (running_[index].finish_iteration <= iteration_) {
      finished.push_back(take_out(index));
    } else {
      ++index;
    }
  }
  if (pending_switch_ && !switching_ && running_.empty()) {
    begin_switch();
  } else {
    admit_waiting();
    schedule();
  }
  for (SimulatedStream& stream : finished) {
    on_end_(std::move(stream), true);
  }
}

/// Books the tokens made since the stream joined, or since the last switch.
void SimulatedEngine::close_span(Running& entry) {
  const std::uint64_t made = std::max(iteration_, entry.start_iteration) - entry.start_iteration;
  if (made == 0) {
    return;
  }
  std::vector<rollout::VersionSpan>& spans = entry.stream.spans;
  if (!spans.empty() && spans.back().version == version_) {
    spans.back().token_count += made;
  } else {
    spans.push_back({version_, made});
  }
  entry.tokens_at_start += static_cast<std::uint32_t>(made);
  entry.stream.generated = entry.tokens_at_start;
  entry.start_iteration = iteration_;
}

SimulatedStream SimulatedEngine::take_out(std::size_t index) {
  Running& entry = running_[index];
  close_span(entry);
  SimulatedStream stream = std::move(entry.stream);
  context_tokens_ -= stream.prompt_tokens + stream.generated;
  running_[index] = std::move(running_.back());
  running_.pop_back();
  return stream;
}

}  // namespace stoneport::bench
