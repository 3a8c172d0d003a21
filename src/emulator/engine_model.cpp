#include "emulator/engine_model.hpp"

#include <algorithm>

namespace stoneport::emulator {
namespace {

using core::ErrorCode;
using core::make_error;

/// Room that an admitted stream must find beside its prompt, in tokens.
constexpr std::uint64_t kAdmissionMargin = 64;
/// Refused callers are told to come back after this, in real time.
constexpr core::Duration kRetryAfter = std::chrono::milliseconds(200);

std::string owner_prefix(const core::StreamId& stream) {
  const std::size_t slash = stream.value().rfind('/');
  return slash == std::string::npos ? std::string() : stream.value().substr(0, slash);
}

core::Duration per_thousand(core::Duration length, std::uint64_t tokens) {
  return core::from_seconds(core::to_seconds(length) * static_cast<double>(tokens) / 1000);
}

void add_tokens(std::vector<VersionSpan>& spans, core::WeightVersion version,
                std::uint32_t token_count) {
  if (!spans.empty() && spans.back().version == version) {
    spans.back().token_count += token_count;
    return;
  }
  spans.push_back({version, token_count});
}

}  // namespace

EngineModel::EngineModel(EngineSettings settings, WeightSource& source, std::uint64_t random_seed)
    : settings_(std::move(settings)),
      weights_(settings_, source),
      cache_(settings_.prefix_cache_blocks, random_seed) {
  cache_.faults().delay = settings_.cache_event_delay;
}

core::Result<void> EngineModel::check_new(const StreamRequest& request) {
  if (leaving_) {
    return make_error(ErrorCode::kUnavailable, "the engine is leaving", kRetryAfter);
  }
  const std::string prefix = owner_prefix(request.stream);
  if (!prefix.empty()) {
    core::Epoch& highest = owner_epochs_[prefix];
    if (request.epoch < highest) {
      return make_error(ErrorCode::kFenced, "a higher epoch owns these streams");
    }
    highest = request.epoch;
  }
  if (waiting_.size() >= settings_.max_waiting) {
    ++totals_.streams_refused;
    return make_error(ErrorCode::kRateLimited, "the queue is full", kRetryAfter);
  }
  return {};
}

core::Result<void> EngineModel::start(StreamRequest request, core::MonotonicTime now) {
  advance(now);
  const auto allowed = check_new(request);
  if (!allowed) {
    return allowed;
  }
  if (streams_.contains(request.stream)) {
    return make_error(ErrorCode::kConflict, "the stream id is taken");
  }
  EngineStream& stream = insert(std::move(request));
  waiting_.insert(place_of(stream));
  settle(now);
  return {};
}

EngineStream& EngineModel::insert(StreamRequest request) {
  auto stream = std::make_unique<EngineStream>();
  stream->key = text_key(request.prompt, request.seed);
  stream->prompt_tokens = count_tokens(request.prompt);
  const std::uint32_t length = response_length(stream->key, settings_.lengths);
  stream->reaches_limit = length > request.max_tokens;
  stream->target_tokens = std::max(1U, std::min(length, request.max_tokens));
  stream->hashes = prefix_hashes(request.prompt);
  stream->arrival = next_arrival_++;
  stream->request = std::move(request);
  EngineStream& inserted = *stream;
  streams_[inserted.request.stream] = std::move(stream);
  ++totals_.streams_started;
  return inserted;
}

EngineModel::QueuePlace EngineModel::place_of(EngineStream& stream) {
  return {stream.request.priority, stream.arrival, &stream};
}

EngineStream* EngineModel::find_unfinished(const core::StreamId& stream) {
  const auto found = streams_.find(stream);
  const bool absent = found == streams_.end() || found->second->state == StreamState::kFinished;
  return absent ? nullptr : found->second.get();
}

void EngineModel::cancel(const core::StreamId& stream, core::MonotonicTime now) {
  advance(now);
  EngineStream* found = find_unfinished(stream);
  if (found == nullptr) {
    return;
  }
  ++totals_.streams_cancelled;
  end_stream(*found, StreamFinish::kCancelled, now);
  settle(now);
}

core::Result<void> EngineModel::set_priority(const core::StreamId& stream, std::int32_t priority,
                                             core::MonotonicTime now) {
  advance(now);
  EngineStream* found = find_unfinished(stream);
  if (found == nullptr) {
    return make_error(ErrorCode::kNotFound, "no such unfinished stream");
  }
  auto& queue = found->state == StreamState::kWaiting ? waiting_ : running_;
  queue.erase(place_of(*found));
  found->request.priority = priority;
  queue.insert(place_of(*found));
  return {};
}

core::Result<ExportedStream> EngineModel::export_stream(const core::StreamId& stream,
                                                        core::MonotonicTime now) {
  advance(now);
  EngineStream* found = find_unfinished(stream);
  if (found == nullptr) {
    return make_error(ErrorCode::kNotFound, "no such unfinished stream");
  }
  ExportedStream exported{found->request, found->generated, found->spans, 0};
  exported.size_bytes = found->context_tokens() * settings_.kv_bytes_per_token;
  end_stream(*found, StreamFinish::kCancelled, now);
  settle(now);
  return exported;
}

core::Result<void> EngineModel::import_stream(ExportedStream exported, core::MonotonicTime now) {
  advance(now);
  const auto allowed = check_new(exported.request);
  if (!allowed) {
    return allowed;
  }
  if (find_unfinished(exported.request.stream) != nullptr) {
    return make_error(ErrorCode::kConflict, "the stream id is taken");
  }
  EngineStream& stream = insert(std::move(exported.request));
  stream.generated = exported.generated;
  stream.spans = std::move(exported.spans);
  stream.cache_in_place = true;
  waiting_.insert(place_of(stream));
  settle(now);
  return {};
}

core::Result<void> EngineModel::check_order(core::Epoch epoch) {
  if (epoch < order_epoch_) {
    return make_error(ErrorCode::kFenced, "an order of a higher epoch was seen");
  }
  order_epoch_ = epoch;
  return {};
}

core::Result<void> EngineModel::prefetch(const core::PolicyName& policy,
                                         core::WeightVersion version, core::Epoch epoch,
                                         core::MonotonicTime now) {
  advance(now);
  const auto allowed = check_order(epoch);
  if (allowed) {
    weights_.prefetch(policy, version, now);
    settle(now);
  }
  return allowed;
}

core::Result<void> EngineModel::load(VersionLoad load, core::Epoch epoch, core::MonotonicTime now) {
  advance(now);
  const auto allowed = check_order(epoch);
  if (allowed) {
    weights_.load(std::move(load), now);
    settle(now);
  }
  return allowed;
}

core::Result<void> EngineModel::load_adapter(const core::AdapterName& adapter,
                                             core::WeightVersion version, core::Epoch epoch,
                                             core::MonotonicTime now) {
  advance(now);
  const auto allowed = check_order(epoch);
  if (allowed) {
    adapters_[adapter] = version;
    paused_until_ = now + settings_.adapter_load_duration;
    settle(now);
  }
  return allowed;
}

core::Result<void> EngineModel::change_role(EngineRole role, core::Epoch epoch,
                                            core::MonotonicTime now) {
  advance(now);
  const auto allowed = check_order(epoch);
  if (allowed && role != role_) {
    role_ = role;
    paused_until_ = now + settings_.role_change_duration;
    settle(now);
  }
  return allowed;
}

std::optional<core::MonotonicTime> EngineModel::next_change() const {
  if (faults_.frozen) {
    return std::nullopt;
  }
  std::optional<core::MonotonicTime> next = weights_.next_change();
  const auto include = [&next](std::optional<core::MonotonicTime> other) {
    if (other && (!next || *other < *next)) {
      next = other;
    }
  };
  include(step_ends_at_);
  include(paused_until_);
  return next;
}

void EngineModel::advance(core::MonotonicTime now) {
  if (faults_.frozen && step_ends_at_) {
    step_ends_at_ = std::max(*step_ends_at_, now);
  }
  for (auto next = next_change(); next && *next <= now; next = next_change()) {
    const core::MonotonicTime at = *next;
    if (step_ends_at_ && *step_ends_at_ <= at) {
      end_step(at);
    }
    if (paused_until_ && *paused_until_ <= at) {
      paused_until_.reset();
    }
    settle(at);
  }
  forget_old(now);
}

void EngineModel::settle(core::MonotonicTime now) {
  if (faults_.frozen) {
    return;
  }
  advance_weights(now);
  if (!step_ends_at_ && !paused_until_ && !weights_.switching()) {
    begin_step(now);
  }
  note_load(now);
}

void EngineModel::advance_weights(core::MonotonicTime now) {
  using Change = EngineWeights::Change;
  for (Change change = weights_.advance(now, !running_.empty(), faults_); change != Change::kNone;
       change = weights_.advance(now, !running_.empty(), faults_)) {
    if (change == Change::kSwitchEnded) {
      cache_.clear(now);
    } else if (weights_.running_streams() == RunningStreams::kCancel) {
      cancel_running(now);
    }
  }
}

void EngineModel::cancel_running(core::MonotonicTime now) {
  while (!running_.empty()) {
    ++totals_.streams_cancelled;
    end_stream(*running_.begin()->stream, StreamFinish::kCancelled, now);
  }
}

void EngineModel::begin_step(core::MonotonicTime now) {
  relieve_memory();
  const std::uint64_t prefill = admit(now);
  if (running_.empty()) {
    tokens_per_second_ = 0;
    return;
  }
  const core::Duration length = step_length(prefill);
  step_version_ = weights_.version();
  step_ends_at_ = now + length;
  const auto decoded = static_cast<double>(running_.size() * settings_.tokens_per_step);
  tokens_per_second_ = decoded / core::to_seconds(length);
}

void EngineModel::end_step(core::MonotonicTime now) {
  step_ends_at_.reset();
  ++totals_.steps;
  for (auto next = running_.begin(); next != running_.end();) {
    EngineStream& stream = *next->stream;
    ++next;
    decode(stream, now);
  }
}

void EngineModel::decode(EngineStream& stream, core::MonotonicTime now) {
  const std::uint32_t left = stream.target_tokens - stream.generated;
  const std::uint32_t count = std::min(left, settings_.tokens_per_step);
  stream.generated += count;
  context_tokens_ += count;
  totals_.tokens_generated += count;
  add_tokens(stream.spans, step_version_, count);
  if (stream.generated < stream.target_tokens) {
    return;
  }
  ++totals_.streams_finished;
  end_stream(stream, stream.reaches_limit ? StreamFinish::kLength : StreamFinish::kStop, now);
  if (on_finished_) {
    on_finished_(stream);
  }
}

std::uint64_t EngineModel::admit(core::MonotonicTime now) {
  std::uint64_t prefill = 0;
  while (!waiting_.empty() && !weights_.holds_admission()) {
    EngineStream& candidate = *waiting_.begin()->stream;
    if (!make_room(candidate)) {
      break;
    }
    waiting_.erase(place_of(candidate));
    prefill += prefill_tokens(candidate, now);
    candidate.state = StreamState::kRunning;
    context_tokens_ += candidate.context_tokens();
    running_.insert(place_of(candidate));
  }
  return prefill;
}

bool EngineModel::make_room(const EngineStream& candidate) {
  while (!running_.empty()) {
    const std::uint64_t needed = context_tokens_ + candidate.context_tokens() + kAdmissionMargin;
    if (running_.size() < settings_.max_running && needed <= settings_.kv_capacity_tokens) {
      return true;
    }
    EngineStream& last = *running_.rbegin()->stream;
    if (!settings_.preemption || last.request.priority >= candidate.request.priority) {
      return false;
    }
    preempt(last);
  }
  return true;
}

void EngineModel::preempt(EngineStream& stream) {
  running_.erase(place_of(stream));
  context_tokens_ -= stream.context_tokens();
  stream.state = StreamState::kWaiting;
  stream.cache_in_place = false;
  waiting_.insert(place_of(stream));
  ++totals_.preemptions;
}

void EngineModel::relieve_memory() {
  const auto over = [this] {
    const std::uint64_t growth = running_.size() * settings_.tokens_per_step;
    return context_tokens_ + growth > settings_.kv_capacity_tokens;
  };
  while (running_.size() > 1 && over()) {
    preempt(*running_.rbegin()->stream);
  }
}

std::uint64_t EngineModel::prefill_tokens(EngineStream& stream, core::MonotonicTime now) {
  if (stream.cache_in_place) {
    return 0;
  }
  const std::size_t cached = cache_.find(stream.hashes);
  totals_.prompt_blocks += stream.hashes.size();
  totals_.prompt_blocks_cached += cached;
  cache_.store(stream.hashes, now);
  return stream.context_tokens() - cached * (kPrefixBlockBytes / kCharactersPerToken);
}

core::Duration EngineModel::step_length(std::uint64_t prefill_tokens) const {
  const auto sequences = static_cast<core::Duration::rep>(running_.size());
  const core::Duration decode =
      settings_.step_base + settings_.step_per_sequence * sequences +
      per_thousand(settings_.step_per_thousand_context_tokens, context_tokens_);
  const core::Duration prefill =
      per_thousand(settings_.prefill_per_thousand_tokens, prefill_tokens);
  const core::Duration length = decode * settings_.tokens_per_step + prefill;
  return core::from_seconds(core::to_seconds(length) * faults_.slowdown);
}

void EngineModel::end_stream(EngineStream& stream, StreamFinish finish, core::MonotonicTime now) {
  if (stream.state == StreamState::kRunning) {
    running_.erase(place_of(stream));
    context_tokens_ -= stream.context_tokens();
  } else {
    waiting_.erase(place_of(stream));
  }
  stream.state = StreamState::kFinished;
  stream.finish = finish;
  stream.ended_at = now;
  ended_.emplace(now, stream.request.stream);
}

void EngineModel::forget_old(core::MonotonicTime now) {
  while (!ended_.empty() && ended_.begin()->first + settings_.finished_retention < now) {
    const auto oldest = ended_.begin();
    const auto found = streams_.find(oldest->second);
    const bool still_ended = found != streams_.end() &&
                             found->second->state == StreamState::kFinished &&
                             found->second->ended_at == oldest->first;
    if (still_ended) {
      streams_.erase(found);
    }
    ended_.erase(oldest);
  }
}

void EngineModel::note_load(core::MonotonicTime now) {
  load_history_.note(current_load(), now, settings_.report_lag + faults_.report_lag);
}

const EngineStream* EngineModel::find(const core::StreamId& stream) const {
  const auto found = streams_.find(stream);
  return found == streams_.end() ? nullptr : found->second.get();
}

std::vector<const EngineStream*> EngineModel::streams(std::string_view prefix) const {
  std::vector<const EngineStream*> matching;
  for (const auto& [id, stream] : streams_) {
    if (id.value().starts_with(prefix)) {
      matching.push_back(stream.get());
    }
  }
  return matching;
}

EngineState EngineModel::state() const {
  return {weights_.version(), weights_.prefetched(), role_, weights_.busy(), leaving_};
}

LoadFigures EngineModel::current_load() const {
  LoadFigures figures;
  figures.running = static_cast<std::uint32_t>(running_.size());
  figures.waiting = static_cast<std::uint32_t>(waiting_.size());
  figures.kv_used_tokens = context_tokens_;
  figures.tokens_per_second = tokens_per_second_;
  return figures;
}

AgedLoad EngineModel::load(core::MonotonicTime now) const {
  return load_history_.at(now, settings_.report_lag + faults_.report_lag);
}

PrefixCacheEvents EngineModel::cache_events(std::uint64_t after, core::MonotonicTime now) const {
  return cache_.events(after, now);
}

void EngineModel::set_faults(const EngineFaults& faults, core::MonotonicTime now) {
  advance(now);
  faults_ = faults;
  cache_.faults().loss = faults.cache_event_loss;
  cache_.faults().delay = settings_.cache_event_delay + faults.cache_event_delay;
  settle(now);
}

bool EngineModel::take_version_loss() {
  if (faults_.chunks_without_version == 0) {
    return false;
  }
  --faults_.chunks_without_version;
  return true;
}

}  // namespace stoneport::emulator
