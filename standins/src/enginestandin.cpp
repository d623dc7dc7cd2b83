#include "enginerun.h"

#include <godwit/base/rendezvous.h>
#include <godwit/ports/cacheblocks.h>
#include <godwit/ports/httprequest.h>
#include <godwit/standin/enginestandin.h>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace godwit::standin {

namespace {

namespace json = boost::json;

constexpr Duration ShortestTick = std::chrono::milliseconds(1);
/// Token generation pauses while this many bytes are queued for the caller.
constexpr std::size_t StreamQueueLimit = 64UL * 1024;
constexpr std::string_view CompletionPaths[] = {"/v1/chat/completions", "/v1/completions"};

std::uint64_t numberHeader(const HttpRequest &request, std::string_view name)
{
    const std::string_view text = request.headers.value(name);
    std::uint64_t n = 0;
    std::from_chars(text.data(), text.data() + text.size(), n);
    return n;
}

int priorityHeader(const HttpRequest &request)
{
    const std::string_view text = request.headers.value("X-Priority");
    int n = 0;
    std::from_chars(text.data(), text.data() + text.size(), n);
    return n;
}

std::string textAt(const json::object &object, json::string_view name)
{
    const auto *value = object.if_contains(name);
    const auto *text = value ? value->if_string() : nullptr;
    return text ? std::string(*text) : std::string();
}

/// Closes the connection after the queued bytes have been written.
void abortWhenWritten(const std::shared_ptr<HttpReply> &reply)
{
    if (reply->queuedBytes() == 0)
        reply->abort();
    else
        reply->onDrained([reply] { reply->abort(); });
}

} // namespace

std::string engineToken(const ModelPin &pin, std::string_view prompt, std::uint64_t position)
{
    constexpr std::uint64_t Words = 100'000;
    const std::uint64_t seed = stableHash(toString(pin), position);
    return 'w' + std::to_string(stableHash(prompt, seed) % Words) + ' ';
}

EngineStandin::EngineStandin(boost::asio::io_context &io, EngineConfig config)
    : Standin(io, config)
    , m_config(std::move(config))
    , m_cache(m_config.cacheBlocks)
{
    if (!m_config.pin.model.empty())
        m_loaded.insert(m_config.pin);
    sampleLoad();
}

EngineStandin::~EngineStandin() = default;

json::value EngineStandin::ledger() const
{
    return toJson(m_ledger);
}

std::string EngineStandin::requestKind(const HttpRequest &request) const
{
    const std::string_view path = request.path();
    if (std::ranges::find(CompletionPaths, path) != std::end(CompletionPaths))
        return "completion";
    if (path.starts_with("/admin/loads/"))
        return request.method == "PUT" ? "put_weights" : "finish_load";
    return Standin::requestKind(request);
}

void EngineStandin::onFaultChanged(const Fault &fault)
{
    if (fault.name == "crash" && fault.on)
        crash();
}

void EngineStandin::handle(HttpRequest request, const ReplyPointer &reply)
{
    const std::string_view path = request.path();
    if (std::ranges::find(CompletionPaths, path) != std::end(CompletionPaths)
        && request.method == "POST")
        handleCompletion(request, reply);
    else
        handleAdminRequest(request, reply);
}

void EngineStandin::handleAdminRequest(const HttpRequest &request, const ReplyPointer &reply)
{
    const std::string_view path = request.path();
    if (path == "/admin/state" && request.method == "GET")
        sendJson(reply, 200, toJson(state()));
    else if (path == "/admin/load" && request.method == "GET")
        sendLoadReport(reply);
    else if (path == "/admin/orders" && request.method == "POST")
        handleOrder(request, reply);
    else if (path.starts_with("/admin/loads/"))
        handleWeightLoad(request, reply);
    else if (path.starts_with("/admin/cache/"))
        handleCacheRequest(request, reply);
    else
        sendError(reply, 404, "not_found", "no such resource");
}

// Completions.

