#include "controllers/lease.hpp"

#include <nlohmann/json.hpp>

#include "core/json_text.hpp"

namespace stoneport::controllers {
namespace {
using nlohmann::json;

core::Error bad_record() {
  return core::make_error(core::ErrorCode::kProtocol, "the row is not a valid lease record");
}

core::Duration scaled(core::Duration duration, double factor) {
  return core::from_seconds(core::to_seconds(duration) * factor);
}

std::optional<std::uint64_t> whole_field(const json& object, const char* name) {
  const auto field = object.find(name);
  if (field == object.end() || !field->is_number_unsigned()) {
    return std::nullopt;
  }
  return field->get<std::uint64_t>();
}

}  // namespace

std::string encode_lease(const LeaseRecord& record) {
  json value = {{"epoch", record.epoch.value()}, {"duration_us", record.duration.count()}};
  if (record.holder) {
    value["node"] = record.holder->node.value();
    value["incarnation"] = record.holder->incarnation.value();
  }
  return core::write_json(value);
}

core::Result<LeaseRecord> parse_lease(const std::string& text) {
  const std::optional<json> parsed = core::parse_json(text);
  if (!parsed || !parsed->is_object()) {
    return bad_record();
  }
  const json& value = *parsed;
  const auto epoch = whole_field(value, "epoch");
  const auto duration = whole_field(value, "duration_us");
  constexpr std::uint64_t kMaxDurationMicros = 86'400'000'000;  // one day
  if (!epoch || !duration || *duration > kMaxDurationMicros) {
    return bad_record();
  }
  LeaseRecord record;
  record.epoch = core::Epoch(*epoch);
  record.duration = core::Duration(static_cast<std::int64_t>(*duration));
  const auto node = value.find("node");
  if (node == value.end()) {
    return record;
  }
  const auto incarnation = whole_field(value, "incarnation");
  if (!node->is_string() || !incarnation) {
    return bad_record();
  }
  record.holder =
      LeaseHolder{core::NodeId(node->get<std::string>()), core::Incarnation(*incarnation)};
  return record;
}

bool LeaseState::row_is_ours() const {
  return row_ && row_->record.holder == self_;
}

bool LeaseState::row_is_free(core::MonotonicTime now) const {
  if (!row_ || !row_->record.holder) {
    return true;
  }
  return now - unchanged_since_ >= row_->record.duration;
}

std::optional<LeaseHolder> LeaseState::observed_holder() const {
  return row_ ? row_->record.holder : std::nullopt;
}

LeasePlan LeaseState::write_plan(std::optional<LeaseHolder> holder, core::Epoch epoch) const {
  LeaseWrite write;
  write.record = LeaseRecord{std::move(holder), epoch, settings_.duration};
  write.condition = row_ ? row_->revision : core::Revision();
  return {LeaseStep::kWrite, std::move(write)};
}

void LeaseState::begin_round() {
  if (!row_is_ours()) {
    read_is_fresh_ = false;
  }
}

LeasePlan LeaseState::plan_unwanted() const {
  if (!read_is_fresh_) {
    const bool may_hold = epoch_ != core::Epoch() || row_is_ours();
    return {may_hold ? LeaseStep::kRead : LeaseStep::kWait, std::nullopt};
  }
  if (row_is_ours()) {
    return write_plan(std::nullopt, row_->record.epoch);
  }
  return {};
}

LeasePlan LeaseState::plan(core::MonotonicTime now, bool wanted) const {
  if (!wanted) {
    return plan_unwanted();
  }
  if (!read_is_fresh_) {
    return {LeaseStep::kRead, std::nullopt};
  }
  if (row_is_ours()) {
    return write_plan(self_, row_->record.epoch);
  }
  if (row_is_free(now)) {
    return write_plan(self_, row_ ? row_->record.epoch.next() : core::Epoch(1));
  }
  return {};
}

void LeaseState::on_read(std::optional<ObservedLease> observed, core::MonotonicTime now) {
  const bool unchanged = row_ && observed && row_->revision == observed->revision;
  const bool gap = row_ && now - last_read_ >= row_->record.duration / 2;
  if (!unchanged || gap) {
    unchanged_since_ = now;
  }
  row_ = std::move(observed);
  last_read_ = now;
  read_is_fresh_ = true;
  if (!row_is_ours() || row_->record.epoch != epoch_) {
    epoch_ = core::Epoch();
    last_unanswered_.reset();
  }
}

void LeaseState::on_write_committed(const LeaseWrite& write, core::Revision revision,
                                    core::MonotonicTime sent_at) {
  row_ = ObservedLease{write.record, revision};
  read_is_fresh_ = true;
  last_read_ = sent_at;
  unchanged_since_ = sent_at;
  last_unanswered_.reset();
  if (!write.record.holder) {
    epoch_ = core::Epoch();
    return;
  }
  epoch_ = write.record.epoch;
  held_until_ = sent_at + scaled(settings_.duration, 1 - settings_.holder_margin);
}

void LeaseState::on_row_lost() {
  epoch_ = core::Epoch();
  last_unanswered_.reset();
  read_is_fresh_ = false;
}

void LeaseState::record_unanswered(core::MonotonicTime sent_at, core::MonotonicTime now) {
  if (now - sent_at < settings_.duration / 2) {
    last_unanswered_ = now;
  } else {
    last_unanswered_.reset();
  }
}

void LeaseState::on_read_failed(core::MonotonicTime sent_at, core::MonotonicTime now) {
  record_unanswered(sent_at, now);
  read_is_fresh_ = false;
}

void LeaseState::on_write_failed(core::MonotonicTime sent_at, core::MonotonicTime now,
                                 bool may_have_taken_effect) {
  record_unanswered(sent_at, now);
  if (may_have_taken_effect) {
    read_is_fresh_ = false;
  }
}

LeaseStatus LeaseState::status(core::MonotonicTime now) const {
  if (epoch_ == core::Epoch()) {
    return LeaseStatus::kNone;
  }
  if (now < held_until_) {
    return LeaseStatus::kHeld;
  }
  const bool just_tried = last_unanswered_ && now - *last_unanswered_ < settings_.duration / 2;
  return just_tried ? LeaseStatus::kUnconfirmed : LeaseStatus::kNone;
}

}  // namespace stoneport::controllers
