#include "records/table_follower.hpp"

#include <algorithm>
#include <map>
#include <unordered_set>
#include <utility>

#include "http/deadline_timer.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::records {
namespace asio = boost::asio;
namespace {

/// \return the last record of each key, in the order of arrival: a row that was removed and written
/// again within one answer exists.
std::vector<ports::Record> last_of_each_key(std::vector<ports::Record> records) {
  std::unordered_set<std::string> keys;
  std::vector<ports::Record> last;
  for (auto record = records.rbegin(); record != records.rend(); ++record) {
    if (keys.insert(record->key).second) {
      last.push_back(std::move(*record));
    }
  }
  std::reverse(last.begin(), last.end());
  return last;
}

std::size_t bytes_of(const std::vector<ports::Record>& records) {
  std::size_t bytes = 0;
  for (const ports::Record& record : records) {
    bytes += record.key.size() + record.value.size();
  }
  return bytes;
}

}  // namespace

struct TableFollower::State {
  struct Known {
    core::Revision revision;
    std::uint32_t listing = 0;  ///< the last listing that contained the row
  };
  using KnownRows = std::map<std::string, Known>;

  /// A listing in progress.
  struct Listing {
    std::string next_key;
    /// Revision of its first page; the feed reports later changes again.
    std::optional<core::Revision> revision;
    std::optional<ports::StoreTime> answered_at;
    bool has_reported = false;  ///< an earlier page differed from the known rows
  };

  /// A pass that reads the table again, from one key around to the same key.
  struct Reread {
    std::string first_key;
    std::string next_key;
    bool has_begun = false;      ///< a page has arrived: the feed reports all changes from then on
    bool has_wrapped = false;    ///< past the last key of the table
    bool is_overloaded = false;  ///< the feed has more changes than can be followed until next_at
    core::MonotonicTime next_at{};
  };

  asio::any_io_executor executor;
  ports::RecordStore& store;
  std::string table;
  std::string partition;
  Listener listener;
  TableFollowerOptions options;
  KnownRows rows;
  RereadOptions reread_options;
  std::optional<Listing> listing = Listing();
  std::optional<Reread> reread;
  std::uint32_t listings = 1;  ///< number started so far
  std::string next_check;      ///< key at which the next check starts
  std::size_t row_bytes = 0;   ///< mean of the last page read; zero before the first
  core::Revision position;
  core::MonotonicTime last_answer{};
  core::MonotonicTime last_report{};  ///< last report by the feed, a listing or a check
  std::optional<ports::StoreTime> seen_at;
  bool loaded = false;
  bool stopped = false;

  void note_seen(std::optional<ports::StoreTime> answered_at) {
    if (answered_at) {
      seen_at = std::max(seen_at.value_or(*answered_at), *answered_at);
    }
  }

  void begin_listing() {
    listing = Listing();
    ++listings;
  }

  /// Starts over after the history was lost or the feed has missed a change.
  void read_again() {
    if (!loaded || !reread_options.pause) {
      begin_listing();
      return;
    }
    Reread again;
    again.first_key = reread_options.first_key();
    again.next_key = again.first_key;
    // A history that is lost repeatedly costs no more pages than one that is lost once.
    again.next_at = reread ? reread->next_at : core::MonotonicTime();
    reread = std::move(again);
  }

  /// Records a row that exists. \return whether it is new or newer than the known one.
  bool record_row(const ports::Record& record) {
    Known& known = rows[record.key];
    known.listing = listings;
    const bool is_news = known.revision < record.revision;
    if (is_news) {
      known.revision = record.revision;
    }
    return is_news;
  }

  void record_page(std::vector<ports::Record> records, RowChanges& changes) {
    for (ports::Record& record : records) {
      if (record_row(record)) {
        changes.written.push_back(std::move(record));
      }
    }
  }

  void record_change(ports::Record record, RowChanges& changes) {
    if (!record.removed) {
      if (record_row(record)) {
        changes.written.push_back(std::move(record));
      }
      return;
    }
    const auto found = rows.find(record.key);
    if (found != rows.end() && found->second.revision < record.revision) {
      rows.erase(found);
      changes.removed.push_back(std::move(record.key));
    }
  }

  /// Removes the rows from \p first up to, but not including, \p last that the present listing did
  /// not contain.
  void drop_missing(KnownRows::iterator first, KnownRows::iterator last, RowChanges& changes) {
    while (first != last) {
      if (first->second.listing == listings) {
        ++first;
        continue;
      }
      changes.removed.push_back(first->first);
      first = rows.erase(first);
    }
  }

