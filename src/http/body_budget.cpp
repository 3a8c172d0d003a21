#include "http/body_budget.hpp"

#include <algorithm>
#include <limits>

namespace stoneport::http {
namespace {

/// One part in so many of the limit is for small bodies.
constexpr std::uint64_t kSmallBodiesShare = 4;

}  // namespace

BodyBudget::BodyBudget(BodyBudgetLimits limits) : limits_(limits) {
  const bool is_limited = limits_.max_bytes > 0;
  constexpr std::uint64_t kUnlimited = std::numeric_limits<std::uint64_t>::max() / 2;
  small_.limit = is_limited ? limits_.max_bytes / kSmallBodiesShare : kUnlimited;
  large_.limit = is_limited ? limits_.max_bytes - small_.limit : kUnlimited;
}

void BodyBudget::grant(Body& body) {
  pool_of(body.is_small).held -= body.held;
  body.is_small = is_small(body.wanted);
  body.held = body.wanted;
  pool_of(body.is_small).held += body.held;
}

BodyBudget::Ticket BodyBudget::request(std::uint64_t bytes) {
  const Ticket ticket = ++last_ticket_;
  Body& body = bodies_[ticket];
  body.wanted = bytes;
  body.is_small = is_small(bytes);
  pool_of(body.is_small).waiting.insert(ticket);
  grant_waiting();
  return ticket;
}

std::vector<BodyBudget::Ticket> BodyBudget::grow(Ticket ticket, std::uint64_t bytes) {
  bodies_.at(ticket).wanted = bytes;
  growing_.insert(ticket);
  return grant_waiting();
}

std::vector<BodyBudget::Ticket> BodyBudget::shrink(Ticket ticket, std::uint64_t bytes) {
  Body& body = bodies_.at(ticket);
  body.wanted = bytes;
  grant(body);
  return grant_waiting();
}

std::vector<BodyBudget::Ticket> BodyBudget::release(Ticket ticket) {
  const auto found = bodies_.find(ticket);
  if (found == bodies_.end()) {
    return {};
  }
  const Body& body = found->second;
  Pool& pool = pool_of(body.is_small);
  pool.held -= body.held;
  pool.waiting.erase(ticket);
  growing_.erase(ticket);
  if (over_limit_ == ticket) {
    over_limit_.reset();
  }
  bodies_.erase(found);
  return grant_waiting();
}

bool BodyBudget::try_grow(Ticket ticket) {
  Body& body = bodies_.at(ticket);
  const bool stays_in_pool = body.is_small == is_small(body.wanted);
  const std::uint64_t added = body.wanted - (stays_in_pool ? body.held : 0);
  const bool fits = pool_of(is_small(body.wanted)).has_room(added);
  if (!fits && over_limit_.value_or(ticket) != ticket) {
    return false;
  }
  if (!fits) {
    over_limit_ = ticket;
  }
  grant(body);
  return true;
}

void BodyBudget::grant_growing(std::vector<Ticket>& granted) {
  for (auto next = growing_.begin(); next != growing_.end();) {
    if (!try_grow(*next)) {
      ++next;
      continue;
    }
    granted.push_back(*next);
    next = growing_.erase(next);
  }
}

void BodyBudget::grant_new(Pool& pool, std::vector<Ticket>& granted) {
  while (!pool.waiting.empty()) {
    const Ticket first = *pool.waiting.begin();
    Body& body = bodies_.at(first);
    // A body above the limit is read when nothing else is held.
    if (pool.held > 0 && !pool.has_room(body.wanted)) {
      return;
    }
    grant(body);
    pool.waiting.erase(pool.waiting.begin());
    granted.push_back(first);
  }
}

std::vector<BodyBudget::Ticket> BodyBudget::grant_waiting() {
  std::vector<Ticket> granted;
  grant_growing(granted);
  // What becomes free belongs to the bodies that have begun, which then end and free all of theirs.
  for (const bool small : {true, false}) {
    if (!has_growing(small)) {
      grant_new(pool_of(small), granted);
    }
  }
  return granted;
}

bool BodyBudget::has_growing(bool small) const {
  return std::any_of(growing_.begin(), growing_.end(),
                     [&](Ticket ticket) { return is_small(bodies_.at(ticket).wanted) == small; });
}

bool BodyBudget::is_granted(Ticket ticket) const {
  const auto found = bodies_.find(ticket);
  if (found == bodies_.end()) {
    return false;
  }
  const bool is_waiting = growing_.contains(ticket) || small_.waiting.contains(ticket) ||
                          large_.waiting.contains(ticket);
  return !is_waiting;
}

std::size_t BodyBudget::waiting() const {
  return growing_.size() + small_.waiting.size() + large_.waiting.size();
}

std::uint64_t BodyBudget::waiting_bytes() const {
  std::uint64_t bytes = 0;
  for (const std::set<Ticket>* tickets : {&growing_, &small_.waiting, &large_.waiting}) {
    for (const Ticket ticket : *tickets) {
      const Body& body = bodies_.at(ticket);
      bytes += body.wanted - body.held;
    }
  }
  return bytes;
}

}  // namespace stoneport::http
