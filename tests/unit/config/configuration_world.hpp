/// \file
/// A model of daemons, a store and a network for random walks over the spread of
/// configurations. The decisions are the real code; everything around them is
/// virtual, one step at a time, repeatable from a seed.
#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "config/configuration_adoption.hpp"
#include "config/publish_plan.hpp"
#include "core/random.hpp"

namespace stoneport::config {

struct WorldRules {
  AdoptionRules adoption;
  bool head_condition = true;  ///< whether the store refuses a commit on a stale head
};

struct WorldTally {
  std::uint64_t accepted = 0;
  std::uint64_t conflicts = 0;
  std::uint64_t lost_answers = 0;
  std::uint64_t lost_messages = 0;
  std::uint64_t restarts = 0;
  std::uint64_t freezes = 0;
  std::uint64_t partitions = 0;
  std::uint64_t outages = 0;
  std::uint64_t torn_reads = 0;
};

class ConfigurationWorld {
 public:
  ConfigurationWorld(std::uint64_t seed, WorldRules rules, WorldTally& tally)
      : random_(seed), rules_(rules), tally_(tally) {
    history_.push_back({});
    for (std::size_t index = 0; index < kNodes; ++index) {
      nodes_.push_back(make_node(index));
    }
  }

  /// Runs the faults, then heals the network and lets the daemons settle, in half
  /// of the schedules first without the store; then the store comes back.
  /// \return the first broken statement, or an empty text.
  std::string run() {
    for (int step = 0; step < kFaultSteps && broken_.empty(); ++step) {
      take_step();
    }
    heal();
    store_up_ = random_.chance(0.5);
    settle();
    check_agreed();
    store_up_ = true;
    settle();
    check_settled();
    return broken_;
  }

 private:
  static constexpr std::size_t kNodes = 5;
  static constexpr std::size_t kZones = 3;
  static constexpr int kFaultSteps = 120;
  static constexpr int kSettlingRounds = 60;
  static constexpr double kLoss = 0.15;

  struct Node {
    core::NodeId id;
    core::ZoneName zone;
    ConfigurationAdoption adoption;
    std::map<core::NodeId, ConfigurationPeer> heard;
    std::map<core::NodeId, int> heard_lives;
    std::set<core::ZoneName> vouched;  ///< kept by the model, apart from the code
    bool store_heard = false;
    bool was_ready = false;
    bool frozen = false;
    int group = 0;
    int life = 0;
    core::Revision highest;
  };

  enum class MessageKind { kGossip, kFetch, kAnswer, kPush, kDocuments, kCommit, kCommitted };
  struct Message {
    MessageKind kind;
    std::size_t from = 0;
    std::size_t to = 0;
    int life = 0;         ///< of the receiver it is for; others drop it
    int sender_life = 0;  ///< for gossip: a later life replaces an earlier one
    core::Revision revision;
    bool ready = false;
    ConfigurationDelta delta;
    std::optional<PublishCommit> commit;
    core::Revision head;
  };

  Node make_node(std::size_t index) const {
    const core::ZoneName zone("zone-" + std::to_string(index % kZones));
    return Node{core::NodeId("node-" + std::to_string(index)), zone,
                ConfigurationAdoption(zone, rules_.adoption)};
  }

  std::size_t any_node() { return random_.uniform(0, kNodes - 1); }
  const ConfigurationRecord& head() const { return history_.back(); }
  void fail(const std::string& what) {
    if (broken_.empty()) {
      broken_ = what;
    }
  }

  void take_step() {
    const double lot = random_.fraction();
    if (lot < 0.40) {
      deliver_one();
    } else if (lot < 0.55) {
      gossip(any_node(), any_node());
    } else if (lot < 0.70) {
      look_at_peers(any_node());
    } else if (lot < 0.78) {
      read_head(any_node());
    } else if (lot < 0.88) {
      publish(any_node());
    } else {
      inject_fault();
    }
  }

  void inject_fault() {
    Node& node = nodes_[any_node()];
    switch (random_.uniform(0, 4)) {
      case 0:
        restart(node);
        break;
      case 1:
        tally_.freezes += node.frozen ? 0 : 1;
        node.frozen = !node.frozen;
        break;
      case 2:
        ++tally_.partitions;
        for (Node& each : nodes_) {
          each.group = static_cast<int>(random_.uniform(0, 1));
        }
        break;
      case 3:
        for (Node& each : nodes_) {
          each.group = 0;
        }
        break;
      default:
        tally_.outages += store_up_ ? 1 : 0;
        store_up_ = !store_up_;
    }
  }

  void restart(Node& node) {
    ++tally_.restarts;
    const int life = node.life + 1;
    node = make_node(static_cast<std::size_t>(&node - nodes_.data()));
    node.life = life;
  }

  bool reachable(std::size_t from, std::size_t to) const {
    return nodes_[from].group == nodes_[to].group;
  }