  /// Compares the known rows from \p first_key up to, but not including, \p end_key (all after \p
  /// first_key if that is empty) with those that the store has there now.
  RowChanges compare(std::vector<ports::Record> records, const std::string& first_key,
                     const std::string& end_key) {
    ++listings;
    RowChanges changes;
    record_page(std::move(records), changes);
    const auto end = end_key.empty() ? rows.end() : rows.lower_bound(end_key);
    drop_missing(rows.lower_bound(first_key), end, changes);
    return changes;
  }

  void finish_listing(RowChanges& changes) {
    drop_missing(rows.begin(), rows.end(), changes);
    position = std::max(position, *listing->revision);
    note_seen(listing->answered_at);
    listing.reset();
    loaded = true;
  }

  void note_page(const std::vector<ports::Record>& records) {
    if (!records.empty()) {
      row_bytes = bytes_of(records) / records.size();
    }
  }

  /// \return the number of rows to request for a page that is read again; zero for the store's
  /// maximum.
  std::size_t most_rows() const {
    if (!reread_options.most_page_bytes || row_bytes == 0) {
      return 0;
    }
    return std::max<std::size_t>(reread_options.most_page_bytes() / row_bytes, 1);
  }

  /// \return whether \p record shows a change that the feed has missed.
  bool was_missed(const ports::Record& record) const {
    const auto known = rows.find(record.key);
    const bool is_news = known == rows.end() || known->second.revision < record.revision;
    return is_news && record.revision <= position;
  }
};

TableFollower::TableFollower(asio::any_io_executor executor, ports::RecordStore& store,
                             std::string table, std::string partition, Listener listener,
                             TableFollowerOptions options)
    : state_(std::make_shared<State>(State{std::move(executor), store, std::move(table),
                                           std::move(partition), std::move(listener), options})) {}

TableFollower::~TableFollower() {
  stop();
}

void TableFollower::start() {
  runtime::start(state_->executor, "follower of " + state_->table, run(state_));
}
void TableFollower::stop() {
  state_->stopped = true;
}
void TableFollower::set_reread(RereadOptions options) {
  state_->reread_options = std::move(options);
}
void TableFollower::set_feed_interval(core::Duration interval) {
  state_->options.feed_interval = interval;
}
bool TableFollower::loaded() const {
  return state_->loaded;
}
core::Revision TableFollower::position() const {
  return state_->position;
}
core::MonotonicTime TableFollower::last_answer() const {
  return state_->last_answer;
}
std::optional<ports::StoreTime> TableFollower::seen_at() const {
  return state_->seen_at;
}

asio::awaitable<void> TableFollower::run(std::shared_ptr<State> state) {
  while (!state->stopped) {
    const core::MonotonicTime now = http::monotonic_now();
    const core::Duration quiet = now - state->last_report;
    bool answered = true;
    if (state->listing) {
      answered = co_await list_page(state);
    } else if (state->reread && now >= state->reread->next_at) {
      answered = co_await reread_page(state);
    } else if (state->reread && state->reread->is_overloaded) {
      co_await runtime::sleep_for(state->reread->next_at - now);
    } else if (quiet >= state->options.list_interval) {
      answered = co_await check_page(state);
    } else {
      answered = co_await follow(state);
    }
    if (!answered && !state->stopped) {
      co_await runtime::sleep_for(state->options.retry_delay);
    }
  }
}

asio::awaitable<bool> TableFollower::list_page(std::shared_ptr<State> state) {
  ports::RecordRange range{state->table, state->partition, state->listing->next_key};
  core::Result<ports::RecordPage> page =
      co_await state->store.read(range, state->options.read_timeout);
  if (!page) {
    co_return false;
  }
  state->last_answer = http::monotonic_now();
  state->last_report = state->last_answer;
  if (state->stopped) {
    co_return true;
  }
  State::Listing& listing = *state->listing;
  if (!listing.revision) {
    if (page->revision < state->position) {
      state->begin_listing();  // older than the known state
      co_return false;
    }
    listing.revision = page->revision;
    listing.answered_at = page->answered_at;
  }
  state->note_page(page->records);
  RowChanges changes;
  changes.more = page->more && !page->records.empty();
  if (changes.more) {
    listing.next_key = ports::key_after(page->records.back().key);
  }
  state->record_page(std::move(page->records), changes);
  listing.has_reported |= !changes.empty();
  const bool ends_listing = !changes.more && (listing.has_reported || !state->loaded);
  if (!changes.more) {
    state->finish_listing(changes);
  }
  if (ends_listing || !changes.empty()) {
    state->listener(std::move(changes));
  }
  co_return true;
}

