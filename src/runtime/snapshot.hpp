/// \file
/// Snapshots that the control thread publishes and traffic threads read without
/// waiting. Each traffic thread holds a view of its own; publishing posts the
/// new pointer to it, so neither side takes a lock.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/post.hpp>
#include <memory>
#include <vector>

namespace stoneport::runtime {

/// One thread's view of the newest snapshot it has been handed. Read it only on
/// the thread of the executor it was subscribed with.
template <class Value>
class SnapshotView {
 public:
  explicit SnapshotView(std::shared_ptr<const Value> initial) : current_(std::move(initial)) {}
  /// \return never null; hold the copy for as long as one decision takes.
  std::shared_ptr<const Value> get() const { return current_; }

 private:
  template <class>
  friend class SnapshotPublisher;
  std::shared_ptr<const Value> current_;
};

/// Owned by the control thread. Subscribe before the traffic threads start.
template <class Value>
class SnapshotPublisher {
 public:
  SnapshotPublisher() : current_(std::make_shared<const Value>()) {}

  std::shared_ptr<SnapshotView<Value>> subscribe(boost::asio::any_io_executor executor) {
    auto view = std::make_shared<SnapshotView<Value>>(current_);
    subscribers_.push_back({std::move(executor), view});
    return view;
  }

  void publish(std::shared_ptr<const Value> value) {
    current_ = std::move(value);
    for (const Subscriber& subscriber : subscribers_) {
      boost::asio::post(subscriber.executor,
                        [view = subscriber.view, value = current_] { view->current_ = value; });
    }
  }

  std::shared_ptr<const Value> current() const { return current_; }

 private:
  struct Subscriber {
    boost::asio::any_io_executor executor;
    std::shared_ptr<SnapshotView<Value>> view;
  };
  std::shared_ptr<const Value> current_;
  std::vector<Subscriber> subscribers_;
};

}  // namespace stoneport::runtime
