#include "routing/second_call_policy.hpp"

namespace stoneport::routing {

bool is_overdue(const CallsOut& calls) {
  return calls.out > 0 && calls.newest_taken >= calls.usual;
}

NextCall next_call(const CallsOut& calls, const Elsewhere& elsewhere) {
  if (!is_overdue(calls) || !elsewhere.is_sound || calls.out >= calls.most) {
    return NextCall::kWait;
  }
  if (elsewhere.has_place) {
    return NextCall::kBeside;
  }
  // Without a place for a second call the first one makes room, where only its replica is silent.
  const bool may_replace = elsewhere.has_answered && calls.newest_is_silent;
  return may_replace ? NextCall::kReplace : NextCall::kWait;
}

bool is_telling(const SilentCall& call, const SilenceSettings& settings) {
  const double usual = core::to_seconds(call.usual) * settings.telling_in_usual_times;
  const bool is_late = call.target > core::Duration(0) && call.taken >= call.target;
  return is_late || core::to_seconds(call.taken) >= usual ||
         call.in_a_row >= settings.telling_calls;
}

}  // namespace stoneport::routing
