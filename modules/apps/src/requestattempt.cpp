// Attempts of RequestService: from the message to the host to the end of its response.
#include "requeststate.h"

#include <algorithm>

namespace godwit {

namespace {

// How long an attempt may wait before it starts; bounds the memory of withdrawn attempts at hosts.
constexpr Duration MaxStartDelay = std::chrono::seconds(30);
constexpr Duration WithdrawTimeout = std::chrono::seconds(2);
// Above this the entry takes no more bytes of the response from the host until the caller reads.
constexpr std::size_t CallerQueueBytes = 32UL * 1024;

/// An attempt that was refused with such a code cost the fleet nothing but a message.
bool isRefusalWithoutWork(ResultCode code)
{
    switch (code) {
    case ResultCode::NotSent:
    case ResultCode::AttemptForOtherProcess:
    case ResultCode::SlotNotOwned:
    case ResultCode::SlotOwnershipUncertain:
        return true;
    default:
        return false;
    }
}

Pin pinOf(const ModelPin &pin)
{
    return {pin.model, pin.adapter, pin.version};
}

} // namespace

void RequestService::startAttempt(const RequestPtr &request)
{
    const TimePoint now = MonotonicClock::now();
    if (m_poison.decide(request->call.content, {}, now) == PoisonDetector::Decision::Refuse) {
        refuse(*request->reply, request->call.id,
               {ResultCode::PoisonSuspected, "requests with this content crashed backend servers"},
               RunState::NotRun, {});
        close(request);
        return;
    }
    const auto target = choose(*request, now);
    if (!target) {
        waitForPlace(request);
        return;
    }
    BackendDirectory::Host *host = m_directory.find(target->host);
    const auto lifetime = std::min<Duration>(MaxStartDelay, request->deadline - now);
    const auto terms = host->clock.terms(lifetime, now);
    if (!terms || !m_limiter.tryAcquire(target->backend)) {
        unsend(*request, *target, now);
        waitForPlace(request);
        return;
    }
    if (!request->tracker) {
        request->pin = target->pin;
        RequestTracker::Spec spec;
        spec.id = request->call.id;
        spec.pin = pinOf(target->pin);
        spec.isIdempotent = !request->atMostOnce;
        spec.hasKey = request->atMostOnce;
        spec.isResumable = !request->call.isPlain;
        spec.deadline = request->deadline;
        request->tracker.emplace(spec);
    }
    const auto start = request->tracker->start();
    const auto attempt = std::make_shared<Attempt>();
    attempt->key = start.key;
    attempt->terms = *terms;
    attempt->target = *target;
    attempt->endpoint = host->endpoint;
    attempt->sentAt = now;
    attempt->hasPlace = true;
    attempt->isRouted = !request->call.isPlain && !request->atMostOnce;
    attempt->inPoison = true;
    attempt->tokens = start.resumeAt;
    m_poison.started(request->call.content, target->backend);
    request->tried.insert(target->backend);
    request->attempts.emplace(attempt->key, attempt);
    sendAttempt(request, attempt, start.resumeAt);
}

void RequestService::sendAttempt(const RequestPtr &request, const AttemptPtr &attempt,
                                 std::uint64_t resumeAt)
{
    const auto &call = request->call;
    RunHead head;
    head.request = call.id;
    head.attempt = attempt->key.attempt;
    head.incarnation = attempt->terms.incarnation;
    head.startBefore = attempt->terms.startBefore.time_since_epoch().count();
    head.deadline = request->deadline - attempt->sentAt;
    head.deployment = call.deployment;
    head.backend = attempt->target.backend;
    head.pin = attempt->target.pin;
    head.customer = call.customer;
    head.priority = 2 - static_cast<int>(call.priority);
    head.key = call.key;
    head.atMostOnce = request->atMostOnce;
    head.method = call.method;
    head.target = call.target;
    head.contentType = call.contentType;
    head.resumePosition = resumeAt;
    auto &client = m_peers.client(attempt->endpoint);
    attempt->stream = client.open(
            "/run", {{RunField, toJsonText(head)}, {TraceField, request->span->context().format()}},
            attemptEvents(request, attempt));
    attempt->stream->setManualFlowControl(call.isStreamed);
    attempt->stream->write(call.body);
    attempt->stream->finish();
}

void RequestService::waitForPlace(const RequestPtr &request)
{
    if (std::exchange(request->waiting, true))
        return;
    m_waiting.push_back(request);
}

StreamEvents RequestService::attemptEvents(const RequestPtr &request, const AttemptPtr &attempt)
{
    StreamEvents events;
    events.onData = [this, request, attempt](std::string_view bytes) {
        attemptData(request, attempt, bytes);
    };
    events.onEnd = [this, request, attempt](const WireFields &trailers) {
        attemptEnd(request, attempt, trailers);
    };
    events.onError = [this, request, attempt](const Error &error) {
        attemptBroken(request, attempt, error);
    };
    return events;
}

void RequestService::attemptData(const RequestPtr &request, const AttemptPtr &attempt,
                                 std::string_view bytes)
{
    if (attempt->firstBytes == Duration::zero())
        attempt->firstBytes = MonotonicClock::now() - attempt->sentAt;
    attempt->owed += bytes.size();
    if (request->call.isPlain) {
        if (request->text.size() + bytes.size() <= WholeResponseLimit)
            request->text += bytes;
        return;
    }
    const bool isReadable = attempt->reader.feed(bytes, [&](const TokenFrame &frame) {
        if (request->closed)
            return;
        attempt->tokens = frame.position + 1;
        // The tracker counts tokens: each frame stands for one unit of the stream.
        apply(request,
              request->tracker->chunk(attempt->key, pinOf(attempt->target.pin), frame.position,
                                      "t"),
              &frame);
    });
    if (!isReadable)
        attempt->stream->cancel();
    const bool canTake = request->closed || request->reply->queuedBytes() < CallerQueueBytes;
    if (canTake && attempt->stream)
        attempt->stream->consume(std::exchange(attempt->owed, 0));
}

void RequestService::attemptEnd(const RequestPtr &request, const AttemptPtr &attempt,
                                const WireFields &trailers)
{
    auto parsed =
            capture([&] { return parseJson<RunOutcome>(fieldValue(trailers, OutcomeField)); });
    if (!succeeded(parsed)) {
        attemptBroken(request, attempt, {ResultCode::MessageMalformed, "no outcome"});
        return;
    }
    const auto &outcome = std::get<0>(parsed);
    const auto code = static_cast<ResultCode>(outcome.code);
    attempt->stream.reset();
    settlePoison(request, attempt, outcome);
    if (code == ResultCode::SlotNotOwned || code == ResultCode::SlotOwnershipUncertain)
        m_directory.slots(request->call.deployment)
                .notOwned(attempt->target.host, request->call.key, MonotonicClock::now());
    if (code == ResultCode::AttemptForOtherProcess) {
        m_directory.forgetReport(attempt->target.host);
        m_selector.synchronize(m_directory, MonotonicClock::now());
    }
    if (code == ResultCode::ProcessLeaving) {
        const TimePoint now = MonotonicClock::now();
        m_directory.drain().indicate(attempt->target.host, DrainState::Source::Refusal,
                                     attempt->terms.incarnation, now);
        m_selector.synchronize(m_directory, now);
    }
    releasePlace(attempt, code == ResultCode::Ok              ? ConcurrencyLimiter::End::Complete
                          : outcome.state == RunState::NotRun ? ConcurrencyLimiter::End::Refused
                                                              : ConcurrencyLimiter::End::Abandoned);
    if (request->closed)
        return;
    request->outcome = outcome;
    request->lastCode = code;
    request->lastDetail = outcome.detail;
    request->lastRetryAfter = outcome.retryAfter;
    apply(request,
          request->tracker->reply(attempt->key, pinOf(attempt->target.pin), code, outcome.state,
                                  attempt->tokens, outcome.retryAfter),
          nullptr);
}

void RequestService::attemptBroken(const RequestPtr &request, const AttemptPtr &attempt,
                                   const Error &error)
{
    attempt->stream.reset();
    if (std::exchange(attempt->inPoison, false))
        m_poison.abandoned(request->call.content, attempt->target.backend);
    releasePlace(attempt, ConcurrencyLimiter::End::Abandoned);
    if (request->closed)
        return;
    request->lastCode = error.code;
    request->lastDetail = error.detail;
    if (request->atMostOnce)
        m_directory.slots(request->call.deployment)
                .silent(attempt->target.host, MonotonicClock::now());
    if (error.code == ResultCode::NotSent) {
        apply(request,
              request->tracker->reply(attempt->key, pinOf(attempt->target.pin), error.code,
                                      RunState::NotRun, 0),
              nullptr);
        return;
    }
    const auto actions = request->tracker->silent(attempt->key);
    sendWithdraw(request, attempt);
    apply(request, actions, nullptr);
}

void RequestService::sendWithdraw(const RequestPtr &request, const AttemptPtr &attempt)
{
    WithdrawMessage message;
    message.request = attempt->key.request;
    message.attempt = attempt->key.attempt;
    message.incarnation = attempt->terms.incarnation;
    message.startBefore = attempt->terms.startBefore.time_since_epoch().count();
    if (request->atMostOnce) {
        message.deployment = request->call.deployment;
        message.key = request->call.key;
    }
    m_peers.client(attempt->endpoint)
            .call("/withdraw", toJsonText(message), WithdrawTimeout,
                  [this, request, attempt](const Outcome<std::string> &reply) {
                      RunState state = RunState::Unknown;
                      if (succeeded(reply)) {
                          const auto outcome = capture(
                                  [&] { return parseJson<RunOutcome>(std::get<0>(reply)); });
                          if (succeeded(outcome))
                              state = std::get<0>(outcome).state;
                      }
                      if (!request->closed)
                          apply(request, request->tracker->withdrawn(attempt->key, state), nullptr);
                  });
}

void RequestService::releasePlace(const AttemptPtr &attempt, ConcurrencyLimiter::End end)
{
    if (!std::exchange(attempt->hasPlace, false))
        return;
    const TimePoint now = MonotonicClock::now();
    const Duration latency =
            attempt->firstBytes > Duration::zero() ? attempt->firstBytes : now - attempt->sentAt;
    m_limiter.release(attempt->target.backend, end, latency, now);
    if (attempt->isRouted)
        m_selector.finished(attempt->target.backend, now - attempt->sentAt, now);
}

void RequestService::settlePoison(const RequestPtr &request, const AttemptPtr &attempt,
                                  const RunOutcome &outcome)
{
    const TimePoint now = MonotonicClock::now();
    const auto &backend = attempt->target.backend;
    if (outcome.crashedBoots != 0) {
        auto records = m_poison.crashed(backend, Incarnation{outcome.crashedBoots}, now);
        if (!records.empty())
            m_spread(std::move(records));
    }
    if (!std::exchange(attempt->inPoison, false))
        return;
    if (outcome.code == 0)
        m_poison.finished(request->call.content, backend);
    else
        m_poison.abandoned(request->call.content, backend);
}

void RequestService::retryOrGiveUp(const RequestPtr &request)
{
    // The budget keeps retries from multiplying an overload, which refusals do not add to.
    const bool isFree =
            request->outcome.state == RunState::NotRun || isRefusalWithoutWork(request->lastCode);
    if (isFree || m_budget.take()) {
        m_retries.add();
        startAttempt(request);
        return;
    }
    apply(request, request->tracker->giveUp(ResultCode::RetryBudgetSpent, std::chrono::seconds(1)),
          nullptr);
}

} // namespace godwit