  void send(Message message) {
    const bool lost = faults_ && random_.chance(kLoss);
    if (lost || !reachable(message.from, message.to)) {
      ++tally_.lost_messages;
      return;
    }
    message.life = nodes_[message.to].life;
    messages_.push_back(std::move(message));
  }

  /// Delivers any of the messages on their way, so that they overtake one another.
  void deliver_one() {
    if (messages_.empty()) {
      return;
    }
    const std::size_t chosen = random_.uniform(0, messages_.size() - 1);
    if (nodes_[messages_[chosen].to].frozen) {
      return;
    }
    const Message message = messages_[chosen];
    messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(chosen));
    if (message.kind == MessageKind::kCommit) {
      commit_at_store(message);
    } else if (message.life == nodes_[message.to].life) {
      receive(message);
    }
  }

  void receive(const Message& message) {
    Node& node = nodes_[message.to];
    const Node& sender = nodes_[message.from];
    switch (message.kind) {
      case MessageKind::kGossip:
        hear(node, sender, message);
        break;
      case MessageKind::kFetch:
        send(answer_to(message));
        break;
      case MessageKind::kAnswer:
        take(node, message.delta);
        if (message.ready) {
          node.adoption.heard_ready_peer(sender.zone);
          node.vouched.insert(sender.zone);
        }
        break;
      case MessageKind::kDocuments:
        read_documents(node, message.delta);
        break;
      default:
        take(node, message.delta);
        node.store_heard = node.store_heard || message.kind == MessageKind::kCommitted;
    }
    update(node);
  }

  static void hear(Node& node, const Node& sender, const Message& message) {
    int& life = node.heard_lives[sender.id];
    if (message.sender_life < life) {
      return;
    }
    ConfigurationPeer& peer = node.heard[sender.id];
    const bool same_life = message.sender_life == life;
    const core::Revision before = same_life ? peer.revision : core::Revision();
    peer = {sender.id, sender.zone, std::max(before, message.revision)};
    life = message.sender_life;
  }

  Message answer_to(const Message& fetch) {
    const Node& node = nodes_[fetch.to];
    Message answer{MessageKind::kAnswer, fetch.to, fetch.from};
    answer.ready = node.adoption.ready();
    answer.delta = delta_since(node.adoption.record(), fetch.revision);
    return answer;
  }

  void take(Node& node, const ConfigurationDelta& delta) {
    node.adoption.take(delta);
    const ConfigurationRecord& record = node.adoption.record();
    if (record.revision < node.highest) {
      fail("a daemon went back to a lower revision");
    }
    node.highest = record.revision;
    const bool known = record.revision.value() < history_.size();
    if (!known || hash_of(record) != hash_of(history_[record.revision.value()])) {
      fail("a daemon has in force what was never published so");
    }
  }

  void update(Node& node) {
    std::vector<ConfigurationPeer> peers;
    for (const auto& [id, peer] : node.heard) {
      peers.push_back(peer);
    }
    const bool ready = node.adoption.update_ready(peers);
    if (ready && !node.was_ready && !node.store_heard && node.vouched.size() < 2) {
      fail("a daemon serves without having heard the store or peers in two zones");
    }
    node.was_ready = ready;
  }

  void gossip(std::size_t from, std::size_t to) {
    if (from != to && !nodes_[from].frozen) {
      Message message{MessageKind::kGossip, from, to};
      message.revision = nodes_[from].adoption.revision();
      message.sender_life = nodes_[from].life;
      send(std::move(message));
    }
  }

  void look_at_peers(std::size_t index) {
    Node& node = nodes_[index];
    if (node.frozen) {
      return;
    }
    std::vector<ConfigurationPeer> peers;
    for (const auto& [id, peer] : node.heard) {
      peers.push_back(peer);
    }
    auto chosen = node.adoption.newer_peer(peers, random_);
    if (!chosen) {
      chosen = node.adoption.vouching_peer(peers, random_);
    }
    if (chosen) {
      Message message{MessageKind::kFetch, index, index_of(chosen->node)};
      message.revision = node.adoption.revision();
      send(std::move(message));
    }
    update(node);
  }

  std::size_t index_of(const core::NodeId& id) const {
    std::size_t index = 0;
    while (nodes_[index].id != id) {
      ++index;
    }
    return index;
  }

  /// The head is read now and the documents when the message arrives: another
  /// commit may come between.
  void read_head(std::size_t index) {
    if (!store_up_ || nodes_[index].frozen) {
      return;
    }
    Message message{MessageKind::kDocuments, index, index};
    message.delta.since = nodes_[index].adoption.revision();
    message.delta.whole_hash = hash_of(head());
    message.delta.changed.revision = head().revision;
    send(std::move(message));
  }

  void read_documents(Node& node, ConfigurationDelta delta) {
    if (!store_up_) {
      return;
    }
    const core::Revision revision = delta.changed.revision;
    delta.changed = delta_since(head(), delta.since).changed;
    tally_.torn_reads += delta.changed.revision != revision ? 1 : 0;
    delta.changed.revision = revision;
    take(node, delta);
    if (node.adoption.revision() >= revision) {
      node.adoption.heard_store();
      node.store_heard = true;
    }
  }