std::optional<ModelPin> EngineStandin::servedPin(const HttpRequest &request,
                                                 const std::string &model) const
{
    const auto *pinned = request.headers.find("X-Model");
    const ModelId wanted(pinned ? *pinned : model);
    const AdapterId adapter(std::string(request.headers.value("X-Adapter")));
    const std::string_view version = request.headers.value("X-Model-Version");
    for (const ModelPin &pin : m_loaded) {
        if (pin.model == wanted && pin.adapter == adapter
            && (version.empty() || pin.version.value() == version))
            return pin;
    }
    return std::nullopt;
}

void EngineStandin::readRequestOptions(const json::object &body, Run &run) const
{
    run.tokensPerSecond = m_config.tokensPerSecond;
    const auto *member = body.if_contains("standin");
    const auto *options = member ? member->if_object() : nullptr;
    if (!options)
        return;
    if (const auto *rate = options->if_contains("tokens_per_second"); rate && rate->is_number())
        run.tokensPerSecond = rate->to_number<double>();
    if (const auto *stamp = options->if_contains("stamp"); stamp && stamp->is_bool())
        run.hasTimestamps = stamp->get_bool();
}

EngineStandin::RunPointer EngineStandin::createRun(const HttpRequest &request,
                                                   const ReplyPointer &reply)
{
    json::error_code ec;
    const auto body = json::parse(request.body, ec);
    if (ec || !body.is_object())
        return nullptr;
    const auto pin = servedPin(request, textAt(body.get_object(), "model"));
    auto run = std::make_shared<Run>();
    if (pin)
        run->pin = *pin;
    run->request = RequestId(std::string(request.headers.value("X-Request-Id")));
    run->priority = priorityHeader(request);
    run->chat = request.path() == CompletionPaths[0];
    const auto *stream = body.get_object().if_contains("stream");
    run->stream = stream && stream->is_bool() && stream->get_bool();
    const auto *limit = body.get_object().if_contains("max_tokens");
    run->total = limit ? limit->to_number<std::uint64_t>(ec) : m_config.defaultTokens;
    if (ec)
        return nullptr;
    readRequestOptions(body.get_object(), *run);
    run->next = std::min(numberHeader(request, "X-Resume-Position"), run->total);
    run->first = run->next;
    run->prompt = promptText(request.body);
    run->poison =
            !m_config.poison.empty() && request.body.find(m_config.poison) != std::string::npos;
    run->reply = reply;
    run->ledgerIndex = m_ledger.runs.size();
    m_ledger.runs.push_back(
            {run->request, AttemptId{numberHeader(request, "X-Attempt")}, run->pin,
             Digest::of(request.body), m_boots,
             run->prompt.size() / std::max<std::uint64_t>(m_config.charactersPerToken, 1), 0, 0,
             RunOutcome::Queued, MonotonicClock::now().time_since_epoch()});
    return run;
}

void EngineStandin::refuseCompletion(const HttpRequest &request, const ReplyPointer &reply,
                                     int status, std::string_view code, std::string_view message)
{
    HttpResponse response = errorResponse(status, code, message);
    response.headers.add("X-Request-Id", request.headers.value("X-Request-Id"));
    reply->send(std::move(response));
}

void EngineStandin::handleCompletion(const HttpRequest &request, const ReplyPointer &reply)
{
    const RunPointer run = createRun(request, reply);
    if (!run) {
        refuseCompletion(request, reply, 400, "invalid",
                         "the body is not a valid completion request");
    } else if (run->pin.model.empty()) {
        ledgerEntry(*run).outcome = RunOutcome::Dropped;
        refuseCompletion(request, reply, 404, "not_loaded", "the requested weights are not loaded");
    } else if (m_queue.size() >= m_config.queueLimit) {
        ledgerEntry(*run).outcome = RunOutcome::Dropped;
        refuseCompletion(request, reply, 503, "busy", "the request queue is full");
    } else {
        enqueue(run);
    }
}

void EngineStandin::enqueue(const RunPointer &run)
{
    const auto it = std::ranges::find_if(
            m_queue, [&](const RunPointer &other) { return other->priority < run->priority; });
    m_queue.insert(it, run);
    run->reply->onClosed([this, weak = std::weak_ptr(run)] {
        if (const auto closedRun = weak.lock())
            removeRun(closedRun);
    });
    startQueuedRuns();
    sampleLoad();
}

