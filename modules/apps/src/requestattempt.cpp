// RequestService: attempts, from the message to the host to the end of its response.
#include "requeststate.h"

#include <algorithm>

namespace godwit {

namespace {

// Maximum delay before an attempt starts. Hosts must remember withdrawn attempts for this time, so
// it bounds their memory.
constexpr Duration MaxStartDelay = std::chrono::seconds(30);
constexpr Duration WithdrawTimeout = std::chrono::seconds(2);
// With more bytes queued for the caller, the entry process stops consuming the response of the
// host.
constexpr std::size_t MaxCallerQueueBytes = 32UL * 1024;

/// True if an attempt that was refused with \a code caused no work on a backend server.
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
    if (m_poisonDetector.decide(request->call.content, {}, now)
        == PoisonDetector::Decision::Refuse) {
        refuse(*request->reply, request->call.id,
               {ResultCode::PoisonSuspected, "requests with this content crashed backend servers"},
               RunState::NotRun, {});
        close(request);
        return;
    }
    const auto target = choose(*request, now);
    if (!target) {
        waitForCapacity(request);
        return;
    }
    BackendDirectory::Host *host = m_directory.find(target->host);
    const auto lifetime = std::min<Duration>(MaxStartDelay, request->deadline - now);
    const auto terms = host->clock.makeTerms(lifetime, now);
    if (!terms || !m_limiter.tryAcquire(target->backend)) {
        reportNotSent(*request, *target, now);
        waitForCapacity(request);
        return;
    }
    if (!request->tracker) {
        request->pin = target->pin;
        RequestTracker::Spec spec;
        spec.id = request->call.id;
        spec.pin = pinOf(target->pin);
        spec.isIdempotent = !request->atMostOnce;
        spec.hasIdempotencyKey = request->atMostOnce;
        spec.isResumable = !request->call.isPlain;
        spec.deadline = request->deadline;
        request->tracker.emplace(spec);
    }
    const auto start = request->tracker->startAttempt();
    const auto attempt = std::make_shared<Attempt>();
    attempt->key = start.key;
    attempt->terms = *terms;
    attempt->target = *target;
    attempt->endpoint = host->endpoint;
    attempt->sentAt = now;
    attempt->holdsPermit = true;
    attempt->isRouted = !request->call.isPlain && !request->atMostOnce;
    attempt->isTrackedForPoison = true;
    attempt->tokens = start.resumeAt;
    m_poisonDetector.recordStart(request->call.content, target->backend);
    request->triedBackends.insert(target->backend);
    request->attempts.emplace(attempt->key, attempt);
    sendAttempt(request, attempt, start.resumeAt);
}

void RequestService::sendAttempt(const RequestPtr &request, const AttemptPtr &attempt,
                                 std::uint64_t resumeAt)
{
    const auto &call = request->call;
    RunHeader header;
    header.request = call.id;
    header.attempt = attempt->key.attempt;
    header.incarnation = attempt->terms.incarnation;
    header.startBefore = attempt->terms.startBefore.time_since_epoch().count();
    header.deadline = request->deadline - attempt->sentAt;
    header.deployment = call.deployment;
    header.backend = attempt->target.backend;
    header.pin = attempt->target.pin;
    header.customer = call.customer;
    header.priority = 2 - static_cast<int>(call.priority);
    header.key = call.key;
    header.atMostOnce = request->atMostOnce;
    header.method = call.method;
    header.target = call.target;
    header.contentType = call.contentType;
    header.resumePosition = resumeAt;
    auto &client = m_peers.client(attempt->endpoint);
    attempt->stream = client.open(
            "/run",
            {{RunField, toJsonText(header)}, {TraceField, request->span->context().format()}},
            attemptEvents(request, attempt));
    attempt->stream->setManualFlowControl(call.isStreamed);
    attempt->stream->write(call.body);
    attempt->stream->finish();
}

void RequestService::waitForCapacity(const RequestPtr &request)
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
    attempt->unconsumedBytes += bytes.size();
    if (request->call.isPlain) {
        if (request->text.size() + bytes.size() <= CollectedResponseLimit)
            request->text += bytes;
        return;
    }
    const bool isValid = attempt->reader.feed(bytes, [&](const TokenFrame &frame) {
        if (request->closed)
            return;
        attempt->tokens = frame.position + 1;
        // The tracker counts tokens, and each frame is one token.
        apply(request,
              request->tracker->handleChunk(attempt->key, pinOf(attempt->target.pin),
                                            frame.position, "t"),
              &frame);
    });
    if (!isValid)
        attempt->stream->cancel();
    const bool canConsume = request->closed || request->reply->queuedBytes() < MaxCallerQueueBytes;
    if (canConsume && attempt->stream)
        attempt->stream->consume(std::exchange(attempt->unconsumedBytes, 0));
}