asio::awaitable<bool> TableFollower::check_page(std::shared_ptr<State> state) {
  ports::RecordRange range{state->table, state->partition, state->next_check};
  core::Result<ports::RecordPage> page =
      co_await state->store.read(range, state->options.read_timeout);
  if (!page) {
    co_return false;
  }
  state->last_answer = http::monotonic_now();
  state->last_report = state->last_answer;
  if (state->stopped || page->revision < state->position) {
    co_return true;
  }
  const bool has_more = page->more && !page->records.empty();
  const bool is_whole = state->next_check.empty() && !has_more;
  const std::string first_key = std::exchange(state->next_check, std::string());
  if (has_more) {
    state->next_check = ports::key_after(page->records.back().key);
  }
  const bool was_missed =
      std::any_of(page->records.begin(), page->records.end(),
                  [&](const ports::Record& row) { return state->was_missed(row); });
  RowChanges changes = state->compare(std::move(page->records), first_key, state->next_check);
  const bool is_feed_wrong = was_missed || !changes.removed.empty();
  if (is_whole) {
    state->position = page->revision;
    state->note_seen(page->answered_at);
  } else if (is_feed_wrong) {
    state->read_again();
  }
  if (!changes.empty()) {
    state->listener(std::move(changes));
  }
  co_return true;
}

asio::awaitable<bool> TableFollower::reread_page(std::shared_ptr<State> state) {
  ports::RecordRange range{state->table, state->partition, state->reread->next_key};
  if (state->reread->has_wrapped) {
    range.end_key = state->reread->first_key;
  }
  range.most_rows = state->most_rows();
  const core::MonotonicTime asked_at = http::monotonic_now();
  core::Result<ports::RecordPage> page =
      co_await state->store.read(range, state->options.read_timeout);
  if (!page) {
    co_return false;
  }
  state->last_answer = http::monotonic_now();
  state->last_report = state->last_answer;
  if (state->stopped) {
    co_return true;
  }
  if (page->revision < state->position) {
    co_return false;  // older than the known state
  }
  State::Reread& reread = *state->reread;
  if (!reread.has_begun) {
    reread.has_begun = true;
    state->position = page->revision;
  }
  reread.is_overloaded = false;
  const std::size_t bytes = bytes_of(page->records);
  state->note_page(page->records);
  const bool has_more = page->more && !page->records.empty();
  const std::string next_key =
      has_more ? ports::key_after(page->records.back().key) : range.end_key;
  RowChanges changes = state->compare(std::move(page->records), range.first_key, next_key);
  const bool wraps = !has_more && !reread.has_wrapped && !reread.first_key.empty();
  if (has_more || wraps) {
    reread.has_wrapped |= wraps;
    reread.next_key = next_key;
    const core::Duration took = state->last_answer - asked_at;
    reread.next_at = state->last_answer + state->reread_options.pause(bytes, took);
  } else {
    state->reread.reset();
  }
  if (!changes.empty()) {
    state->listener(std::move(changes));
  }
  co_return true;
}

asio::awaitable<bool> TableFollower::follow(std::shared_ptr<State> state) {
  core::Duration wait = state->options.feed_wait;
  if (state->reread) {
    const core::Duration until_next = state->reread->next_at - http::monotonic_now();
    wait = std::clamp(until_next, core::Duration(0), wait);
  }
  core::Result<ports::RecordPage> page =
      co_await state->store.changes(state->table, state->position, wait);
  if (state->stopped) {
    co_return true;
  }
  if (!page) {
    const bool is_history_lost = page.error().code == core::ErrorCode::kNotFound;
    const bool was_reading_again = state->reread.has_value();
    if (is_history_lost) {
      state->read_again();
    } else {
      state->last_report = {};  // a read detects the return of the store sooner
    }
    co_return is_history_lost && !was_reading_again;
  }
  state->last_answer = http::monotonic_now();
  state->note_seen(page->answered_at);
  if (page->records.empty()) {
    co_return true;
  }
  state->last_report = state->last_answer;
  std::erase_if(page->records,
                [&](const ports::Record& record) { return record.partition != state->partition; });
  RowChanges changes;
  for (ports::Record& record : last_of_each_key(std::move(page->records))) {
    state->record_change(std::move(record), changes);
  }
  state->position = std::max(state->position, page->revision);
  if (!changes.empty()) {
    state->listener(std::move(changes));
  }
  const bool is_behind = page->more && state->reread_options.pause;
  if (is_behind) {
    const bool was_reading_again = state->reread.has_value();
    state->read_again();
    state->reread->is_overloaded = was_reading_again;
    co_return true;
  }
  if (state->options.feed_interval > core::Duration(0)) {
    co_await runtime::sleep_for(state->options.feed_interval);
  }
  co_return true;
}

}  // namespace stoneport::records
