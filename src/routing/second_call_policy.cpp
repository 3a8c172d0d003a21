#include "routing/second_call_policy.hpp"

namespace stoneport::routing {

bool is_overdue(const OutstandingCalls& calls) {
  return calls.out > 0 && calls.newest_taken >= calls.usual;
}

NextCall next_call(const OutstandingCalls& calls, const OtherReplicas& elsewhere) {
  if (!is_overdue(calls) || !elsewhere.is_sound || calls.out >= calls.max_calls) {
    return NextCall::kWait;
  }
  if (elsewhere.has_place) {
    return NextCall::kSendSecond;
  }
  // Without a slot for a second call, the first call is replaced if only its replica is silent.
  const bool may_replace = elsewhere.has_answered && calls.newest_is_silent;
  return may_replace ? NextCall::kReplace : NextCall::kWait;
}

bool indicates_silence(const SilentCall& call, const SilenceSettings& settings) {
  const double usual = core::to_seconds(call.usual) * settings.silent_after_usual_times;
  const bool is_late = call.target > core::Duration(0) && call.taken >= call.target;
  return is_late || core::to_seconds(call.taken) >= usual ||
         call.in_a_row >= settings.silent_after_calls;
}

}  // namespace stoneport::routing