void EngineStandin::removeRun(const RunPointer &run)
{
    const bool queued = std::erase(m_queue, run) > 0;
    const bool running = std::erase(m_running, run) > 0;
    if (!queued && !running)
        return;
    ledgerEntry(*run).outcome = queued ? RunOutcome::Dropped : RunOutcome::Cancelled;
    startQueuedRuns();
    sampleLoad();
}

void EngineStandin::startQueuedRuns()
{
    while (isListening() && m_running.size() < m_config.slots && !m_queue.empty()) {
        const RunPointer run = m_queue.front();
        m_queue.pop_front();
        m_running.push_back(run);
        startRun(run);
    }
}

void EngineStandin::startRun(const RunPointer &run)
{
    EngineRun &entry = ledgerEntry(*run);
    entry.outcome = RunOutcome::Running;
    if (run->poison) {
        crash();
        return;
    }
    const auto blocks = cacheBlocks(run->prompt, m_config.blockCharacters);
    const std::uint64_t cached = m_cache.lookup(run->pin, blocks) * m_config.blockCharacters
                                 / std::max<std::uint64_t>(m_config.charactersPerToken, 1);
    entry.cachedTokens = std::min(cached, entry.promptTokens);
    m_cache.insert(run->pin, blocks);
    publishCacheEvents();
    const auto prefill = static_cast<double>(entry.promptTokens - entry.cachedTokens);
    run->firstToken =
            MonotonicClock::now() + fromSeconds(prefill / m_config.prefillTokensPerSecond);
    if (run->stream)
        run->reply->start(200, {{"Content-Type", "text/event-stream"},
                                {"X-Engine", name()},
                                {"X-Model", run->pin.model.value()},
                                {"X-Adapter", run->pin.adapter.value()},
                                {"X-Model-Version", run->pin.version.value()}});
    scheduleTick();
}

void EngineStandin::scheduleTick()
{
    if (std::exchange(m_tickScheduled, true))
        return;
    double rate = m_config.tokensPerSecond;
    for (const RunPointer &run : m_running)
        rate = std::max(rate, run->tokensPerSecond);
    runAfter(std::max(ShortestTick, fromSeconds(1 / rate)), [this] {
        m_tickScheduled = false;
        tick();
    });
}

void EngineStandin::tick()
{
    const TimePoint now = MonotonicClock::now();
    const std::vector<RunPointer> runs = m_running;
    for (const RunPointer &run : runs) {
        generateTokens(*run, now);
        if (run->next < run->total || run->silent)
            continue;
        std::erase(m_running, run);
        finish(*run);
    }
    startQueuedRuns();
    if (runs.size() != m_running.size())
        sampleLoad();
    if (!m_running.empty())
        scheduleTick();
}

void EngineStandin::generateTokens(Run &run, TimePoint now)
{
    if (now < run.firstToken)
        return;
    const double due = 1 + std::floor(toSeconds(now - run.firstToken) * run.tokensPerSecond);
    const std::uint64_t end =
            std::min<std::uint64_t>(run.total, run.first + static_cast<std::uint64_t>(due));
    while (run.next < end && !run.silent
           && (!run.stream || run.reply->queuedBytes() < StreamQueueLimit)) {
        const auto silentAt = faults().value("silent_stream");
        const auto cutAt = faults().value("cut_stream");
        const auto generated = static_cast<double>(run.next - run.first);
        if (silentAt && generated >= *silentAt && faults().fires("silent_stream")) {
            run.silent = true;
        } else if (cutAt && generated >= *cutAt && faults().fires("cut_stream")) {
            run.silent = true;
            abortWhenWritten(run.reply);
        } else {
            emitToken(run);
        }
    }
}