void RequestService::attemptEnd(const RequestPtr &request, const AttemptPtr &attempt,
                                const WireFields &trailers)
{
    auto parsed =
            capture([&] { return parseJson<RunOutcome>(fieldValue(trailers, OutcomeField)); });
    if (!succeeded(parsed)) {
        attemptBroken(request, attempt,
                      {ResultCode::MessageMalformed, "the response has no valid outcome trailer"});
        return;
    }
    const auto &outcome = std::get<0>(parsed);
    const auto code = static_cast<ResultCode>(outcome.code);
    attempt->stream.reset();
    updatePoisonDetector(request, attempt, outcome);
    if (code == ResultCode::SlotNotOwned || code == ResultCode::SlotOwnershipUncertain)
        m_directory.slotRouter(request->call.deployment)
                .markNotOwner(attempt->target.host, request->call.key, MonotonicClock::now());
    if (code == ResultCode::AttemptForOtherProcess) {
        m_directory.clearReport(attempt->target.host);
        m_selector.synchronize(m_directory, MonotonicClock::now());
    }
    if (code == ResultCode::ProcessLeaving) {
        const TimePoint now = MonotonicClock::now();
        m_directory.drain().markLeaving(attempt->target.host, DrainState::Source::Refusal,
                                        attempt->terms.incarnation, now);
        m_selector.synchronize(m_directory, now);
    }
    releasePermit(attempt, code == ResultCode::Ok ? ConcurrencyLimiter::ReleaseReason::Complete
                           : outcome.state == RunState::NotRun
                                   ? ConcurrencyLimiter::ReleaseReason::Refused
                                   : ConcurrencyLimiter::ReleaseReason::Abandoned);
    if (request->closed)
        return;
    request->outcome = outcome;
    request->lastCode = code;
    request->lastDetail = outcome.detail;
    request->lastRetryAfter = outcome.retryAfter;
    apply(request,
          request->tracker->handleReply(attempt->key, pinOf(attempt->target.pin), code,
                                        outcome.state, attempt->tokens, outcome.retryAfter),
          nullptr);
}

void RequestService::attemptBroken(const RequestPtr &request, const AttemptPtr &attempt,
                                   const Error &error)
{
    attempt->stream.reset();
    if (std::exchange(attempt->isTrackedForPoison, false))
        m_poisonDetector.recordAbandoned(request->call.content, attempt->target.backend);
    releasePermit(attempt, ConcurrencyLimiter::ReleaseReason::Abandoned);
    if (request->closed)
        return;
    request->lastCode = error.code;
    request->lastDetail = error.detail;
    if (request->atMostOnce)
        m_directory.slotRouter(request->call.deployment)
                .markUnresponsive(attempt->target.host, MonotonicClock::now());
    if (error.code == ResultCode::NotSent) {
        apply(request,
              request->tracker->handleReply(attempt->key, pinOf(attempt->target.pin), error.code,
                                            RunState::NotRun, 0),
              nullptr);
        return;
    }
    const auto actions = request->tracker->handleSilence(attempt->key);
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
                          apply(request, request->tracker->handleWithdrawReply(attempt->key, state),
                                nullptr);
                  });
}

void RequestService::releasePermit(const AttemptPtr &attempt, ConcurrencyLimiter::ReleaseReason end)
{
    if (!std::exchange(attempt->holdsPermit, false))
        return;
    const TimePoint now = MonotonicClock::now();
    const Duration latency =
            attempt->firstBytes > Duration::zero() ? attempt->firstBytes : now - attempt->sentAt;
    m_limiter.release(attempt->target.backend, end, latency, now);
    if (attempt->isRouted)
        m_selector.finished(attempt->target.backend, now - attempt->sentAt, now);
}

void RequestService::updatePoisonDetector(const RequestPtr &request, const AttemptPtr &attempt,
                                          const RunOutcome &outcome)
{
    const TimePoint now = MonotonicClock::now();
    const auto &backend = attempt->target.backend;
    if (outcome.crashedBoots != 0) {
        auto records =
                m_poisonDetector.recordCrash(backend, Incarnation{outcome.crashedBoots}, now);
        if (!records.empty())
            m_publishPoison(std::move(records));
    }
    if (!std::exchange(attempt->isTrackedForPoison, false))
        return;
    if (outcome.code == 0)
        m_poisonDetector.recordCompletion(request->call.content, backend);
    else
        m_poisonDetector.recordAbandoned(request->call.content, backend);
}

void RequestService::retryOrGiveUp(const RequestPtr &request)
{
    // The budget keeps retries from amplifying an overload. Refused attempts add no load, so
    // retries after them do not count.
    const bool skipsBudget =
            request->outcome.state == RunState::NotRun || isRefusalWithoutWork(request->lastCode);
    if (skipsBudget || m_retryBudget.tryAcquire()) {
        m_retries.add();
        startAttempt(request);
        return;
    }
    apply(request, request->tracker->abandon(ResultCode::RetryBudgetSpent, std::chrono::seconds(1)),
          nullptr);
}

} // namespace godwit
