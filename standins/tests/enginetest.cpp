#include "contract.h"

#include <godwit/ports/cacheblocks.h>
#include <godwit/ports/httpengine.h>
#include <godwit/ports/sseparser.h>
#include <godwit/standin/enginestandin.h>

using namespace godwit;
using namespace godwit::standin;
using namespace std::chrono_literals;

namespace {

const ModelPin Base{ModelId("m"), AdapterId(), VersionId("1")};
const ModelPin Next{ModelId("m"), AdapterId(), VersionId("2")};
const ModelPin Adapter{ModelId("m"), AdapterId("a"), VersionId("7")};

EngineConfig fastEngine()
{
    EngineConfig config;
    config.name = "e1";
    config.pin = Base;
    config.tokensPerSecond = 1000;
    config.prefillTokensPerSecond = 1e6;
    config.blockCharacters = 8;
    config.charactersPerToken = 2;
    config.restartDelay = 1ms;
    config.poison = "POISON";
    return config;
}

/// Collects the events and the result of a streamed response.
struct Stream
{
    std::vector<EngineEvent> events;
    std::optional<Outcome<EngineUsage>> end;
    std::shared_ptr<CallHandle> call;

    std::string text() const
    {
        std::string whole;
        for (const EngineEvent &event : events)
            whole += event.text;
        return whole;
    }
    ResultCode code() const { return codeOf(*end); }
};

struct Fixture : Contract<EngineStandin, HttpEngine, EngineConfig>
{
    explicit Fixture(const EngineConfig &config = fastEngine())
        : Contract(config)
    {}

    static EngineCall call(const std::string &prompt, std::uint64_t tokens)
    {
        EngineCall call;
        call.request = RequestId("r-" + prompt);
        call.attempt = AttemptId{1};
        call.pin = Base;
        call.path = "/v1/completions";
        call.body = boost::json::serialize(
                boost::json::object{{"model", "m"}, {"prompt", prompt}, {"max_tokens", tokens}});
        return call;
    }

    std::shared_ptr<Stream> start(const EngineCall &call)
    {
        auto stream = std::make_shared<Stream>();
        stream->call = port->run(
                call, {[stream](EngineEvent event) { stream->events.push_back(std::move(event)); },
                       [stream](Outcome<EngineUsage> outcome) { stream->end = outcome; }});
        return stream;
    }

    std::shared_ptr<Stream> finish(std::shared_ptr<Stream> stream)
    {
        runUntil(io, [&] { return stream->end.has_value(); });
        return stream;
    }

    std::shared_ptr<Stream> run(const EngineCall &call) { return finish(start(call)); }

    void waitForEvents(const std::shared_ptr<Stream> &stream, std::size_t n)
    {
        runUntil(io, [&] { return stream->events.size() >= n; });
    }

    Outcome<std::string> order(const EngineOrder &order)
    {
        return await<std::string>([&](auto done) { port->order(order, done); });
    }
    ResultCode put(const std::string &load, std::uint64_t offset, const std::string &bytes)
    {
        return codeOf(await<std::uint64_t>(
                [&](auto done) { port->putWeights(load, offset, bytes, done); }));
    }
    Outcome<EngineState> finishLoad(const std::string &load)
    {
        return await<EngineState>([&](auto done) { port->finishLoad(load, done); });
    }
    Outcome<EngineState> readState()
    {
        return await<EngineState>([&](auto done) { port->readState(done); });
    }
    CacheEvents cacheEvents(std::uint64_t from)
    {
        return valueOf(await<CacheEvents>([&](auto done) { port->readCacheEvents(from, done); }));
    }
};

const std::string Weights = "the bytes of all weights";

EngineOrder loadOrder(const ModelPin &pin, std::uint64_t fencing = 1)
{
    EngineOrder order;
    order.author = "host-" + std::to_string(fencing);
    order.fencing = {fencing};
    order.pin = pin;
    order.baseVersion = Base.version;
    order.digest = Digest::of(Weights);
    order.bytes = Weights.size();
    return order;
}

std::string expectedText(const std::string &prompt, std::uint64_t first, std::uint64_t end)
{
    std::string text;
    for (std::uint64_t i = first; i < end; ++i)
        text += engineToken(Base, prompt, i);
    return text;
}

} // namespace

