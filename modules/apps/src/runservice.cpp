#include "runservice.h"

#include "tokenframe.h"

#include <godwit/ports/calleffect.h>
#include <godwit/wire/wiremessage.h>

namespace godwit {

namespace {

constexpr std::size_t BodyLimit = 64UL * 1024 * 1024;
// Reading from the engine pauses while more bytes than this are buffered for the entry process.
constexpr std::size_t PauseThresholdBytes = 16UL * 1024;

ServiceOptions serviceOf(const Endpoint &endpoint)
{
    return {{endpoint.address, endpoint.port}, std::chrono::seconds(1), std::chrono::seconds(30)};
}

RunState stateAfter(ResultCode code)
{
    return mayHaveTakenEffect(code) ? RunState::Unknown : RunState::NotRun;
}

RunOutcome withdrawnOutcome()
{
    RunOutcome outcome;
    outcome.state = RunState::NotRun;
    outcome.code = static_cast<int>(ResultCode::AttemptWithdrawn);
    outcome.detail = "withdrawn before it was sent to the backend server";
    return outcome;
}

} // namespace

/// One attempt in progress.
struct RunService::Attempt
{
    Attempt(RunHeader runHeader, std::shared_ptr<WireStream> wireStream, Span requestSpan)
        : header(std::move(runHeader))
        , stream(std::move(wireStream))
        , span(std::move(requestSpan))
    {}

    AttemptKey key() const { return {header.request, header.attempt}; }
    AttemptTerms terms() const
    {
        return {header.incarnation, TimePoint(Duration(header.startBefore))};
    }

