#include "forwardedrequest.h"

#include "decisionlog.h"
#include "refusal.h"

#include <algorithm>

namespace godwit {

namespace {

/// Time that a backend server gets beyond the deadline that it was told, to deliver its own answer.
constexpr Duration DeadlineGrace = std::chrono::milliseconds(120);
constexpr Duration ConnectTimeout = std::chrono::milliseconds(400);
/// Part of the time left that the attempt to connect may take.
constexpr int ConnectShare = 3;
/// Silence after which a request that may be repeated is sent to another backend server, before
/// the first byte of the answer, in objectives of its route.
constexpr int SilentObjectives = 2;
constexpr Duration ShortestSilence = std::chrono::milliseconds(400);
/// The same within a stream, in longest pauses of its route.
constexpr int SilentPauses = 3;
constexpr Duration ShortestStall = std::chrono::milliseconds(800);
/// Arrivals at backend servers that reject the request, beyond the attempts of its route.
constexpr std::size_t MostRejections = 2;
/// Retry-After if the time until a backend server has room is not known.
constexpr Duration DefaultRetryAfter = std::chrono::milliseconds(1500);
/// A client that returns sooner finds the same queues, and most return only once.
constexpr Duration ShortestRetryAfter = std::chrono::milliseconds(1000);
/// Part of the time left that clients wait; they disregard a longer Retry-After.
constexpr double HonouredRetryShare = 0.3;
/// A backend server whose weights get out of date begins a request this long after it may get no
/// more, if it has been given one that waits. The pool leaves half a second.
constexpr Duration WithdrawalDelay = std::chrono::milliseconds(250);
/// Prediction errors must not send a request that begins just late.
constexpr Duration StartMargin = std::chrono::milliseconds(20);

constexpr std::uint32_t UsualPriority = 5;

constexpr int FirstServerError = 500;
constexpr int BadGateway = 502;
constexpr int ServiceUnavailable = 503;
constexpr int GatewayTimeout = 504;

/// Late requests keep their order among themselves, behind those of usual urgency.
std::optional<std::uint32_t> latePriority(std::optional<std::uint32_t> priority)
{
    const std::uint32_t usual = priority.value_or(UsualPriority);
    return std::max(usual, UsualPriority + usual / 2);
}

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

bool mayHaveRun(AttemptEnd end)
{
    return end != AttemptEnd::Rejected && end != AttemptEnd::OtherProcess
           && end != AttemptEnd::Unreachable;
}

AttemptEnd endOf(ResultCode code)
{
    switch (code) {
    case ResultCode::PlatformUnreachable:
        return AttemptEnd::Unreachable;
    case ResultCode::PlatformTimeout:
        return AttemptEnd::Silent;
    default:
        return AttemptEnd::Broken;
    }
}

} // namespace

ForwardedRequest::ForwardedRequest(Gateway &gateway, Terms terms, ForwardRequest request,
                                   std::shared_ptr<HttpReply> reply)
    : m_gateway(gateway)
    , m_terms(std::move(terms))
    , m_request(std::move(request))
    , m_reply(std::move(reply))
    , m_arrivedAt(now())
{
    Duration patience = m_request.patience.value_or(m_gateway.m_options.defaultPatience);
    m_spent = m_gateway.spentBefore(m_terms.route->name, m_terms.customer, patience);
    if (m_terms.route->timeout > Duration::zero())
        patience = std::min(patience, m_terms.route->timeout);
    m_endAt = m_arrivedAt + patience;
}

TimePoint ForwardedRequest::now() const
{
    return m_gateway.m_environment.scheduler.now();
}

void ForwardedRequest::start()
{
    const std::weak_ptr<ForwardedRequest> weak = weak_from_this();
    m_reply->onClosed([weak] {
        if (const auto self = weak.lock())
            self->onClientLeft();
    });
    if (m_ended)
        return;
    m_deadline =
            m_gateway.m_environment.scheduler.after(m_endAt + DeadlineGrace - m_arrivedAt, [weak] {
                if (const auto self = weak.lock())
                    self->onDeadline();
            });
    attempt();
}

Duration ForwardedRequest::sharedObjective() const
{
    const auto mix = m_gateway.m_objectives.find(m_terms.service);
    const Duration own = m_terms.route->objective;
    return mix == m_gateway.m_objectives.end() ? own : std::min(own, mix->second.shortest());
}

Duration ForwardedRequest::inTimeLimit() const
{
    const Duration elapsed = now() - m_arrivedAt + m_spent;
    const Duration objective =
            std::min(m_terms.route->objective, m_gateway.m_objectives[m_terms.service].shortest());
    return std::min(m_endAt - now(), objective - elapsed - StartMargin);
}

Duration ForwardedRequest::lateLimit() const
{
    return std::min((m_endAt - now()) / 2, sharedObjective() - StartMargin);
}

std::variant<BackendChoice, NoBackend> ForwardedRequest::chooseBackend()
{
    BackendQuery query;
    query.service = m_terms.service;
    query.model = m_request.model;
    query.promptTokens = m_request.promptTokens;
    query.outputTokens = m_request.likelyOutputTokens.value_or(m_request.mostOutputTokens);
    query.version = m_weightsVersion;
    for (const PastAttempt &it : m_attempts)
        query.excluded.insert(it.backend);
    m_urgency = RequestUrgency::InTime;
    // A client that sees events waits for the next one.
    query.startLimit = m_streaming ? (m_endAt - now()) / 2 : inTimeLimit();
    auto found = m_gateway.m_backends.choose(query, now());
    const auto *none = std::get_if<NoBackend>(&found);
    if (!none || none->reason != NoBackend::Reason::AllFull)
        return found;
    m_urgency = RequestUrgency::Late;
    query.urgency = m_urgency;
    query.startLimit = lateLimit();
    return m_gateway.m_backends.choose(query, now());
}

void ForwardedRequest::attempt()
{
    const auto found = chooseBackend();
    if (const auto *none = std::get_if<NoBackend>(&found)) {
        const bool full = none->reason == NoBackend::Reason::AllFull;
        if (m_runs > 0 || m_streaming)
            giveUp(AttemptEnd::Broken, "no other backend server can take the request");
        else
            refuse(full ? ResultCode::QueueFull : ResultCode::NoBackendKnown,
                   full ? "all backend servers are full" : "no backend server serves the request",
                   full ? none->shortestWait : DefaultRetryAfter);
        return;
    }
    const auto &choice = std::get<BackendChoice>(found);
    m_attempts.push_back({choice.id, choice.predictedStart, choice.hasFreeSlot, now(), std::nullopt,
                          std::nullopt, std::nullopt});
    m_body = Body::None;
    m_whole.clear();
    m_attempting = true;
    m_gateway.m_backends.started(choice.id, m_urgency);
    m_call = m_gateway.m_environment.send(callFor(choice), handlersFor(++m_serial));
    m_withdrawal.reset();
    if (choice.beginBy)
        withdrawAt(*choice.beginBy + WithdrawalDelay);
}

void ForwardedRequest::withdrawAt(TimePoint time)
{
    const std::weak_ptr<ForwardedRequest> weak = weak_from_this();
    m_withdrawal = m_gateway.m_environment.scheduler.after(
            std::max(Duration::zero(), time - now()), [weak, serial = m_serial] {
                const auto self = weak.lock();
                if (!self || self->m_ended || !self->m_attempting || self->m_serial != serial
                    || self->m_body != Body::None)
                    return;
                self->m_call->cancel();
                self->fail(AttemptEnd::Abandoned, "it has not begun before the weights of the "
                                                  "backend server were out of date");
            });
}

HttpCall ForwardedRequest::callFor(const BackendChoice &choice) const
{
    const Duration left = m_endAt - now();
    ForwardTerms terms;
    terms.endpoint = choice.endpoint;
    terms.backend = choice.id;
    terms.timeLeft = left;
    terms.customer = m_terms.customer;
    terms.priority =
            m_urgency == RequestUrgency::Late ? latePriority(m_terms.priority) : m_terms.priority;
    terms.weightsVersion = m_weightsVersion;
    terms.lastEvent = m_events.lastId() ? m_events.lastId() : m_request.lastEvent;
    HttpCall call = m_gateway.m_environment.protocol.forward(m_request, terms);
    call.connectTimeout = std::min(ConnectTimeout, left / ConnectShare);
    call.idleTimeout = left + DeadlineGrace;
    const Route &route = *m_terms.route;
    if (route.isRepeatable() && m_runs + 1 < route.attempts) {
        const Duration silence = std::max(ShortestSilence, SilentObjectives * route.objective);
        call.idleTimeout = std::min(call.idleTimeout, silence);
        if (route.kind == RouteKind::Streaming)
            call.stallTimeout = std::max(ShortestStall, SilentPauses * route.longestPause);
    }
    return call;
}

HttpStreamHandlers ForwardedRequest::handlersFor(std::uint64_t serial)
{
    const std::weak_ptr<ForwardedRequest> weak = weak_from_this();
    const auto current = [weak, serial] {
        const auto self = weak.lock();
        return self && self->m_serial == serial && self->m_attempting && !self->m_ended ? self
                                                                                        : nullptr;
    };
    HttpStreamHandlers handlers;
    handlers.onHeader = [current](int status, const HttpHeaders &headers) {
        if (const auto self = current())
            self->onHead(status, headers);
    };
    handlers.onData = [current](std::string_view data) {
        if (const auto self = current())
            self->onData(data);
    };
    handlers.onEnd = [current](const Outcome<std::monostate> &outcome) {
        if (const auto self = current())
            self->onEnd(outcome);
    };
    return handlers;
}

void ForwardedRequest::onHead(int status, const HttpHeaders &headers)
{
    m_head = m_gateway.m_environment.protocol.readReply(status, headers);
    if (m_head.load)
        m_gateway.m_backends.loadStated(m_attempts.back().backend, *m_head.load, now());
    // Neither a failure nor other weights can go on with a stream.
    const bool cannotGoOn =
            m_streaming && (!isSuccess(status) || m_head.weightsVersion != m_weightsVersion);
    const bool isForged = isSuccess(status) && (!m_head.sealed || m_head.isEncoded);
    if (m_head.notRun)
        m_body = Body::Rejection;
    else if (cannotGoOn || isForged)
        m_body = Body::Unusable;
    else if (isSuccess(status) && m_head.isEventStream)
        m_body = Body::Events;
    else
        m_body = m_streaming ? Body::Unusable : Body::Whole;
}

void ForwardedRequest::onData(std::string_view data)
{
    if (m_body == Body::Events)
        onEvents(data);
    else if (m_body == Body::Whole)
        m_whole += data;
}

void ForwardedRequest::onEvents(std::string_view data)
{
    std::string events = m_events.feed(data);
    if (m_events.isOverflown()) {
        fail(AttemptEnd::Broken, "an event is too large");
        return;
    }
    if (events.empty())
        return;
    if (!m_streaming) {
        m_streaming = true;
        m_weightsVersion = m_head.weightsVersion;
        m_gateway.m_environment.metrics.streamBegan(now() - m_arrivedAt);
        m_reply->start(m_head.status, m_head.headers);
    }
    notePace();
    m_reply->write(std::move(events));
}

void ForwardedRequest::notePace()
{
    const TimePoint arrived = now();
    PastAttempt &attempt = m_attempts.back();
    if (attempt.lastEventsAt)
        m_gateway.m_backends.pauseSeen(attempt.backend, arrived - *attempt.lastEventsAt, arrived);
    else
        noteStart(attempt, arrived);
    attempt.lastEventsAt = arrived;
}

void ForwardedRequest::noteStart(PastAttempt &attempt, TimePoint at)
{
    attempt.firstEventsAt = at;
    m_gateway.m_backends.responseBegan(attempt.backend, m_urgency);
    // Under load, an entry process would learn its own error about the load of the others.
    if (attempt.foundFreeSlot)
        m_gateway.m_backends.startDelaySeen(attempt.backend,
                                            at - attempt.sentAt - attempt.predictedStart, at);
}

void ForwardedRequest::onEnd(const Outcome<std::monostate> &outcome)
{
    if (const auto *error = std::get_if<Error>(&outcome))
        fail(endOf(error->code), error->detail);
    else
        onComplete();
}

void ForwardedRequest::onComplete()
{
    switch (m_body) {
    case Body::Rejection: {
        // It may be the same process with other weights than those that the stream began with.
        const bool isOther = m_head.otherProcess && !m_weightsVersion;
        fail(isOther ? AttemptEnd::OtherProcess : AttemptEnd::Rejected,
             "status " + std::to_string(m_head.status));
        return;
    }
    case Body::None:
    case Body::Unusable:
        fail(AttemptEnd::Broken, "unusable response with status " + std::to_string(m_head.status));
        return;
    case Body::Events:
        if (m_events.isWithinEvent()) {
            fail(AttemptEnd::Broken, "the stream ended within an event");
            return;
        }
        if (!m_streaming)
            m_reply->start(m_head.status, m_head.headers);
        m_reply->finish();
        endAttempt(AttemptEnd::Complete);
        end(m_head.status, ResultCode::Ok, {});
        return;
    case Body::Whole:
        if (m_head.status >= FirstServerError && mayTryAfterFailure())
            fail(AttemptEnd::Failed, "status " + std::to_string(m_head.status));
        else
            sendWhole();
        return;
    }
}

bool ForwardedRequest::mayTryAfterFailure()
{
    if (m_terms.route->kind != RouteKind::Safe || m_runs + 1 >= m_terms.route->attempts)
        return false;
    // The answer at hand is sent unless another backend server can be asked.
    return now() < m_endAt && m_gateway.m_retries.take(m_terms.service, now());
}

void ForwardedRequest::sendWhole()
{
    endAttempt(m_head.status >= FirstServerError ? AttemptEnd::Failed : AttemptEnd::Complete);
    HttpResponse response;
    response.status = m_head.status;
    response.headers = m_head.headers;
    response.body = std::move(m_whole);
    m_reply->send(std::move(response));
    end(m_head.status, ResultCode::Ok, {});
}

void ForwardedRequest::endAttempt(AttemptEnd end)
{
    if (!std::exchange(m_attempting, false))
        return;
    PastAttempt &attempt = m_attempts.back();
    attempt.end = end;
    if (!attempt.firstEventsAt)
        m_gateway.m_backends.finishedWaiting(attempt.backend, m_urgency);
    m_gateway.m_backends.finished(attempt.backend, end,
                                  now() - attempt.firstEventsAt.value_or(attempt.sentAt), now());
    m_gateway.m_environment.metrics.attemptEnded(end);
    m_call.reset();
}

bool ForwardedRequest::mayRepeat(bool mayHaveRun) const
{
    const Route &route = *m_terms.route;
    const bool canRun = m_runs < route.attempts;
    const bool allowed = !mayHaveRun || route.isRepeatable();
    return allowed && canRun && m_attempts.size() < route.attempts + MostRejections
           && now() < m_endAt;
}

void ForwardedRequest::fail(AttemptEnd end, std::string detail)
{
    const auto self = shared_from_this();
    if (m_call && (end == AttemptEnd::Broken || end == AttemptEnd::Silent))
        m_call->cancel();
    endAttempt(end);
    const bool ran = mayHaveRun(end);
    if (ran)
        ++m_runs;
    m_events.restart();
    if (!mayRepeat(ran)) {
        giveUp(end, detail);
        return;
    }
    // An attempt that reached no backend server costs none of the budget, and one after a failure
    // has been paid for.
    if (end != AttemptEnd::Unreachable && end != AttemptEnd::Failed
        && !m_gateway.m_retries.take(m_terms.service, now())) {
        giveUp(end, detail + "; the retry budget is spent");
        return;
    }
    m_gateway.m_environment.metrics.retried(toString(end));
    attempt();
}

void ForwardedRequest::giveUp(AttemptEnd end, const std::string &detail)
{
    if (m_streaming) {
        m_reply->abort();
        this->end(0, ResultCode::StreamBroken, detail);
        return;
    }
    if (m_runs == 0) {
        refuse(ResultCode::BackendUnavailable, detail, DefaultRetryAfter);
        return;
    }
    const bool silent = end == AttemptEnd::Silent;
    const Error error{silent ? ResultCode::BackendSilent : ResultCode::BackendFailed, detail};
    const int status = silent ? GatewayTimeout : BadGateway;
    m_reply->send(refusal(status, error, Duration::zero()));
    this->end(status, error.code, detail);
}

Duration ForwardedRequest::longestRetryAfter()
{
    const Duration longest = std::chrono::duration_cast<Duration>(
            HonouredRetryShare * std::max(Duration::zero(), m_endAt - now()));
    // Half of it at least, so that those with the same deadline do not return together.
    return m_gateway.spread(longest / 2);
}

void ForwardedRequest::refuse(ResultCode code, const std::string &detail, Duration retryAfter)
{
    const Duration wait = std::min(m_gateway.spread(std::max(retryAfter, ShortestRetryAfter)),
                                   longestRetryAfter());
    m_reply->send(refusal(ServiceUnavailable, {code, detail}, wait));
    end(ServiceUnavailable, code, detail);
}

void ForwardedRequest::onClientLeft()
{
    if (m_ended)
        return;
    if (m_call)
        m_call->cancel();
    endAttempt(AttemptEnd::Abandoned);
    m_gateway.m_environment.metrics.clientLeft();
    end(0, ResultCode::RequestCancelled, "the client closed its connection");
}

void ForwardedRequest::onDeadline()
{
    if (m_ended)
        return;
    if (m_call)
        m_call->cancel();
    endAttempt(m_streaming ? AttemptEnd::Abandoned : AttemptEnd::Silent);
    const std::string detail = "no complete answer within the time of the request";
    if (m_streaming)
        m_reply->abort();
    else
        m_reply->send(
                refusal(GatewayTimeout, {ResultCode::DeadlineExceeded, detail}, Duration::zero()));
    end(m_streaming ? 0 : GatewayTimeout, ResultCode::DeadlineExceeded, detail);
}

void ForwardedRequest::end(int status, ResultCode code, const std::string &detail)
{
    if (std::exchange(m_ended, true))
        return;
    const Duration span = now() - m_arrivedAt;
    if (code == ResultCode::Ok)
        m_gateway.m_environment.metrics.answered(status, span);
    else
        m_gateway.m_environment.metrics.refused(code);
    boost::json::array attempts;
    for (const PastAttempt &it : m_attempts) {
        boost::json::object attempt{{"backend", it.backend.value()},
                                    {"after_ms", toMilliseconds(it.sentAt - m_arrivedAt)},
                                    {"predicted_start_ms", toMilliseconds(it.predictedStart)},
                                    {"end", std::string(it.end ? toString(*it.end) : "none")}};
        if (it.firstEventsAt)
            attempt["start_ms"] = toMilliseconds(*it.firstEventsAt - it.sentAt);
        attempts.push_back(std::move(attempt));
    }
    const bool isFailure = code != ResultCode::Ok || m_attempts.size() > 1;
    logRequest(isFailure ? RequestLog::Failure : RequestLog::Answer,
               {{"request", m_request.id.value()},
                {"route", m_terms.route->name},
                {"service", m_terms.service},
                {"configuration", m_terms.table->version()},
                {"attempts", std::move(attempts)},
                {"status", status},
                {"code", static_cast<int>(code)},
                {"detail", detail},
                {"ms", toMilliseconds(span)}},
               now());
    m_deadline.reset();
    m_call.reset();
    m_gateway.m_requests.erase(shared_from_this());
}

} // namespace godwit