  /// An operator's change of one of a few documents, from the base that is in
  /// force on the daemon, or from an older one.
  void publish(std::size_t index) {
    Node& node = nodes_[index];
    if (!store_up_ || node.frozen) {
      return;
    }
    EventTemplate document;
    document.name = core::TemplateName("template-" + std::to_string(random_.uniform(0, 2)));
    document.model = core::ModelName("model");
    document.max_tokens = static_cast<std::uint32_t>(random_.uniform(1, 1000));
    const ConfigurationRecord& newest = head();
    const DocumentRecord* believed = node.adoption.record().find(key_of(document));
    const core::Revision base = believed == nullptr ? core::Revision() : believed->revision;
    const PublishPlan plan = plan_publish(newest, {document, base, "operator", ""}, {});
    if (const auto* commit = std::get_if<PublishCommit>(&plan)) {
      Message message{MessageKind::kCommit, index, index};
      message.commit = *commit;
      message.head = newest.revision;
      send(std::move(message));
    }
    tally_.conflicts += std::holds_alternative<PublishConflict>(plan) ? 1 : 0;
  }

  void commit_at_store(const Message& message) {
    const bool stale = message.head != head().revision;
    if (!store_up_ || (stale && rules_.head_condition)) {
      tally_.conflicts += stale ? 1 : 0;
      return;
    }
    const ConfigurationRecord& record = message.commit->record;
    if (stale) {
      history_.resize(record.revision.value());
    }
    history_.push_back(record);
    if (message.life != nodes_[message.to].life || random_.chance(kLoss)) {
      ++tally_.lost_answers;
      return;
    }
    accept(message);
  }

  /// The operator is told; other daemons are handed the change.
  void accept(const Message& message) {
    const ConfigurationRecord& record = message.commit->record;
    ++tally_.accepted;
    accepted_.emplace_back(record.revision, record.find(message.commit->key)->document,
                           message.commit->key);
    Message committed{MessageKind::kCommitted, message.to, message.to};
    committed.delta = delta_since(record, message.head);
    committed.life = message.life;
    receive(committed);
    nodes_[message.to].adoption.heard_store();
    Message push{MessageKind::kPush, message.to, any_node()};
    push.delta = delta_since(nodes_[message.to].adoption.record(), message.head);
    send(std::move(push));
  }

  void heal() {
    faults_ = false;
    for (Node& node : nodes_) {
      node.frozen = false;
      node.group = 0;
    }
  }

  /// Daemons choose the peers that they query at random, so the number of rounds varies.
  void settle() {
    for (int round = 0; round < kSettlingRounds && broken_.empty(); ++round) {
      settle_once();
      const auto done = [this](const Node& node) {
        return node.adoption.ready() && node.adoption.revision() == head().revision;
      };
      if (std::all_of(nodes_.begin(), nodes_.end(), done)) {
        return;
      }
    }
  }

  /// Every daemon gossips to every other and asks one peer; one reads the store.
  void settle_once() {
    for (std::size_t from = 0; from < kNodes; ++from) {
      for (std::size_t to = 0; to < kNodes; ++to) {
        gossip(from, to);
      }
      look_at_peers(from);
    }
    read_head(any_node());
    while (!messages_.empty() && broken_.empty()) {
      deliver_one();
    }
  }

  /// Whether the store be up or down, the newest that any daemon has is in force
  /// on all, and two zones that serve bring every daemon to serve.
  void check_agreed() {
    std::set<core::ZoneName> serving;
    bool all_ready = true;
    for (const Node& node : nodes_) {
      if (node.adoption.revision() != nodes_[0].adoption.revision()) {
        fail("daemons that reach one another disagree");
      }
      all_ready = all_ready && node.adoption.ready();
      if (node.adoption.ready()) {
        serving.insert(node.zone);
      }
    }
    if (serving.size() >= 2 && !all_ready) {
      fail("a daemon does not serve though two zones do");
    }
  }

  void check_settled() {
    for (Node& node : nodes_) {
      update(node);
      if (node.adoption.revision() != head().revision) {
        fail("an accepted configuration is not in force everywhere");
      }
      if (!node.adoption.ready()) {
        fail("a daemon does not serve though all is well");
      }
    }
    for (const auto& [revision, document, key] : accepted_) {
      const bool there = revision.value() < history_.size();
      const DocumentRecord* record = there ? history_[revision.value()].find(key) : nullptr;
      if (record == nullptr || record->document != document) {
        fail("an accepted publication was lost");
      }
    }
  }

  core::RandomSource random_;
  WorldRules rules_;
  WorldTally& tally_;
  std::vector<Node> nodes_;
  std::deque<Message> messages_;
  std::vector<ConfigurationRecord> history_;  ///< by revision; the last is the head
  std::vector<std::tuple<core::Revision, nlohmann::json, DocumentKey>> accepted_;
  bool store_up_ = true;
  bool faults_ = true;
  std::string broken_;
};

}  // namespace stoneport::config
