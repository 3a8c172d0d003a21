/// \file
/// The routes of EngineListener that carry the tokens of a stream.
#include <algorithm>
#include <boost/asio/as_tuple.hpp>

#include "core/json_text.hpp"
#include "emulator/engine_listener.hpp"
#include "emulator/http_answers.hpp"
#include "http/server_sent_events.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::emulator {
namespace {

namespace asio = boost::asio;
using core::ErrorCode;
using nlohmann::json;

constexpr std::size_t kLongestRequest = std::size_t{16} << 20;
constexpr core::Duration kExportFetchTimeout = std::chrono::seconds(5);

struct CompletionBody {
  StreamRequest request;
  std::string model;
};
template <class Visitor>
void visit_fields(Visitor& visitor, CompletionBody& body) {
  visit_fields(visitor, body.request);
  visitor("model", body.model);
}

std::string end_events(const EngineStream& stream) {
  const json end = {{"stream_id", stream.request.stream.value()},
                    {"finish_reason", finish_name(stream.finish)},
                    {"token_count", stream.generated}};
  return http::format_event(core::write_json(end)) + http::format_event("[DONE]");
}

}  // namespace

void EngineListener::wake_readers() {
  for (Reader* reader : readers_) {
    if (is_ready(*reader)) {
      reader->timer.cancel();
    }
  }
}

bool EngineListener::is_ready(const Reader& reader) const {
  const EngineStream* stream = model_->find(reader.stream);
  if (stream == nullptr || stream->state == StreamState::kFinished) {
    return true;
  }
  return stream->generated >= reader.offset + world_.flush_tokens;
}

asio::awaitable<void> EngineListener::complete(http::BodySource& body,
                                               http::ResponseWriter& response) {
  const auto text = co_await http::read_whole(body, kLongestRequest);
  if (!text) {
    co_return;
  }
  leave_watch_.note_work(time_.now());
  auto parsed = parse_json<CompletionBody>(*text, UnknownKeys::kIgnore);
  core::Result<void> started;
  if (!parsed) {
    started = parsed.error();
  } else if (parsed->request.stream.empty()) {
    started = invalid_argument("stream_id is missing");
  } else if (parsed->model != settings_.model.value()) {
    started =
        core::make_error(ErrorCode::kNotFound, "this engine serves " + settings_.model.value());
  } else {
    started = model_->start(parsed->request, world_.clock.now());
  }
  if (!started) {
    http::Response answer = error_answer(started.error());
    co_await http::respond(response, std::move(answer));
    co_return;
  }
  wake();
  co_await send_stream(parsed->request.stream, 0, response);
}

asio::awaitable<void> EngineListener::resume(const http::RequestHead& request,
                                             core::StreamId stream,
                                             http::ResponseWriter& response) {
  const std::uint64_t offset = number_or(http::query_parameter(request.target, "offset"), 0);
  if (model_->find(stream) == nullptr) {
    const core::Error error = core::make_error(ErrorCode::kNotFound, "no such stream");
    http::Response answer = error_answer(error);
    co_await http::respond(response, std::move(answer));
    co_return;
  }
  co_await send_stream(std::move(stream), offset, response);
}

asio::awaitable<void> EngineListener::import(core::StreamId stream, http::BodySource& body,
                                             http::ResponseWriter& response) {
  const auto text = co_await http::read_whole(body, kLongestRequest);
  if (!text) {
    co_return;
  }
  const auto source = parse_json<ImportBody>(*text);
  core::Result<void> imported;
  if (!source) {
    imported = source.error();
  } else {
    auto exported = co_await fetch_export(*source);
    if (!exported) {
      imported = exported.error();
    } else if (exported->request.stream != stream) {
      imported = invalid_argument("the handle is of another stream");
    } else {
      imported = model_->import_stream(std::move(*exported), world_.clock.now());
    }
  }
  if (!imported) {
    http::Response answer = error_answer(imported.error());
    co_await http::respond(response, std::move(answer));
    co_return;
  }
  wake();
  co_await send_stream(std::move(stream), source->offset, response);
}

asio::awaitable<core::Result<ExportedStream>> EngineListener::fetch_export(
    const ImportBody& source) {
  http::Request request;
  request.head.target = "/v1/exports/" + http::percent_encode(source.handle);
  http::SendOptions options;
  options.deadline = core::SystemTimeSource().now() + kExportFetchTimeout;
  const core::Address address{source.source_ip, source.source_port};
  const auto answer = co_await client_.fetch(address, std::move(request), options);
  if (!answer) {
    co_return core::make_error(ErrorCode::kUnavailable, "the source cannot be reached");
  }
  if (answer->head.status != 200) {
    co_return core::make_error(ErrorCode::kNotFound, "the source has no such export");
  }
  auto exported = parse_json<ExportedStream>(answer->body);
  if (exported) {
    const double rate = static_cast<double>(settings_.kv_transfer_bytes_per_second);
    const double seconds = static_cast<double>(exported->size_bytes) / rate;
    co_await runtime::sleep_for(core::from_seconds(seconds / world_.clock.scale()));
  }
  co_return exported;
}

asio::awaitable<void> EngineListener::send_stream(core::StreamId stream, std::uint64_t offset,
                                                  http::ResponseWriter& response) {
  http::ResponseHead head;
  head.headers.set("Content-Type", "text/event-stream");
  const auto sent_head = co_await response.start(std::move(head), std::nullopt);
  if (!sent_head) {
    co_return;
  }
  const std::uint64_t incarnation = incarnation_;
  Reader reader{stream, offset, asio::steady_timer(executor())};
  const auto place = readers_.insert(readers_.end(), &reader);
  for (;;) {
    const EngineStream* found = incarnation == incarnation_ ? model_->find(stream) : nullptr;
    if (found == nullptr || response.client_gone()) {
      break;
    }
    const bool finished = found->state == StreamState::kFinished;
    std::string events = take_chunks(*found, reader.offset);
    if (finished) {
      events += end_events(*found);
    }
    core::Result<void> sent;
    if (!events.empty()) {
      sent = co_await response.write(events);
    }
    if (sent && finished) {
      co_await response.finish();
    }
    if (!sent || finished) {
      break;
    }
    if (!is_ready(reader)) {
      reader.timer.expires_at(asio::steady_timer::time_point::max());
      co_await reader.timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
  }
  readers_.erase(place);
}

std::string EngineListener::take_chunks(const EngineStream& stream, std::uint64_t& offset) {
  std::string events;
  std::uint64_t span_begin = 0;
  for (const VersionSpan& span : stream.spans) {
    const std::uint64_t span_end = span_begin + span.token_count;
    const std::uint64_t from = std::max(offset, span_begin);
    if (from < span_end) {
      json chunk = {{"stream_id", stream.request.stream.value()},
                    {"offset", from},
                    {"token_count", span_end - from},
                    {"text", stream_text(stream, from, span_end)}};
      if (!model_->take_version_loss()) {
        chunk["version"] = span.version.value();
      }
      events += http::format_event(core::write_json(chunk));
      offset = span_end;
    }
    span_begin = span_end;
  }
  return events;
}

}  // namespace stoneport::emulator
