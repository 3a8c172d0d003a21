/// \file
/// Strongly typed identifiers, so that for example a tenant cannot be passed as a model.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace stoneport::core {

/// String identifier of a distinct type per Tag; ordered and hashable.
template <class Tag>
class Name {
 public:
  Name() = default;
  explicit Name(std::string value) : value_(std::move(value)) {}
  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }
  auto operator<=>(const Name&) const = default;

 private:
  std::string value_;
};

/// Counter of a distinct type per Tag. Zero means "none yet".
template <class Tag>
class Counter {
 public:
  constexpr Counter() = default;
  constexpr explicit Counter(std::uint64_t value) : value_(value) {}
  constexpr std::uint64_t value() const { return value_; }
  constexpr Counter next() const { return Counter(value_ + 1); }
  constexpr auto operator<=>(const Counter&) const = default;

 private:
  std::uint64_t value_ = 0;
};

template <class Tag>
std::ostream& operator<<(std::ostream& out, const Name<Tag>& name) {
  return out << name.value();
}
template <class Tag>
std::ostream& operator<<(std::ostream& out, const Counter<Tag>& counter) {
  return out << counter.value();
}

using NodeId = Name<struct NodeIdTag>;  ///< machine that runs one daemon process
/// One incarnation of a replica (engine or service instance), between two restarts: see
/// replica_life().
using ReplicaId = Name<struct ReplicaIdTag>;
using ServiceName = Name<struct ServiceNameTag>;    ///< service that is not a model engine
using ModelName = Name<struct ModelNameTag>;        ///< model served by engines
using PolicyName = Name<struct PolicyNameTag>;      ///< policy under training
using AdapterName = Name<struct AdapterNameTag>;    ///< adapter loaded on a model
using TenantName = Name<struct TenantNameTag>;      ///< tenant that a request is attributed to
using EventName = Name<struct EventNameTag>;        ///< scheduled rollout event
using TemplateName = Name<struct TemplateNameTag>;  ///< published template
using ZoneName = Name<struct ZoneNameTag>;
using RegionName = Name<struct RegionNameTag>;
using StreamId = Name<struct StreamIdTag>;  ///< one generation on an engine
using WriteId = Name<struct WriteIdTag>;    ///< one write to the table service
/// Hash of a request's content, without its request id.
using RequestFingerprint = Name<struct RequestFingerprintTag>;

using WeightVersion = Counter<struct WeightVersionTag>;  ///< increases with each published policy
using Epoch = Counter<struct EpochTag>;                  ///< fencing token; the higher one wins
using Incarnation = Counter<struct IncarnationTag>;      ///< number of one run of a process
using Revision = Counter<struct RevisionTag>;            ///< revision of a row or configuration
using StepNumber = Counter<struct StepNumberTag>;        ///< training step within an event

/// Separates name and start time in a ReplicaId; replica names contain no space.
inline constexpr char kLifeSeparator = ' ';

/// \return the id of the incarnation of replica \p name that started at \p born (Unix
/// milliseconds). A replica that restarts under the same name has lost its state; because each
/// incarnation has its own id, state that is stored by id never carries over to the next one.
inline ReplicaId replica_life(const std::string& name, std::uint64_t born) {
  return ReplicaId(name + kLifeSeparator + std::to_string(born));
}
/// \return the name that a replica keeps across restarts.
inline std::string replica_name(const ReplicaId& life) {
  return life.value().substr(0, life.value().find(kLifeSeparator));
}

/// Identifies a sample of a step by its prompt and its number within the prompt, independent of
/// the attempt that produced it.
struct SlotId {
  std::uint32_t prompt = 0;
  std::uint32_t sample = 0;
  auto operator<=>(const SlotId&) const = default;
};

/// IP address and port of a listener.
struct Address {
  std::string ip;
  std::uint16_t port = 0;
  auto operator<=>(const Address&) const = default;
};

inline std::string to_string(const Address& address) {
  return address.ip + ":" + std::to_string(address.port);
}

}  // namespace stoneport::core

template <class Tag>
struct std::hash<stoneport::core::Name<Tag>> {
  std::size_t operator()(const stoneport::core::Name<Tag>& name) const {
    return std::hash<std::string>()(name.value());
  }
};
template <class Tag>
struct std::hash<stoneport::core::Counter<Tag>> {
  std::size_t operator()(const stoneport::core::Counter<Tag>& counter) const {
    return std::hash<std::uint64_t>()(counter.value());
  }
};
template <>
struct std::hash<stoneport::core::SlotId> {
  std::size_t operator()(const stoneport::core::SlotId& slot) const {
    return std::hash<std::uint64_t>()((std::uint64_t{slot.prompt} << 32) | slot.sample);
  }
};
template <>
struct std::hash<stoneport::core::Address> {
  std::size_t operator()(const stoneport::core::Address& address) const {
    return std::hash<std::string>()(address.ip) * 31 + address.port;
  }
};
