#include "records/table_mirror.hpp"

#include "http/deadline_timer.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::records {
namespace asio = boost::asio;

struct TableMirror::State {
  asio::any_io_executor executor;
  ports::RecordStore& store;
  std::string table;
  std::string partition;
  Listener listener;
  TableMirrorOptions options;
  Records records;
  core::Revision position;
  core::MonotonicTime last_answer{};
  core::MonotonicTime last_listing{};
  std::optional<ports::StoreTime> seen_at;
  bool loaded = false;
  bool stopped = false;

  void note_seen(const ports::RecordPage& page) {
    if (page.answered_at) {
      seen_at = std::max(seen_at.value_or(*page.answered_at), *page.answered_at);
    }
  }

  void take(ports::Record record) {
    if (record.partition != partition) {
      return;
    }
    const auto found = records.find(record.key);
    const bool is_known = found != records.end() && found->second.revision >= record.revision;
    if (is_known) {
      return;
    }
    if (record.removed) {
      records.erase(record.key);
    } else {
      std::string key = record.key;
      records[std::move(key)] = std::move(record);
    }
  }

  static bool same(const Records& left, const Records& right) {
    const auto equal = [](const auto& a, const auto& b) {
      return a.first == b.first && a.second.revision == b.second.revision;
    };
    return left.size() == right.size() &&
           std::equal(left.begin(), left.end(), right.begin(), equal);
  }

  /// \param page_revision a listing older than what is known is dropped
  void replace(Records listed, core::Revision page_revision) {
    last_listing = http::monotonic_now();
    if (page_revision < position) {
      return;
    }
    position = page_revision;
    const bool changed = !loaded || !same(records, listed);
    records = std::move(listed);
    loaded = true;
    if (changed) {
      listener(records);
    }
  }
};

TableMirror::TableMirror(asio::any_io_executor executor, ports::RecordStore& store,
                         std::string table, std::string partition, Listener listener,
                         TableMirrorOptions options)
    : state_(std::make_shared<State>(State{std::move(executor), store, std::move(table),
                                           std::move(partition), std::move(listener), options})) {}

TableMirror::~TableMirror() {
  stop();
}

void TableMirror::start() {
  runtime::start(state_->executor, "mirror of " + state_->table, run(state_));
}
void TableMirror::stop() {
  state_->stopped = true;
}
bool TableMirror::loaded() const {
  return state_->loaded;
}
const TableMirror::Records& TableMirror::records() const {
  return state_->records;
}
core::Revision TableMirror::position() const {
  return state_->position;
}
core::MonotonicTime TableMirror::last_answer() const {
  return state_->last_answer;
}
std::optional<ports::StoreTime> TableMirror::seen_at() const {
  return state_->seen_at;
}

asio::awaitable<void> TableMirror::run(std::shared_ptr<State> state) {
  while (!state->stopped) {
    const core::MonotonicTime now = http::monotonic_now();
    const bool must_list =
        !state->loaded || now - state->last_listing >= state->options.list_interval;
    bool answered = true;
    if (must_list) {
      answered = co_await list(state);
    } else {
      answered = co_await follow(state);
    }
    if (!answered && !state->stopped) {
      co_await runtime::sleep_for(state->options.retry_delay);
    }
  }
}

asio::awaitable<bool> TableMirror::list(std::shared_ptr<State> state) {
  Records listed;
  ports::RecordRange range{state->table, state->partition};
  core::Revision first_revision;
  ports::RecordPage first;  ///< without its records
  bool more = true;
  while (more && !state->stopped) {
    core::Result<ports::RecordPage> page =
        co_await state->store.read(range, state->options.read_timeout);
    if (!page) {
      co_return false;
    }
    state->last_answer = http::monotonic_now();
    // Changes behind the first page are told again by the feed.
    if (first_revision == core::Revision()) {
      first_revision = page->revision;
      first.answered_at = page->answered_at;
    }
    more = page->more && !page->records.empty();
    if (more) {
      range.first_key = ports::key_after(page->records.back().key);
    }
    for (ports::Record& record : page->records) {
      std::string key = record.key;
      listed[std::move(key)] = std::move(record);
    }
  }
  if (!state->stopped) {
    state->replace(std::move(listed), first_revision);
    state->note_seen(first);
  }
  co_return true;
}

asio::awaitable<bool> TableMirror::follow(std::shared_ptr<State> state) {
  core::Result<ports::RecordPage> page =
      co_await state->store.changes(state->table, state->position, state->options.feed_wait);
  if (state->stopped) {
    co_return true;
  }
  if (!page) {
    state->last_listing = {};
    co_return page.error().code == core::ErrorCode::kNotFound;
  }
  state->last_answer = http::monotonic_now();
  state->note_seen(*page);
  if (page->records.empty()) {
    co_return true;
  }
  state->last_listing = state->last_answer;
  for (ports::Record& record : page->records) {
    state->take(std::move(record));
  }
  state->position = std::max(state->position, page->revision);
  state->listener(state->records);
  if (state->options.feed_interval > core::Duration(0)) {
    co_await runtime::sleep_for(state->options.feed_interval);
  }
  co_return true;
}

}  // namespace stoneport::records
