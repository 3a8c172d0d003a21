#include "controllers/claim_memory.hpp"

#include <algorithm>

namespace stoneport::controllers {

void GrantedClaims::add(const std::string& row_key, GrantedClaim claim) {
  const bool inserted = claims_.insert_or_assign(row_key, std::move(claim)).second;
  if (!inserted) {
    return;
  }
  order_.push_back(row_key);
  while (order_.size() > capacity_) {
    claims_.erase(order_.front());
    order_.pop_front();
  }
}

GrantedClaim* GrantedClaims::find(const std::string& row_key) {
  const auto found = claims_.find(row_key);
  return found == claims_.end() ? nullptr : &found->second;
}

void GrantedClaims::remove(const std::string& row_key) {
  if (claims_.erase(row_key) > 0) {
    order_.erase(std::find(order_.begin(), order_.end(), row_key));
  }
}

bool AbandonedClaims::add(AbandonedClaim claim) {
  claims_.push_back(std::move(claim));
  if (claims_.size() <= capacity_) {
    return true;
  }
  claims_.pop_front();
  return false;
}

bool AbandonedClaims::contains(const core::WriteId& claim) const {
  return std::any_of(claims_.begin(), claims_.end(),
                     [&claim](const AbandonedClaim& known) { return known.claim == claim; });
}

void AbandonedClaims::remove(const core::WriteId& claim) {
  std::erase_if(claims_, [&claim](const AbandonedClaim& known) { return known.claim == claim; });
}

std::vector<AbandonedClaim> AbandonedClaims::take_due(core::MonotonicTime now) {
  std::vector<AbandonedClaim> due;
  for (AbandonedClaim& claim : claims_) {
    if (claim.next_check > now) {
      continue;
    }
    claim.next_check = now + claim.check_interval;
    claim.check_interval *= 2;
    due.push_back(claim);
  }
  return due;
}

std::size_t AbandonedClaims::remove_older_than(core::MonotonicTime limit) {
  return std::erase_if(claims_,
                       [limit](const AbandonedClaim& known) { return known.since < limit; });
}

}  // namespace stoneport::controllers