TEST_CASE("Engine streams")
{
    Fixture f;

    SECTION("a response is complete and names its origin")
    {
        const auto stream = f.run(Fixture::call("hello", 20));
        REQUIRE(stream->code() == ResultCode::Ok);
        CHECK(stream->text() == expectedText("hello", 0, 20));
        CHECK(stream->events.front().engine == BackendId("e1"));
        CHECK(stream->events.back().finishReason == "stop");
        CHECK(valueOf(*stream->end).completionTokens == 20);
        REQUIRE(f.standin.engineLedger().runs.size() == 1);
        CHECK(f.standin.engineLedger().runs[0].outcome == RunOutcome::Finished);
        CHECK(f.standin.engineLedger().runs[0].request == RequestId("r-hello"));
    }
    SECTION("a chat response")
    {
        EngineCall call = Fixture::call("x", 3);
        call.path = "/v1/chat/completions";
        call.body = R"({"model":"m","max_tokens":3,"messages":[{"role":"user","content":"hi"}]})";
        CHECK(f.run(call)->text() == expectedText("user\nhi\n", 0, 3));
    }
    // Guards against lost or repeated tokens when a stream is resumed on another engine.
    SECTION("resume from a position, on another engine")
    {
        EngineCall call = Fixture::call("hello", 20);
        call.resumePosition = 12;
        Fixture other;
        const auto stream = other.run(call);
        CHECK(stream->text() == expectedText("hello", 12, 20));
        CHECK(stream->events.front().position == 12);
    }
    SECTION("a cancelled request frees its slot")
    {
        const auto stream = f.start(Fixture::call("long", 1'000'000));
        f.waitForEvents(stream, 1);
        stream->call->cancel();
        f.finish(stream);
        CHECK(stream->code() == ResultCode::CallCancelled);
        runUntil(f.io, [&] { return f.standin.state().running == 0; });
        CHECK(f.standin.engineLedger().runs[0].outcome == RunOutcome::Cancelled);
    }
    // Guards against unbounded memory use for a caller that does not read.
    SECTION("a paused caller holds the engine back")
    {
        EngineConfig config = fastEngine();
        config.tokensPerSecond = 1e7;
        Fixture fast(config);
        const auto stream = fast.start(Fixture::call("long", 100'000));
        stream->call->pause();
        runUntil(fast.io, [&] { return fast.standin.state().running == 1; });
        fast.io.run_for(50ms);
        CHECK(fast.standin.engineLedger().runs[0].tokens < 100'000);
        stream->call->resume();
        fast.finish(stream);
        CHECK(stream->events.size() == 100'000);
    }
    SECTION("a request for weights that are not loaded is rejected")
    {
        EngineCall call = Fixture::call("hello", 5);
        call.pin = GENERATE(Next, Adapter);
        CHECK(f.run(call)->code() == ResultCode::NotFound);
        CHECK(f.standin.engineLedger().runs[0].outcome == RunOutcome::Dropped);
    }
    SECTION("a body that is not JSON is rejected")
    {
        EngineCall call = Fixture::call("hello", 5);
        call.body = "text";
        CHECK(f.run(call)->code() == ResultCode::PlatformRejected);
    }
}

TEST_CASE("Engine with one slot")
{
    EngineConfig config = fastEngine();
    config.slots = 1;
    config.queueLimit = 2;
    Fixture f(config);
    const auto first = f.start(Fixture::call("first", 1'000'000));
    f.waitForEvents(first, 1);
    EngineCall low = Fixture::call("low", 2);
    EngineCall high = Fixture::call("high", 2);
    high.priority = 5;
    const auto lowStream = f.start(low);
    runUntil(f.io, [&] { return f.standin.engineLedger().runs.size() == 2; });
    const auto highStream = f.start(high);
    runUntil(f.io, [&] { return f.standin.engineLedger().runs.size() == 3; });

    SECTION("a full queue rejects requests without running them")
    {
        CHECK(f.run(Fixture::call("more", 2))->code() == ResultCode::EngineBusy);
        CHECK(f.standin.engineLedger().runs[3].outcome == RunOutcome::Dropped);
    }
    SECTION("the higher priority runs first")
    {
        first->call->cancel();
        f.finish(highStream);
        CHECK(lowStream->events.empty());
        f.finish(lowStream);
        CHECK(lowStream->code() == ResultCode::Ok);
    }
    SECTION("the load report")
    {
        const bool lagging = GENERATE(false, true);
        f.setFault({"load_lag", true, 1, -1, lagging ? 3600.0 : 0.0, ""});
        const auto load = valueOf(f.await<EngineLoad>([&](auto done) { f.port->readLoad(done); }));
        CHECK(load.age == (lagging ? Duration(1h) : Duration(0)));
        if (!lagging) {
            CHECK(load.running == 1);
            CHECK(load.queued == 2);
            CHECK(load.queuedPromptTokens == 1 + 2);
        }
    }
}

TEST_CASE("Engine without load report")
{
    EngineConfig config = fastEngine();
    config.reportsLoad = false;
    Fixture f(config);
    CHECK(codeOf(f.await<EngineLoad>([&](auto done) { f.port->readLoad(done); }))
          == ResultCode::NotFound);
}

// Guards against passing on a response that mixes versions, requests or positions.
TEST_CASE("Engine faults in a stream")
{
    struct Row
    {
        const char *fault;
        ResultCode code;
    };
    const auto row = GENERATE(Row{"mixed_reply", ResultCode::ReplyMixed},
                              Row{"crossed_reply", ResultCode::ReplyMixed},
                              Row{"gap_reply", ResultCode::ReplyMixed},
                              Row{"cut_stream", ResultCode::PlatformReplyLost},
                              Row{"silent_stream", ResultCode::PlatformTimeout});
    INFO(row.fault);
    Fixture f;
    f.setFault({row.fault, true, 1, 1, 4, ""});
    EngineCall call = Fixture::call("hello", 20);
    const bool silent = row.code == ResultCode::PlatformTimeout;
    if (silent)
        call.firstTokenTimeout = 200ms;
    const auto stream = f.run(call);
    CHECK(stream->code() == row.code);
    // On a busy machine the short timeout may expire before the fourth token.
    const std::string delivered = expectedText("hello", 0, 4);
    CHECK((silent ? delivered.starts_with(stream->text()) : stream->text() == delivered));
    call.firstTokenTimeout = 15s;
    f.setFault({row.fault, false, 1, -1, 0, ""});
    // The next request uses a new connection and succeeds.
    CHECK(f.run(call)->text() == expectedText("hello", 0, 20));
}

// Guards against requests that hang after a crash, or whose truncated response counts as complete.
TEST_CASE("Engine crash")
{
    EngineConfig config = fastEngine();
    config.restartLoaded = GENERATE(false, true);
    Fixture f(config);
    const auto other = f.start(Fixture::call("other", 1'000'000));
    f.waitForEvents(other, 1);
    const auto poison = f.run(Fixture::call("POISON", 5));
    f.finish(other);
    CHECK(poison->code() == ResultCode::PlatformReplyLost);
    CHECK(other->code() == ResultCode::PlatformReplyLost);
    CHECK(f.standin.engineLedger().runs[0].outcome == RunOutcome::Crashed);
    CHECK(f.standin.engineLedger().runs[1].outcome == RunOutcome::Crashed);
    runUntil(f.io, [&] { return f.standin.isListening(); });
    const auto state = valueOf(f.readState());
    CHECK(state.boots == 2);
    CHECK(state.loaded.empty() != config.restartLoaded);
}

TEST_CASE("Engine that is down refuses connections")
{
    EngineConfig config = fastEngine();
    config.restartDelay = 1h;
    Fixture f(config);
    f.setFault({"crash", true, 1, -1, 0, ""});
    // The listening port is closed by a handler of the event loop.
    f.io.restart();
    f.io.poll();
    f.io.restart();
    f.io.poll();
    CHECK(f.run(Fixture::call("x", 1))->code() == ResultCode::PlatformUnreachable);
    CHECK(f.standin.engineLedger().runs.empty());
}

TEST_CASE("Engine loads")
{
    EngineConfig config = fastEngine();
    config.checkFencing = GENERATE(true, false);
    Fixture f(config);

    SECTION("chunks in any order, served after the digest is verified")
    {
        const std::string load = valueOf(f.order(loadOrder(Next)));
        CHECK(f.put(load, 10, Weights.substr(10)) == ResultCode::Ok);
        CHECK(valueOf(f.readState()).loadedBytes == Weights.size() - 10);
        CHECK(valueOf(f.readState()).loaded == std::vector{Base});
        CHECK(f.put(load, 0, Weights.substr(0, 12)) == ResultCode::Ok);
        const auto state = valueOf(f.finishLoad(load));
        CHECK(state.loaded == std::vector{Next});
        CHECK(state.author == "host-1");
        CHECK(state.loading.empty());
        EngineCall call = Fixture::call("x", 2);
        call.pin = Next;
        CHECK(f.run(call)->code() == ResultCode::Ok);
    }
    // Guards against incomplete or corrupt weights being served.
    SECTION("incomplete or corrupt weights")
    {
        struct Row
        {
            std::string bytes;
            const char *fault;
        };
        const auto row = GENERATE(Row{Weights.substr(1), "slow"},
                                  Row{std::string(Weights.size(), 'x'), "slow"},
                                  Row{Weights, "refuse_weights"});
        const std::string load = valueOf(f.order(loadOrder(Next)));
        CHECK(f.put(load, 0, row.bytes) == ResultCode::Ok);
        f.setFault({row.fault, true, 1, 1, 0, ""});
        CHECK(codeOf(f.finishLoad(load)) == ResultCode::WeightsRefused);
        CHECK(valueOf(f.readState()).loaded == std::vector{Base});
        CHECK(f.put(load, 0, Weights) == ResultCode::NotFound);
    }
    SECTION("an order with an older fencing number")
    {
        const std::string load = valueOf(f.order(loadOrder(Next, 5)));
        const auto outcome = f.order(loadOrder(Base, 4));
        CHECK(codeOf(outcome) == (config.checkFencing ? ResultCode::OrderStale : ResultCode::Ok));
        REQUIRE(f.standin.engineLedger().orders.size() == 2);
        CHECK(f.standin.engineLedger().orders[1].accepted == !config.checkFencing);
        CHECK(f.standin.engineLedger().orders[1].order.author == "host-4");
        CHECK(f.standin.engineLedger().orders[1].order.fencing == FencingNumber{4});
        // An accepted load order cancels the previous load.
        CHECK(f.put(load, 0, Weights)
              == (config.checkFencing ? ResultCode::Ok : ResultCode::NotFound));
    }
    SECTION("an adapter loads only on its base")
    {
        EngineOrder order = loadOrder(Adapter);
        order.baseVersion = Next.version;
        CHECK(codeOf(f.order(order)) == ResultCode::NotFound);
        order.baseVersion = Base.version;
        const std::string load = valueOf(f.order(order));
        CHECK(f.put(load, 0, Weights) == ResultCode::Ok);
        CHECK(valueOf(f.finishLoad(load)).loaded == std::vector{Base, Adapter});
        order.kind = EngineOrderKind::Unload;
        CHECK(codeOf(f.order(order)) == ResultCode::Ok);
        CHECK(valueOf(f.readState()).loaded == std::vector{Base});
    }
    SECTION("roles")
    {
        EngineOrder order;
        order.kind = EngineOrderKind::SetRole;
        order.role = "decode";
        CHECK(codeOf(f.order(order)) == ResultCode::Ok);
        CHECK(valueOf(f.readState()).role == "decode");
        order.role = "unknown";
        CHECK(codeOf(f.order(order)) == ResultCode::PlatformRejected);
    }
    SECTION("an abandoned load")
    {
        const std::string load = valueOf(f.order(loadOrder(Next)));
        CHECK(codeOf(f.await<Done>([&](auto done) { f.port->abandonLoad(load, done); }))
              == ResultCode::Ok);
        CHECK(codeOf(f.finishLoad(load)) == ResultCode::NotFound);
    }
    // Guards against replacing the weights of a running request; with the fault swap_under_load the
    // adapter detects the replacement.
    SECTION("weights in use")
    {
        const auto stream = f.start(Fixture::call("long", 1'000'000));
        f.waitForEvents(stream, 1);
        const std::string load = valueOf(f.order(loadOrder(Next)));
        CHECK(f.put(load, 0, Weights) == ResultCode::Ok);
        CHECK(codeOf(f.finishLoad(load)) == ResultCode::EngineBusy);
        CHECK_FALSE(stream->end.has_value());
        f.setFault({"swap_under_load", true, 1, -1, 0, ""});
        CHECK(codeOf(f.finishLoad(load)) == ResultCode::Ok);
        f.finish(stream);
        CHECK(stream->code() == ResultCode::ReplyMixed);
    }
}

TEST_CASE("Engine prefix cache")
{
    EngineConfig config = fastEngine();
    config.cacheBlocks = 3;
    const std::string prompt = "0123456789abcdefgh"; // Two full blocks of eight characters.
    const auto blocks = cacheBlocks(prompt, config.blockCharacters);

    SECTION("reuse, events and eviction")
    {
        Fixture f(config);
        CHECK(valueOf(*f.run(Fixture::call(prompt, 1))->end).cachedTokens == 0);
        CHECK(valueOf(*f.run(Fixture::call(prompt, 1))->end).cachedTokens == 8);
        const auto events = f.cacheEvents(1);
        REQUIRE(events.events.size() == 2);
        CHECK(events.events[1] == CacheEvent{2, CacheEventKind::Stored, Base, blocks[1]});
        CHECK(events.next == 3);
        f.run(Fixture::call("another prompt with more", 1));
        const auto more = f.cacheEvents(events.next);
        CHECK(std::ranges::count(more.events, CacheEventKind::Evicted, &CacheEvent::kind) == 2);
        // The end of a chain is evicted before its start.
        CHECK(std::ranges::find(more.events, blocks[1], &CacheEvent::block)->kind
              == CacheEventKind::Evicted);
    }
    SECTION("lost events leave a gap in the sequence")
    {
        Fixture f(config);
        f.setFault({"cache_event_lost", true, 1, 1, 0, ""});
        f.run(Fixture::call(prompt, 1));
        const auto events = f.cacheEvents(1);
        REQUIRE(events.events.size() == 1);
        CHECK(events.events[0].sequence == 2);
    }
    SECTION("late events are not visible yet")
    {
        config.cacheEventDelay = 1h;
        Fixture f(config);
        f.run(Fixture::call(prompt, 1));
        CHECK(f.cacheEvents(1).events.empty());
    }
    SECTION("export and import")
    {
        Fixture from(config);
        Fixture to(config);
        const auto exportBlock = [&](const std::string &block) {
            return from.await<std::string>(
                    [&](auto done) { from.port->exportCache(Base, block, done); });
        };
        CHECK(codeOf(exportBlock(blocks[1])) == ResultCode::NotFound);
        from.run(Fixture::call(prompt, 1));
        const std::string bytes = valueOf(exportBlock(blocks[1]));
        CHECK(bytes.size() > 2 * config.cacheBytesPerBlock);
        const auto import = [&](Fixture &f) {
            return codeOf(f.await<Done>([&](auto done) { f.port->importCache(bytes, done); }));
        };
        CHECK(import(to) == ResultCode::Ok);
        CHECK(valueOf(*to.run(Fixture::call(prompt, 1))->end).cachedTokens == 8);
        config.pin = Next;
        Fixture newer(config);
        CHECK(import(newer) == ResultCode::NotFound);
    }
}

TEST_CASE("Event stream parser")
{
    std::vector<std::string> events;
    SseParser parser;
    const std::string text = "data: a\n\n: comment\r\nevent: x\r\ndata:b\r\ndata: c\r\n\r\n\n"
                             "data: d\n\n";
    const std::size_t step = GENERATE(1U, 3U, 100U);
    for (std::size_t i = 0; i < text.size(); i += step)
        CHECK(parser.feed(std::string_view(text).substr(i, step),
                          [&](std::string event) { events.push_back(std::move(event)); }));
    CHECK(events == std::vector<std::string>{"a", "b\nc", "d"});
    CHECK_FALSE(parser.feed(std::string(SseParser::MaxEventSize + 1, 'x'), [](const auto &) {}));
}

// Guards against timestamps that belong to another token or clock, and against an ignored
// tokens_per_second: at the configured rate of the engine the response would take days.
TEST_CASE("a request sets its token rate and enables timestamps")
{
    EngineConfig config = fastEngine();
    config.tokensPerSecond = 1e-5;
    Fixture f(config);
    EngineCall call = Fixture::call("stamped", 5);
    auto body = boost::json::parse(call.body).as_object();
    body["standin"] = boost::json::object{{"tokens_per_second", 1000.0}, {"stamp", true}};
    call.body = boost::json::serialize(body);
    const auto before = MonotonicClock::now().time_since_epoch().count();
    const auto stream = f.run(call);
    const auto after = MonotonicClock::now().time_since_epoch().count();
    REQUIRE(stream->events.size() == 5);
    std::int64_t last = before;
    for (const EngineEvent &event : stream->events) {
        const auto sent = boost::json::parse(event.data).at("sent_us").to_number<std::int64_t>();
        CHECK(sent >= last);
        last = sent;
    }
    CHECK(last <= after);
}
