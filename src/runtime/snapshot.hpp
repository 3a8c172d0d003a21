/// \file
/// Immutable snapshots that the control thread publishes to traffic threads without locks: each
/// traffic thread has its own view, and publishing posts the new pointer to that thread.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/post.hpp>
#include <memory>
#include <vector>

namespace stoneport::runtime {

/// A thread's view of the latest snapshot delivered to it. Read it only on the thread of the
/// executor passed to subscribe().
template <class Value>
class SnapshotView {
 public:
  explicit SnapshotView(std::shared_ptr<const Value> initial) : current_(std::move(initial)) {}
  /// \return the snapshot, never null. Use the same copy for the whole of a decision.
  std::shared_ptr<const Value> get() const { return current_; }

 private:
  template <class>
  friend class SnapshotPublisher;
  std::shared_ptr<const Value> current_;
};

/// Publishes snapshots. Use it on the control thread; subscribe before the traffic threads start.
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