    RunHeader header;
    std::shared_ptr<WireStream> stream;
    std::shared_ptr<CallHandle> call;
    Span span;
    std::string body;
    std::string frame;
    std::uint64_t boots = 0;   ///< Start number of the engine when the attempt was dispatched.
    bool isAtMostOnce = false; ///< Runs at most once per idempotency key.
    bool paused = false;
    bool finished = false;
};

RunService::RunService(const DaemonSettings &settings, boost::asio::io_context &io,
                       Incarnation incarnation, MetricsRegistry &metrics, Tracer &tracer,
                       SlotService::Environment environment)
    : m_client(io)
    , m_attempts(incarnation, {})
    , m_slotService(settings, incarnation, m_attempts, slotEnvironment(std::move(environment)))
    , m_tracer(tracer)
    , m_started(metrics.counter("godwit_runs_started_total", "Attempts handed to backend servers."))
    , m_refused(metrics.counter("godwit_runs_refused_total", "Attempts refused as not run."))
    , m_tokens(metrics.counter("godwit_tokens_total", "Tokens passed on to entry processes."))
{
    for (const auto &backend : settings.backends) {
        Backend entry{backend, nullptr, nullptr, 0};
        if (backend.kind == BackendKind::Engine)
            entry.engine = std::make_unique<HttpEngine>(m_client, serviceOf(backend.endpoint));
        else
            entry.plain = std::make_unique<HttpPlainService>(m_client, serviceOf(backend.endpoint));
        m_backends.emplace(backend.id, std::move(entry));
    }
}

RunService::~RunService() = default;

void RunService::run(const std::shared_ptr<WireStream> &stream)
{
    const auto text = fieldValue(stream->request().fields, RunField);
    auto header = capture([&] { return parseJson<RunHeader>(text); });
    if (!succeeded(header)) {
        reply(*stream, 400, toString(std::get<1>(header)));
        return;
    }
    auto span = m_tracer.start("host.run", fieldValue(stream->request().fields, TraceField),
                               MonotonicClock::now());
    const auto attempt =
            std::make_shared<Attempt>(std::move(std::get<0>(header)), stream, std::move(span));
    attempt->isAtMostOnce = attempt->header.atMostOnce;
    if (!attempt->isAtMostOnce) {
        const auto status =
                m_attempts.receive(attempt->key(), attempt->terms(), MonotonicClock::now());
        if (!status) {
            refuse(attempt, status.code, status.state, "the attempt cannot be started");
            return;
        }
    }
    if (!m_running.emplace(attempt->key(), attempt).second) {
        refuse(attempt, ResultCode::AttemptDuplicate, RunState::Unknown,
               "the attempt is already running");
        return;
    }
    collectBody(stream, BodyLimit, [this, attempt](Outcome<std::string> body) {
        if (!succeeded(body)) {
            onCallerDisconnected(attempt);
            return;
        }
        attempt->body = std::move(std::get<0>(body));
        start(attempt);
    });
}

void RunService::start(const AttemptPtr &attempt)
{
    if (!m_accepting)
        refuse(attempt, ResultCode::ProcessLeaving, RunState::NotRun,
               "the host process is shutting down");
    else if (!m_backends.contains(attempt->header.backend))
        refuse(attempt, ResultCode::NotFound, RunState::NotRun,
               "this host has no such backend server");
    else if (attempt->isAtMostOnce)
        runAtMostOnce(attempt);
    else
        dispatch(attempt);
}

SlotService::Environment RunService::slotEnvironment(SlotService::Environment environment)
{
    environment.dispatch = [this](const AttemptKey &key) { dispatchAtMostOnce(key); };
    environment.reply = [this](const SlotReply &reply) { replyAtMostOnce(reply); };
    return environment;
}

void RunService::runAtMostOnce(const AttemptPtr &attempt)
{
    if (!m_slotService.serves(attempt->header.deployment)) {
        // Another host may own the key, so whether the request ran is unknown here.
        refuse(attempt, ResultCode::SlotNotOwned, RunState::Unknown,
               "the deployment is not configured on this host");
        return;
    }
    StreamEvents events;
    events.onError = [this, attempt](const Error &) { onCallerDisconnected(attempt); };
    attempt->stream->setEvents(std::move(events));
    SlotRequest request;
    request.attempt = attempt->key();
    request.key = attempt->header.key;
    request.bodyDigest = Digest::of(attempt->header.method + '\n' + attempt->header.target + '\n'
                                    + attempt->body);
    request.startBefore = attempt->terms().startBefore;
    m_slotService.run(attempt->header.deployment, request, attempt->terms());
}

void RunService::dispatchAtMostOnce(const AttemptKey &key)
{
    const auto it = m_running.find(key);
    if (it == m_running.end())
        return;
    m_started.add();
    const AttemptPtr attempt = it->second;
    runPlain(attempt, m_backends.at(attempt->header.backend));
}

void RunService::replyAtMostOnce(const SlotReply &reply)
{
    const auto it = m_running.find(reply.attempt);
    if (it == m_running.end())
        return;
    const AttemptPtr attempt = it->second;
    RunOutcome outcome;
    outcome.state = reply.state;
    outcome.code = static_cast<int>(reply.code);
    outcome.retryAfter = reply.retryAfter;
    attempt->stream->respond(200);
    if (reply.code == ResultCode::Ok) {
        const HttpResponse response = decodeResponse(reply.response);
        outcome.status = response.status;
        outcome.contentType = std::string(response.headers.value("Content-Type"));
        send(attempt, response.body);
    }
    finish(attempt, outcome);
}

void RunService::send(const AttemptPtr &attempt, std::string_view bytes)
{
    attempt->stream->write(bytes);
    if (m_onBytesSent)
        m_onBytesSent(bytes.size());
}

void RunService::dispatch(const AttemptPtr &attempt)
{
    const auto status = m_attempts.dispatch(attempt->key(), MonotonicClock::now());
    if (!status) {
        refuse(attempt, status.code, status.state, "the attempt was withdrawn or is too old");
        return;
    }
    m_started.add();
    Backend &backend = m_backends.at(attempt->header.backend);
    if (backend.engine)
        runEngine(attempt, backend);
    else
        runPlain(attempt, backend);
}

void RunService::runEngine(const AttemptPtr &attempt, Backend &backend)
{
    EngineCall call;
    call.request = attempt->header.request;
    call.attempt = attempt->header.attempt;
    call.pin = attempt->header.pin;
    call.path = attempt->header.target;
    call.body = attempt->body;
    call.priority = attempt->header.priority;
    call.resumePosition = attempt->header.resumePosition;
    call.traceparent = attempt->span.context().format();
    EngineStreamHandlers handlers;
    handlers.onEvent = [this, attempt](const EngineEvent &event) { onEngineEvent(attempt, event); };
    handlers.onEnd = [this, attempt](const Outcome<EngineUsage> &outcome) {
        onEngineEnd(attempt, outcome);
    };
    attempt->stream->respond(200, {{"x-godwit-pin", toString(attempt->header.pin)}});
    StreamEvents events;
    events.onError = [this, attempt](const Error &) { onCallerDisconnected(attempt); };
    events.onDrained = [attempt] {
        if (std::exchange(attempt->paused, false) && attempt->call)
            attempt->call->resume();
    };
    attempt->stream->setEvents(std::move(events));
    attempt->boots = backend.boots;
    attempt->call = backend.engine->run(std::move(call), std::move(handlers));
}

void RunService::onEngineEvent(const AttemptPtr &attempt, const EngineEvent &event)
{
    if (attempt->finished)
        return;
    m_tokens.add();
    attempt->frame.clear();
    appendFrame(attempt->frame, {event.position, event.data});
    send(attempt, attempt->frame);
    if (!attempt->paused && attempt->stream->bufferedBytes() > PauseThresholdBytes) {
        attempt->paused = true;
        attempt->call->pause();
    }
}

void RunService::onEngineEnd(const AttemptPtr &attempt, const Outcome<EngineUsage> &outcome)
{
    RunOutcome result;
    if (const auto *error = std::get_if<Error>(&outcome)) {
        result.state = stateAfter(error->code);
        result.code = static_cast<int>(error->code);
        result.detail = error->detail;
    } else {
        result.state = RunState::Ran;
    }
    if (result.state != RunState::Unknown || attempt->finished) {
        finish(attempt, result);
        return;
    }
    // Distinguishes an engine crash from a broken connection before the entry decides on a retry.
    m_backends.at(attempt->header.backend)
            .engine->readState([this, attempt, result](const Outcome<EngineState> &state) {
                auto outcome = result;
                if (!succeeded(state) || std::get<0>(state).boots != attempt->boots)
                    outcome.crashedBoots = std::max<std::uint64_t>(1, attempt->boots);
                finish(attempt, outcome);
            });
}

void RunService::runPlain(const AttemptPtr &attempt, Backend &backend)
{
    PlainCall call;
    call.method = attempt->header.method;
    call.target = attempt->header.target;
    if (!attempt->header.contentType.empty())
        call.headers.add("Content-Type", attempt->header.contentType);
    call.headers.add(TraceField, attempt->span.context().format());
    call.key = attempt->header.key;
    call.body = attempt->body;
    if (!attempt->isAtMostOnce) {
        StreamEvents events;
        events.onError = [this, attempt](const Error &) { onCallerDisconnected(attempt); };
        attempt->stream->setEvents(std::move(events));
    }
    attempt->call =
            backend.plain->forward(std::move(call), [this, attempt](Outcome<HttpResponse> outcome) {
                onPlainEnd(attempt, std::move(outcome));
            });
}

void RunService::onPlainEnd(const AttemptPtr &attempt, Outcome<HttpResponse> outcome)
{
    if (attempt->isAtMostOnce) {
        const auto *failure = std::get_if<Error>(&outcome);
        m_slotService.finished(attempt->header.deployment, attempt->header.key,
                               failure ? stateAfter(failure->code) : RunState::Ran,
                               failure ? std::string() : encodeResponse(std::get<0>(outcome)));
        return;
    }
    RunOutcome result;
    attempt->stream->respond(200);
    if (const auto *error = std::get_if<Error>(&outcome)) {
        result.state = stateAfter(error->code);
        result.code = static_cast<int>(error->code);
        result.detail = error->detail;
    } else {
        const auto &response = std::get<0>(outcome);
        result.state = RunState::Ran;
        result.status = response.status;
        result.contentType = std::string(response.headers.value("Content-Type"));
        send(attempt, response.body);
    }
    finish(attempt, result);
}

// Closing the connection aborts the request on an engine. A call to a plain service is not aborted,
// because that could leave its work half done; its response is discarded.
void RunService::onCallerDisconnected(const AttemptPtr &attempt)
{
    if (attempt->finished)
        return;
    if (attempt->isAtMostOnce) {
        // The request with this key continues; the caller can retry with the same key.
        if (m_slotService.serves(attempt->header.deployment))
            m_slotService.withdraw(attempt->header.deployment, attempt->header.key, attempt->key(),
                                   attempt->terms());
        finish(attempt, withdrawnOutcome());
        return;
    }
    const auto status =
            m_attempts.withdraw(attempt->key(), attempt->terms(), MonotonicClock::now());
    const auto it = m_backends.find(attempt->header.backend);
    const bool isEngine = it != m_backends.end() && it->second.engine != nullptr;
    if (status.state != RunState::NotRun && !isEngine)
        return;
    if (attempt->call)
        attempt->call->cancel();
    if (status.state == RunState::NotRun)
        finish(attempt, withdrawnOutcome());
}

void RunService::refuse(const AttemptPtr &attempt, ResultCode code, RunState state,
                        std::string detail)
{
    m_refused.add();
    RunOutcome outcome;
    outcome.state = state;
    outcome.code = static_cast<int>(code);
    outcome.detail = std::move(detail);
    attempt->stream->respond(200);
    finish(attempt, outcome);
}

void RunService::finish(const AttemptPtr &attempt, const RunOutcome &outcome)
{
    if (std::exchange(attempt->finished, true))
        return;
    if (!attempt->isAtMostOnce)
        m_attempts.finish(attempt->key(), outcome.state, MonotonicClock::now());
    attempt->stream->finish({{OutcomeField, toJsonText(outcome)}});
    if (outcome.code != 0)
        attempt->span.setError({static_cast<ResultCode>(outcome.code), outcome.detail});
    attempt->span.end(MonotonicClock::now());
    const auto it = m_running.find(attempt->key());
    if (it != m_running.end() && it->second == attempt)
        m_running.erase(it);
}

void RunService::setBoots(const BackendId &backend, std::uint64_t boots)
{
    const auto it = m_backends.find(backend);
    if (it != m_backends.end() && boots != 0)
        it->second.boots = boots;
}

std::string RunService::withdraw(const WithdrawMessage &message)
{
    const AttemptKey key{message.request, message.attempt};
    const AttemptTerms terms{message.incarnation, TimePoint(Duration(message.startBefore))};
    RunOutcome outcome;
    if (!message.key.empty() && m_slotService.serves(message.deployment)) {
        outcome.state = m_slotService.withdraw(message.deployment, message.key, key, terms);
        return toJsonText(outcome);
    }
    const auto status = m_attempts.withdraw(key, terms, MonotonicClock::now());
    outcome.state = status.state;
    outcome.code = static_cast<int>(status.code);
    return toJsonText(outcome);
}

std::map<BackendId, std::uint32_t> RunService::running() const
{
    std::map<BackendId, std::uint32_t> counts;
    for (const auto &[key, attempt] : m_running)
        ++counts[attempt->header.backend];
    return counts;
}

std::vector<std::string> RunService::runningRequests() const
{
    std::vector<std::string> names;
    for (const auto &[key, attempt] : m_running)
        names.push_back(attempt->header.request.value());
    return names;
}

} // namespace godwit
