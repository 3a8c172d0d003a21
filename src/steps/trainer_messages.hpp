/// \file
/// JSON bodies of the trainer interface as typed messages (docs/api/trainers.md).
#pragma once

#include <optional>
#include <string>

#include "core/error.hpp"
#include "steps/step_runner.hpp"
#include "steps/step_service.hpp"

namespace stoneport::steps {

struct PublishMessage {
  core::WeightVersion version;
  std::uint64_t size_bytes = 0;
};
struct OpenMessage {
  core::StepNumber step;
  core::WeightVersion policy_version;  ///< the trainer's current version
  StepContent content;
  core::Epoch epoch_seen;
};
struct PollMessage {
  std::string held;  ///< bitmap, validated later against the step's shape
  core::Epoch epoch_seen;
  core::Duration wait{};
  std::size_t max_samples = 0;
  /// The trainer's current version, if given.
  std::optional<core::WeightVersion> policy_version;
};
struct AcknowledgeMessage {
  std::string held;
  core::Epoch epoch_seen;
};

/// The parse functions return kInvalidArgument, naming the field and the allowed values, for an
/// invalid message.
core::Result<PublishMessage> parse_publish(const std::string& body);
core::Result<OpenMessage> parse_open(const std::string& body);
core::Result<PollMessage> parse_poll(const std::string& body);
core::Result<AcknowledgeMessage> parse_acknowledge(const std::string& body);
core::Result<core::StepNumber> parse_step_number(const std::string& text);

std::string format_open_answer(const OpenAnswer& answer);
std::string format_poll_answer(const PollAnswer& answer);

}  // namespace stoneport::steps