void EngineStandin::emitToken(Run &run)
{
    const std::uint64_t position = run.next++;
    ++ledgerEntry(run).tokens;
    const auto at = [&](std::string_view fault) {
        const auto value = faults().value(fault);
        return value && static_cast<double>(position) >= *value && faults().fires(fault);
    };
    if (at("gap_reply"))
        return;
    Token token{run.pin, run.request, position, engineToken(run.pin, run.prompt, position)};
    if (at("mixed_reply"))
        token.pin.version = VersionId(token.pin.version.value() + "-other");
    if (at("crossed_reply"))
        token.request = RequestId(token.request.value() + "-other");
    if (!run.stream) {
        run.text += token.text;
        return;
    }
    const bool last = run.next == run.total;
    json::object chunk = tokenChunk(run, token, name(), last);
    if (run.hasTimestamps)
        chunk["sent_us"] = MonotonicClock::now().time_since_epoch().count();
    if (last)
        chunk["usage"] = usageJson(ledgerEntry(run));
    run.reply->write("data: " + json::serialize(chunk) + "\n\n");
}

void EngineStandin::finish(Run &run)
{
    ledgerEntry(run).outcome = RunOutcome::Finished;
    if (run.stream) {
        run.reply->write("data: [DONE]\n\n");
        run.reply->finish();
    } else {
        sendJson(run.reply, 200, wholeResponse(run, name(), ledgerEntry(run)));
    }
    run.reply.reset();
}

EngineRun &EngineStandin::ledgerEntry(const Run &run)
{
    return m_ledger.runs[run.ledgerIndex];
}

void EngineStandin::setOutcomes(RunOutcome running, RunOutcome queued)
{
    for (const RunPointer &run : m_running)
        ledgerEntry(*run).outcome = running;
    for (const RunPointer &run : m_queue)
        ledgerEntry(*run).outcome = queued;
}

void EngineStandin::crash()
{
    if (!isListening())
        return;
    setOutcomes(RunOutcome::Crashed, RunOutcome::Dropped);
    incrementCounter("crashes");
    stopServer();
    const auto running = std::exchange(m_running, {});
    const auto queued = std::exchange(m_queue, {});
    for (const RunPointer &run : running)
        run->reply->abort();
    for (const RunPointer &run : queued)
        run->reply->abort();
    m_weightLoad.reset();
    m_cache = PrefixCache(m_config.cacheBlocks);
    m_cacheEvents.clear();
    m_lastSequence = 0;
    m_loadSamples.clear();
    if (!m_config.restartLoaded)
        m_loaded.clear();
    runAfter(m_config.restartDelay, [this] {
        ++m_boots;
        sampleLoad();
        restartServer();
    });
}

// Load reports.

EngineLoad EngineStandin::currentLoad() const
{
    EngineLoad load;
    load.engine = BackendId(name());
    load.boots = m_boots;
    load.slots = m_config.slots;
    load.running = m_running.size();
    load.queued = m_queue.size();
    for (const RunPointer &run : m_queue)
        load.queuedPromptTokens += m_ledger.runs[run->ledgerIndex].promptTokens;
    load.tokensPerSecond = m_config.tokensPerSecond;
    load.prefillTokensPerSecond = m_config.prefillTokensPerSecond;
    load.cacheBlocks = m_cache.capacity();
    load.cacheUsed = m_cache.size();
    return load;
}

Duration EngineStandin::loadReportLag() const
{
    const auto fault = faults().value("load_lag");
    return fault ? fromSeconds(*fault) : m_config.loadLag;
}

void EngineStandin::sampleLoad()
{
    const TimePoint now = MonotonicClock::now();
    m_loadSamples.push_back({now, currentLoad()});
    // Keeps the newest sample that is old enough to be reported.
    while (m_loadSamples.size() > 1 && m_loadSamples[1].time <= now - loadReportLag())
        m_loadSamples.pop_front();
}

void EngineStandin::sendLoadReport(const ReplyPointer &reply)
{
    if (!m_config.reportsLoad) {
        sendError(reply, 404, "not_found", "this engine does not report load");
        return;
    }
    const TimePoint cutoff = MonotonicClock::now() - loadReportLag();
    EngineLoad load = m_loadSamples.front().load;
    for (const LoadSample &sample : m_loadSamples) {
        if (sample.time <= cutoff)
            load = sample.load;
    }
    load.age = loadReportLag();
    sendJson(reply, 200, toJson(load));
}

} // namespace godwit::standin
