/// \file
/// Contract of the model engine port: HttpModelEngine against faulty answers and streams, and
/// against the emulator's engine.
#include "emulator/engine_listener.hpp"
#include "platform_fixture.hpp"
#include "ports/http_model_engine.hpp"

namespace stoneport::platform_test {
namespace {
using ports::HttpEndpoint;
using ports::HttpModelEngine;

const core::StreamId kStream{"event/1/0-0/1/e1"};

ports::GenerationRequest generation(const std::string& stream = kStream.value(),
                                    std::uint64_t epoch = 1) {
  ports::GenerationRequest request;
  request.stream = core::StreamId(stream);
  request.model = core::ModelName("compounds");
  request.prompt = std::string(600, 'p');
  request.max_tokens = 64;
  request.epoch = core::Epoch(epoch);
  return request;
}

/// Everything that was read from a stream, and its end or error.
struct ReadStream {
  std::string text;
  std::uint64_t tokens = 0;
  std::uint64_t tokens_without_version = 0;
  std::optional<ports::StreamEnd> end;
  CallEnd error;
};

asio::awaitable<ReadStream> read_stream(core::Result<std::unique_ptr<ports::TokenStream>> opened) {
  ReadStream read;
  if (!opened) {
    read.error = opened.error();
    co_return read;
  }
  while (!read.end) {
    const core::Result<ports::StreamItem> item = co_await (*opened)->next();
    if (!item) {
      read.error = item.error();
      co_return read;
    }
    if (const auto* chunk = std::get_if<ports::TokenChunk>(&*item)) {
      read.text += chunk->text;
      read.tokens += chunk->token_count;
      read.tokens_without_version += chunk->version ? 0 : chunk->token_count;
    } else {
      read.end = std::get<ports::StreamEnd>(*item);
    }
  }
  co_return read;
}

asio::awaitable<ReadStream> generate(ports::ModelEngine& engine, ports::GenerationRequest request) {
  auto opened = co_await engine.generate(std::move(request), http_test::soon());
  co_return co_await read_stream(std::move(opened));
}
asio::awaitable<ReadStream> resume(ports::ModelEngine& engine, core::StreamId stream,
                                   std::uint64_t offset) {
  auto opened = co_await engine.resume(std::move(stream), offset, http_test::soon());
  co_return co_await read_stream(std::move(opened));
}
asio::awaitable<ReadStream> import_kv(ports::ModelEngine& engine, ports::KvExport exported,
                                      core::Address source) {
  auto opened =
      co_await engine.import_kv(std::move(exported), std::move(source), http_test::soon());
  co_return co_await read_stream(std::move(opened));
}

/// \return a call of the engine port; for a stream the call opens it without reading it.
template <class Function>
PortCall engine_call(const char* name, CallKind kind, Function function) {
  return {name, kind, [function](HttpEndpoint endpoint) -> asio::awaitable<CallEnd> {
            HttpModelEngine engine(endpoint);
            co_return co_await end_of(function(engine, endpoint.default_deadline()));
          }};
}

using Engine = HttpModelEngine;
using Deadline = core::MonotonicTime;

std::vector<PortCall> engine_calls() {
  return {
      engine_call("generate", CallKind::kEffect,
                  [](Engine& engine, Deadline deadline) {
                    return engine.generate(generation(), deadline);
                  }),
      engine_call(
          "resume", CallKind::kRead,
          [](Engine& engine, Deadline deadline) { return engine.resume(kStream, 3, deadline); }),
      engine_call("import", CallKind::kEffect,
                  [](Engine& engine, Deadline deadline) {
                    return engine.import_kv({kStream, "h", 1, 1}, {"127.0.0.1", 1}, deadline);
                  }),
      engine_call("cancel", CallKind::kEffect,
                  [](Engine& engine, Deadline) { return engine.cancel_stream(kStream); }),
      engine_call("priority", CallKind::kEffect,
                  [](Engine& engine, Deadline) { return engine.set_priority(kStream, -3); }),
      engine_call("list streams", CallKind::kRead,
                  [](Engine& engine, Deadline) { return engine.list_streams("event/"); }),
      engine_call("export", CallKind::kEffect,
                  [](Engine& engine, Deadline) { return engine.export_kv(kStream); }),
      engine_call("report", CallKind::kRead,
                  [](Engine& engine, Deadline) { return engine.report(); }),
      engine_call("cache events", CallKind::kRead,
                  [](Engine& engine, Deadline) { return engine.cache_events(5); }),
      engine_call("order", CallKind::kEffect,
                  [](Engine& engine, Deadline) {
                    return engine.order(ports::ChangeRole{ports::EngineRole::kDecode},
                                        core::Epoch(4));
                  }),
  };
}

const PortCall& call_named(const std::vector<PortCall>& calls, const std::string& name) {
  for (const PortCall& call : calls) {
    if (call.name == name) {
      return call;
    }
  }
  throw std::logic_error("no call " + name);
}

std::string event(const std::string& data) {
  return "data: " + data + "\n\n";
}
std::string chunk(std::uint64_t offset, std::uint64_t count) {
  return event(R"({"stream_id":")" + kStream.value() + R"(","offset":)" + std::to_string(offset) +
               R"(,"token_count":)" + std::to_string(count) + R"(,"text":"t","version":3})");
}
std::string finish(std::uint64_t count) {
  return event(R"({"stream_id":")" + kStream.value() +
               R"(","finish_reason":"stop","token_count":)" + std::to_string(count) + "}");
}
const std::string kDone = "data: [DONE]\n\n";

