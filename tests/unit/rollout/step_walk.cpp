#include "step_walk.hpp"

#include <algorithm>
#include <sstream>

namespace stoneport::rollout {
namespace {

constexpr int kActions = 250;
constexpr int kSettlingRounds = 400;
constexpr std::uint64_t kLongestStream = 6;

char letter_of(core::WeightVersion version) {
  return static_cast<char>('a' + version.value());
}

/// Returns a token that encodes the version that generated it.
GeneratedChunk chunk_at(const std::string& text, std::size_t offset) {
  const core::WeightVersion version(static_cast<std::uint64_t>(text[offset] - 'a'));
  return GeneratedChunk{offset, 1, std::string_view(text).substr(offset, 1), version};
}

}  // namespace

StepWalk::StepWalk(std::uint64_t seed)
    : random_(seed),
      shape_{static_cast<std::uint32_t>(random_.uniform(1, 3)),
             static_cast<std::uint32_t>(random_.uniform(1, 3))},
      held_(shape_.slot_count()) {
  for (auto& daemon : daemons_) {
    daemon = std::make_unique<Daemon>();
    daemon->owner = ++processes_;
  }
}

void StepWalk::violation(const std::string& what) {
  if (!violation_) {
    violation_ = what;
  }
}

std::optional<std::string> StepWalk::run() {
  for (int action = 0; action < kActions && !violation_; ++action) {
    act();
  }
  if (!violation_) {
    settle();
  }
  return violation_;
}

void StepWalk::act() {
  switch (random_.uniform(0, 19)) {
    case 0:
    case 1:
      return trainer_polls();
    case 2:
    case 3:
    case 4:
      return trainer_receives();
    case 5:
      return random_.chance(0.3) ? trainer_moves() : trainer_polls();
    case 6:
      return random_.chance(0.3) ? trainer_publishes() : trainer_receives();
    case 7: {
      Daemon& daemon = any_daemon();
      count(daemon.frozen ? "daemon woken" : "daemon frozen");
      daemon.frozen = !daemon.frozen;
      return;
    }
    case 8:
      return random_.chance(0.3) ? daemon_dies(any_daemon()) : engine_works();
    case 9: {
      // The operator changes the bound; each daemon receives the change at its own time.
      if (random_.chance(0.2)) {
        bound_ = static_cast<std::uint32_t>(random_.uniform(0, 2));
        count("bound changed");
      }
      Daemon& daemon = any_daemon();
      if (!daemon.frozen) {
        daemon.bound = bound_;
        daemon.current = std::max(daemon.current, random_.chance(0.2) ? version_ : daemon.current);
      }
      return;
    }
    case 10:
      return engine_faults();
    case 11:
      if (!answers_.empty() && random_.chance(0.5)) {
        answers_.erase(answers_.begin() +
                       static_cast<std::ptrdiff_t>(random_.uniform(0, answers_.size() - 1)));
        count("answer lost");
      }
      return;
    case 12:
    case 13:
      return engine_works();
    case 14:
    case 15:
      return daemon_works(any_daemon());
    case 16:
    case 17:
      return daemon_reads(any_daemon());
    default:
      return daemon_answers(any_daemon());
  }
}

/// Runs the step to its end without faults: both daemons run and the trainer keeps its daemon.
void StepWalk::settle() {
  settling_ = true;
  for (auto& daemon : daemons_) {
    daemon->frozen = false;
    daemon->bound = bound_;
  }
  for (int round = 0; round < kSettlingRounds && !is_done() && !violation_; ++round) {
    for (Engine& engine : engines_) {
      engine.version = version_;
    }
    trainer_polls();
    for (auto& daemon : daemons_) {
      daemon_works(*daemon);
      engine_works();
      daemon_reads(*daemon);
      daemon_answers(*daemon);
    }
    trainer_receives();
  }
  if (!is_done()) {
    violation("the step does not complete");
  }
}

void StepWalk::trainer_polls() {
  outstanding_ = ++polls_sent_;
  target().inbox.push_back(Poll{outstanding_, held_, epoch_seen_, version_});
}

void StepWalk::trainer_moves() {
  target_ = (target_ + 1) % kDaemons;
  outstanding_ = 0;
  count("trainer reconnected");
  trainer_opens(target());
}

void StepWalk::trainer_publishes() {
  constexpr std::uint64_t kMostVersions = 20;
  if (target().frozen || version_.value() >= kMostVersions) {
    return;
  }
  outstanding_ = 0;  // the trainer has no poll pending while it publishes
  version_ = version_.next();
  target().current = std::max(target().current, version_);
  count("version published");
}

void StepWalk::trainer_opens(Daemon& daemon) {
  if (daemon.frozen) {
    return;
  }
  daemon.current = std::max(daemon.current, version_);
  const bool is_open = daemon.step && epoch_seen_ <= daemon.step->epoch;
  if (is_open) {
    daemon.step->ledger.forget_acknowledgements();
  } else {
    if (daemon.step) {
      daemon.ownership.mark_lost(event_);
    }
    const EventOwnership::Opening opening = daemon.ownership.open(event_, epoch_seen_);
    daemon.step.emplace(shape_);
    daemon.step->epoch = opening.epoch;
    daemon.step->ledger.acknowledge(held_);
    if (opening.taken_over) {
      adopt(*daemon.step);
    }
  }
  if (settling_ || random_.chance(0.8)) {
    epoch_seen_ = std::max(epoch_seen_, daemon.step->epoch);
  } else {
    count("answer to open lost");
  }
}

void StepWalk::adopt(Step& step) {
  for (std::size_t index = 0; index < kEngines; ++index) {
    for (const auto& [id, stream] : engines_[index].streams) {
      const auto name = parse_stream_id(id);
      const bool is_wanted = step.ledger.is_missing(name->slot) && !stream.stopped &&
                             step.ledger.running_attempts(name->slot) == 0;
      if (is_wanted) {
        step.ledger.adopt_attempt(name->slot, name->attempt);
        step.attempts.push_back(Attempt{*name, index, {}});
      }
    }
  }
}

void StepWalk::trainer_receives() {
  if (answers_.empty()) {
    return;
  }
  const std::size_t index = random_.uniform(0, answers_.size() - 1);
  const Answer answer = answers_[index];
  answers_.erase(answers_.begin() + static_cast<std::ptrdiff_t>(index));
  // Any other response arrives on a connection that the trainer has closed.
  if (answer.poll != outstanding_ || answer.epoch < epoch_seen_) {
    count("answer came too late");
    return;
  }
  outstanding_ = 0;
  epoch_seen_ = answer.epoch;
  for (const Sample& sample : answer.content.samples) {
    take(sample, answer.bound);
  }
  if (answer.content.complete && !is_done()) {
    violation("a step with missing slots was reported as complete");
  }
}

void StepWalk::take(const Sample& sample, std::uint32_t bound) {
  const std::size_t index = shape_.index_of(sample.slot);
  if (held_.test(index)) {
    violation("a sample was handed over twice");
  }
  held_.set(index);
  std::string named;
  for (const VersionSpan& span : sample.spans) {
    named.append(span.token_count, letter_of(span.version));
    if (span.version.value() + bound < version_.value()) {
      violation("a sample exceeds the age bound");
    }
  }
  const std::string& made = made_.at(sample.engine.value());
  if (named != made) {
    violation("the spans do not match the versions that generated the tokens");
  }
  if (sample.text != made) {
    violation("the text is not the complete text of its stream");
  }
}

void StepWalk::daemon_works(Daemon& daemon) {
  if (daemon.frozen || !daemon.step) {
    return;
  }
  Step& step = *daemon.step;
  step.ledger.discard_too_old(daemon.rule());
  std::vector<core::SlotId> slots = step.ledger.idle_slots();
  if (!settling_ && random_.chance(0.3)) {
    // Start a second attempt beside a running one, as happens when an engine seems dead.
    const core::SlotId slot = shape_.slot_at(random_.uniform(0, shape_.slot_count() - 1));
    if (step.ledger.is_missing(slot)) {
      slots.push_back(slot);
      count("second attempt");
    }
  }
  for (const core::SlotId slot : slots) {
    if (!starts(daemon, slot)) {
      daemon.step.reset();
      daemon.ownership.mark_lost(event_);
      count("fenced by an engine");
      return;
    }
  }
}

bool StepWalk::starts(Daemon& daemon, core::SlotId slot) {
  Step& step = *daemon.step;
  const std::size_t index = random_.uniform(0, kEngines - 1);
  Engine& engine = engines_[index];
  if (step.epoch < engine.fence) {
    return false;
  }
  engine.fence = step.epoch;
  const std::uint32_t number = step.ledger.begin_attempt(slot);
  const StreamName name{event_, step_, slot, number, step.epoch, 0, daemon.owner};
  const core::StreamId id = to_stream_id(name);
  if (!engine.streams.contains(id)) {
    engine.streams[id].length = random_.uniform(1, kLongestStream);
  }
  step.attempts.push_back(Attempt{name, index, {}});
  return true;
}

void StepWalk::daemon_reads(Daemon& daemon) {
  if (daemon.frozen || !daemon.step) {
    return;
  }
  Step& step = *daemon.step;
  for (std::size_t index = step.attempts.size(); index-- > 0;) {
    if (settling_ || random_.chance(0.6)) {
      read_attempt(step, index, daemon.rule());
    }
  }
}

void StepWalk::read_attempt(Step& step, std::size_t index, const AgeRule& rule) {
  Attempt& attempt = step.attempts[index];
  const auto end = [&] { step.attempts.erase(step.attempts.begin() + static_cast<long>(index)); };
  const auto& streams = engines_[attempt.engine].streams;
  const auto found = streams.find(to_stream_id(attempt.name));
  const auto oldest = attempt.content.oldest();
  const bool is_lost = found == streams.end() || found->second.stopped;
  if (is_lost || (oldest && !rule.allows(*oldest))) {
    step.ledger.abandon_attempt(attempt.name.slot);
    return end();
  }
  const Stream& stream = found->second;
  std::size_t offset = attempt.content.token_count();
  if (offset < stream.text.size()) {
    GeneratedChunk chunk = chunk_at(stream.text, offset);
    if (!settling_ && random_.chance(0.02)) {
      chunk.version.reset();
      count("chunk without version");
    }
    if (!settling_ && offset > 0 && random_.chance(0.02)) {
      chunk = chunk_at(stream.text, offset - 1);
      count("chunk repeated");
    }
    if (!settling_ && offset + 1 < stream.text.size() && random_.chance(0.05)) {
      chunk = chunk_at(stream.text, offset + 1);
      count("chunk left out");
    }
    if (attempt.content.add(chunk)) {
      step.ledger.abandon_attempt(attempt.name.slot);
      end();
    }
    return;
  }
  if (stream.text.size() < stream.length) {
    return;
  }
  if (attempt.content.finish(stream.text.size())) {
    step.ledger.abandon_attempt(attempt.name.slot);
    return end();
  }
  Sample sample;
  sample.slot = attempt.name.slot;
  sample.text = attempt.content.text();
  sample.token_count = attempt.content.token_count();
  sample.spans = attempt.content.spans();
  sample.engine = core::ReplicaId(found->first.value());
  const bool was_missing = step.ledger.is_missing(sample.slot);
  const FinishOutcome outcome = step.ledger.finish_attempt(std::move(sample), rule);
  if (outcome == FinishOutcome::kDuplicate) {
    count("duplicate dropped");
  }
  if (outcome == FinishOutcome::kAccepted && !was_missing) {
    violation("a second result was accepted for a slot");
  }
  end();
}

void StepWalk::daemon_answers(Daemon& daemon) {
  if (daemon.frozen || daemon.inbox.empty()) {
    return;
  }
  // Polls may be reordered.
  const std::size_t index =
      settling_ ? daemon.inbox.size() - 1 : random_.uniform(0, daemon.inbox.size() - 1);
  const Poll poll = daemon.inbox[index];
  daemon.inbox.erase(daemon.inbox.begin() + static_cast<std::ptrdiff_t>(index));
  if (daemon.step && poll.epoch_seen > daemon.step->epoch) {
    daemon.step.reset();
    daemon.ownership.mark_lost(event_);
    count("fenced by the trainer");
  }
  if (!daemon.step) {
    if (poll.number == outstanding_ && &daemon == &target()) {
      outstanding_ = 0;
      trainer_opens(daemon);
    }
    return;
  }
  daemon.current = std::max(daemon.current, poll.version);
  const HandOverLimit limit{random_.uniform(1, 4), 100};
  HandOver content = daemon.step->ledger.hand_over(poll.held, limit, daemon.rule());
  answers_.push_back(Answer{poll.number, daemon.step->epoch, daemon.bound, std::move(content)});
}

void StepWalk::daemon_dies(Daemon& daemon) {
  const std::size_t index = &daemon == daemons_[0].get() ? 0 : 1;
  daemons_[index] = std::make_unique<Daemon>();
  daemons_[index]->owner = ++processes_;
  daemons_[index]->bound = bound_;
  count("daemon killed");
  if (random_.chance(0.5)) {
    // The table service is reachable when the replacement starts.
    granted_ = std::max(granted_, epoch_seen_.value()) + 1;
    daemons_[index]->ownership.grant(core::Epoch(granted_));
  }
}

void StepWalk::engine_works() {
  for (Engine& engine : engines_) {
    for (auto& [id, stream] : engine.streams) {
      if (!stream.stopped && stream.text.size() < stream.length && random_.chance(0.7)) {
        stream.text.push_back(letter_of(engine.version));
        made_[id.value()] = stream.text;
      }
    }
  }
}

void StepWalk::engine_faults() {
  Engine& engine = engines_[random_.uniform(0, kEngines - 1)];
  if (random_.chance(0.1)) {
    engine.streams.clear();
    count("engine crashed");
    return;
  }
  if (random_.chance(0.1) && !engine.streams.empty()) {
    auto stream = engine.streams.begin();
    std::advance(stream, random_.uniform(0, engine.streams.size() - 1));
    stream->second.stopped = stream->second.text.size() < stream->second.length;
    count("stream given up by the engine");
    return;
  }
  // A weight swap either succeeds or fails and leaves an older version.
  engine.version = core::WeightVersion(random_.uniform(1, version_.value()));
  count("weights swapped");
}

}  // namespace stoneport::rollout