/// Two engines of the emulator on the test's thread.
struct EngineFixture {
  EngineFixture() : client(context) {
    weights.publish(core::PolicyName("compounds"), core::WeightVersion(1), 1000);
    weights.publish(core::PolicyName("compounds"), core::WeightVersion(2), 1000);
    settings.model = core::ModelName("compounds");
    settings.policy = core::PolicyName("compounds");
    settings.max_running = 2;
    settings.max_waiting = 1;
    for (const char* id : {"engine-1", "engine-2"}) {
      emulator::EngineWorld world{clock, weights, truth, metrics};
      engines.push_back(std::make_unique<emulator::EngineListener>(
          context.get_executor(), core::ReplicaId(id), settings, world));
      engines.back()->listen({"127.0.0.1", 0}).value();
      engines.back()->run();
    }
  }

  std::shared_ptr<ports::ModelEngine> engine(std::size_t number) {
    return factory.engine_at(engines[number]->address());
  }
  template <class Value>
  Value run(asio::awaitable<Value> task) {
    return http_test::run(context, std::move(task));
  }
  void freeze(bool frozen) {
    emulator::EngineFaults faults;
    faults.frozen = frozen;
    engines[0]->set_engine_faults(faults);
  }

  emulator::ModelClock clock{100};
  emulator::WeightSource weights{1'000'000'000};
  emulator::GroundTruth truth;
  core::Metrics metrics;
  asio::io_context context;
  emulator::EngineSettings settings;
  std::vector<std::unique_ptr<emulator::EngineListener>> engines;
  ClientFixture client;
  ports::HttpModelEngineFactory factory{client.client, client.time, test_settings()};
};

class ModelEngineContract : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ModelEngineContract);
  CPPUNIT_TEST(common_faults);
  CPPUNIT_TEST(bad_answers);
  CPPUNIT_TEST(bad_streams);
  CPPUNIT_TEST(refusals_are_typed);
  CPPUNIT_TEST(stream_is_generated_and_resumed);
  CPPUNIT_TEST(truncated_stream_is_never_complete);
  CPPUNIT_TEST(chunk_without_version_is_reported);
  CPPUNIT_TEST(stream_is_migrated_between_engines);
  CPPUNIT_TEST(owner_of_an_older_epoch_is_fenced);
  CPPUNIT_TEST(report_and_cache_events_are_read);
  CPPUNIT_TEST(one_client_per_address);
  CPPUNIT_TEST_SUITE_END();

  void common_faults() {
    check_common_faults(engine_calls());
    check_refused_connection(engine_calls());
  }

  void bad_answers() {
    struct Case {
      const char* call;
      std::vector<BadAnswer> answers;
    };
    const std::string report =
        R"({"incarnation":1,"model":"m","version":1,"running":0,"waiting":0,"max_running":1,)"
        R"("kv_used_tokens":0,"kv_capacity_tokens":1,"tokens_per_second":1,"swapping":false,)";
    const std::vector<Case> cases = {
        {"report",
         {{""},
          {"{}"},
          {report + R"("role":"mixed","leaving":false})"},
          {report + R"("role":"baker","leaving":false,"report_age_ms":1})"},
          {report + R"("role":"mixed","leaving":0,"report_age_ms":1})"},
          {report + R"("role":"mixed","leaving":false,"report_age_ms":-1})"},
          {report + R"("role":"mixed","leaving":false,"report_age_ms":1,"prefetched":"2"})"}}},
        {"list streams", {{"{}"}, {R"({"streams":[{"stream_id":"a","token_count":1}]})"}}},
        {"export", {{"{}"}, {R"({"handle":1,"size_bytes":1,"token_count":1})"}}},
        {"cache events",
         {{"{}"},
          {R"({"events":[],"latest_sequence":1,"gap":null})"},
          {R"({"events":[{"sequence":1,"prefix_hash":7,"stored":true}],)"
           R"("latest_sequence":1,"gap":false})"},
          {R"({"events":[{"sequence":1,"prefix_hash":"7x","stored":true}],)"
           R"("latest_sequence":1,"gap":false})"},
          {R"({"events":[{"sequence":1,"prefix_hash":"99999999999999999999","stored":true}],)"
           R"("latest_sequence":1,"gap":false})"}}},
    };
    const std::vector<PortCall> calls = engine_calls();
    for (const Case& test : cases) {
      check_bad_answers(call_named(calls, test.call), ErrorCode::kProtocol, test.answers);
    }
  }

  void bad_streams() {
    struct Case {
      const char* name;
      std::string body;
      ErrorCode code;
    };
    const std::string other =
        event(R"({"stream_id":"other","offset":0,"token_count":1,"text":"t","version":3})");
    const std::vector<Case> cases = {
        {"nothing", "", ErrorCode::kTruncated},
        {"no end", chunk(0, 2), ErrorCode::kTruncated},
        {"no end mark", chunk(0, 2) + finish(2), ErrorCode::kTruncated},
        {"ended within an event", chunk(0, 2) + "data: {", ErrorCode::kTruncated},
        {"end mark alone", kDone, ErrorCode::kProtocol},
        {"event after the end", chunk(0, 2) + finish(2) + chunk(2, 1), ErrorCode::kProtocol},
        {"no JSON", event("hello"), ErrorCode::kProtocol},
        {"another stream's event", other, ErrorCode::kProtocol},
        {"a hole", chunk(0, 2) + chunk(3, 1), ErrorCode::kProtocol},
        {"tokens twice", chunk(0, 2) + chunk(1, 2), ErrorCode::kProtocol},
        {"another total", chunk(0, 2) + finish(3) + kDone, ErrorCode::kProtocol},
        {"a huge count", chunk(0, 5'000'000'000), ErrorCode::kProtocol},
        {"too large an event", event(std::string(2 << 20, 'x')), ErrorCode::kTooLarge},
    };
    const PortCall read_all{"generate", CallKind::kEffect,
                            [](HttpEndpoint endpoint) -> asio::awaitable<CallEnd> {
                              HttpModelEngine engine(endpoint);
                              const ReadStream read = co_await generate(engine, generation());
                              co_return read.error;
                            }};
    for (const Case& test : cases) {
      check_end(test.name, test.code, call_scripted(read_all, {200, test.body, ""}));
    }
    const std::string whole = chunk(0, 2) + chunk(2, 1) + finish(3) + kDone;
    CPPUNIT_ASSERT(!call_scripted(read_all, {200, whole, ""}));
  }

  void refusals_are_typed() {
    const std::vector<PortCall> calls = engine_calls();
    struct Case {
      const char* call;
      unsigned status;
      const char* body;
      ErrorCode code;
    };
    const Case cases[] = {
        {"generate", 409, R"({"code":"fenced"})", ErrorCode::kFenced},
        {"generate", 409, R"({"code":"conflict"})", ErrorCode::kConflict},
        {"order", 409, R"({"code":"fenced"})", ErrorCode::kFenced},
        {"resume", 404, "{}", ErrorCode::kNotFound},
        {"priority", 404, "{}", ErrorCode::kNotFound},
    };
    for (const Case& test : cases) {
      check_end(test.call, test.code,
                call_scripted(call_named(calls, test.call), {test.status, test.body, ""}));
    }
    EngineFixture fixture;
    const auto unknown = fixture.run(resume(*fixture.engine(0), kStream, 0));
    check_end("unknown stream", ErrorCode::kNotFound, unknown.error);
    fixture.engines[0]->leave();
    const auto leaving = fixture.run(generate(*fixture.engine(0), generation()));
    check_end("leaving engine", ErrorCode::kUnavailable, leaving.error);
  }

  void stream_is_generated_and_resumed() {
    EngineFixture fixture;
    const ReadStream whole = fixture.run(generate(*fixture.engine(0), generation()));
    CPPUNIT_ASSERT_MESSAGE(describe(whole.error), whole.end.has_value());
    CPPUNIT_ASSERT(whole.tokens > 1 && whole.end->token_count == whole.tokens);
    const auto again = fixture.run(resume(*fixture.engine(0), kStream, 0));
    CPPUNIT_ASSERT(again.end && again.text == whole.text);
    const auto rest = fixture.run(resume(*fixture.engine(0), kStream, whole.tokens - 1));
    CPPUNIT_ASSERT(rest.end && rest.tokens == 1);
    CPPUNIT_ASSERT(whole.text.ends_with(rest.text));
    const auto listed = fixture.run(fixture.engine(0)->list_streams("event/1/"));
    CPPUNIT_ASSERT(listed && listed->size() == 1);
    CPPUNIT_ASSERT(listed->front().stream == kStream && listed->front().finished);
    CPPUNIT_ASSERT(listed->front().finish_reason == whole.end->reason);
    CPPUNIT_ASSERT(fixture.run(fixture.engine(0)->cancel_stream(kStream)));
    CPPUNIT_ASSERT(fixture.run(fixture.engine(0)->cancel_stream(core::StreamId("none"))));
  }

  void truncated_stream_is_never_complete() {
    EngineFixture fixture;
    for (const std::uint64_t bytes : {0, 1, 100}) {
      fixture.engines[0]->faults().cut_bodies = 1;
      fixture.engines[0]->faults().cut_after_bytes = bytes;
      const std::string stream = "cut/" + std::to_string(bytes);
      const auto cut = fixture.run(generate(*fixture.engine(0), generation(stream)));
      check_end(stream, ErrorCode::kTruncated, cut.error);
      const auto whole = fixture.run(resume(*fixture.engine(0), core::StreamId(stream), 0));
      CPPUNIT_ASSERT_MESSAGE(describe(whole.error), whole.end.has_value());
    }
  }

  void chunk_without_version_is_reported() {
    EngineFixture fixture;
    emulator::EngineFaults faults;
    faults.chunks_without_version = 1;
    fixture.engines[0]->set_engine_faults(faults);
    const ReadStream read = fixture.run(generate(*fixture.engine(0), generation()));
    CPPUNIT_ASSERT(read.end && read.tokens_without_version > 0);
  }

  void stream_is_migrated_between_engines() {
    EngineFixture fixture;
    fixture.freeze(true);
    auto opened = fixture.run(fixture.engine(0)->generate(generation(), http_test::soon()));
    CPPUNIT_ASSERT(opened);
    const auto exported = fixture.run(fixture.engine(0)->export_kv(kStream));
    CPPUNIT_ASSERT_MESSAGE(exported ? "" : exported.error().message, exported.has_value());
    const std::uint64_t before = exported->token_count;
    const auto moved =
        fixture.run(import_kv(*fixture.engine(1), *exported, fixture.engines[0]->address()));
    CPPUNIT_ASSERT_MESSAGE(describe(moved.error), moved.end.has_value());
    CPPUNIT_ASSERT_EQUAL(moved.end->token_count, before + moved.tokens);
    auto unknown = *exported;
    unknown.handle = "none";
    const auto refused =
        fixture.run(import_kv(*fixture.engine(1), unknown, fixture.engines[0]->address()));
    check_end("unknown handle", ErrorCode::kNotFound, refused.error);
  }

  void owner_of_an_older_epoch_is_fenced() {
    EngineFixture fixture;
    const std::shared_ptr<ports::ModelEngine> kept = fixture.engine(0);
    ports::ModelEngine& engine = *kept;
    CPPUNIT_ASSERT(fixture.run(generate(engine, generation("event/1/a", 5))).end);
    const auto stale = fixture.run(generate(engine, generation("event/1/b", 4)));
    check_end("older epoch", ErrorCode::kFenced, stale.error);

    const ports::LoadVersion load{core::PolicyName("compounds"), core::WeightVersion(2),
                                  ports::LoadVersion::RunningStreams::kContinue};
    CPPUNIT_ASSERT(fixture.run(engine.order(load, core::Epoch(3))));
    const auto order = fixture.run(engine.order(load, core::Epoch(2)));
    CPPUNIT_ASSERT(!order && order.error().code == ErrorCode::kFenced);
    auto version = fixture.run(engine.report());
    while (version && version->version != core::WeightVersion(2)) {
      version = fixture.run(engine.report());
    }
    CPPUNIT_ASSERT(version);
  }

  void report_and_cache_events_are_read() {
    EngineFixture fixture;
    const std::shared_ptr<ports::ModelEngine> kept = fixture.engine(0);
    ports::ModelEngine& engine = *kept;
    CPPUNIT_ASSERT(fixture.run(generate(engine, generation())).end);
    const auto report = fixture.run(engine.report());
    CPPUNIT_ASSERT(report && report->model == core::ModelName("compounds"));
    CPPUNIT_ASSERT(report->max_running == 2 && !report->prefetched);
    auto events = fixture.run(engine.cache_events(0));
    while (events && events->events.empty()) {
      events = fixture.run(engine.cache_events(0));
    }
    CPPUNIT_ASSERT(events && events->latest_sequence >= events->events.back().sequence);
    CPPUNIT_ASSERT(events->events.front().stored && events->events.front().prefix_hash != 0);
  }

  void one_client_per_address() {
    EngineFixture fixture;
    const auto first = fixture.engine(0);
    CPPUNIT_ASSERT(first == fixture.engine(0) && first != fixture.engine(1));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ModelEngineContract);

}  // namespace
}  // namespace stoneport::platform_test
