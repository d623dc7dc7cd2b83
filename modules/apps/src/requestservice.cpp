#include "callerresponse.h"
#include "requeststate.h"

#include <algorithm>

namespace godwit {

RequestService::RequestService(const DaemonSettings &settings, PeerPool &peers,
                               BackendDirectory &directory, RefusalLog &refusals,
                               MetricsRegistry &metrics, Tracer &tracer, Random random,
                               PoisonPublisher publishPoison, EnginesNeeded enginesNeeded)
    : m_settings(settings)
    , m_peers(peers)
    , m_directory(directory)
    , m_refusals(refusals)
    , m_tracer(tracer)
    , m_random(random)
    , m_selector(settings, Random(m_random()))
    , m_publishPoison(std::move(publishPoison))
    , m_enginesNeeded(std::move(enginesNeeded))
    , m_received(metrics.counter("godwit_requests_received_total", "Requests of callers."))
    , m_answered(metrics.counter("godwit_requests_answered_total", "Complete responses."))
    , m_notRun(metrics.counter("godwit_requests_not_run_total", "Requests refused as not run."))
    , m_unknown(metrics.counter("godwit_requests_unknown_total",
                                "Requests of which it is not known whether they ran."))
    , m_retries(metrics.counter("godwit_request_retries_total", "Attempts after the first."))
    , m_tokens(metrics.counter("godwit_request_tokens_total", "Tokens passed on to callers."))
    , m_firstToken(metrics.summary("godwit_first_token_seconds",
                                   "Time from arrival to the first token."))
{}

RequestService::~RequestService() = default;

RequestId RequestService::newRequestId()
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (int half = 0; half < 2; ++half) {
        const std::uint64_t number = m_random();
        for (int shift = 60; shift >= 0; shift -= 4)
            text += digits[number >> shift & 15];
    }
    return RequestId(text);
}

void RequestService::handle(HttpRequest request, std::shared_ptr<HttpReply> reply)
{
    m_received.add();
    const RequestId id = newRequestId();
    if (!m_accepting) {
        refuse(*reply, id, {ResultCode::ProcessLeaving, "the entry process is shutting down"},
               RunState::NotRun, std::chrono::seconds(1));
        return;
    }
    auto call = capture([&] {
        return parseCallerRequest(std::move(request), id, m_settings.requests.defaultDeadline);
    });
    if (succeeded(call))
        admit(std::move(std::get<0>(call)), std::move(reply));
    else
        refuse(*reply, id, std::get<1>(call), RunState::NotRun, {});
}

void RequestService::admit(CallerRequest call, std::shared_ptr<HttpReply> reply)
{
    const auto *configuration = m_directory.configuration();
    const Deployment *deployment = nullptr;
    if (configuration) {
        const auto it = configuration->deployments.find(call.deployment);
        const auto kind = call.isPlain ? DeploymentKind::Service : DeploymentKind::Model;
        if (it != configuration->deployments.end() && it->second.options.kind == kind)
            deployment = &it->second;
    }
    if (!deployment) {
        refuse(*reply, call.id,
               {ResultCode::DeploymentUnknown,
                "the configuration has no such deployment: " + call.deployment.value()},
               RunState::NotRun, configuration ? Duration(0) : std::chrono::seconds(1));
        return;
    }
    const auto share = deployment->customers.find(call.customer);
    if (share == deployment->customers.end() && !deployment->anyCustomer) {
        refuse(*reply, call.id,
               {ResultCode::CustomerDenied, "the deployment does not admit the customer"},
               RunState::NotRun, {});
        return;
    }
    if (share != deployment->customers.end() && !call.hasPriority)
        call.priority = share->second.priorityClass;
    auto request = std::make_shared<Request>();
    request->weight = share == deployment->customers.end() ? 1 : share->second.weight;
    request->atMostOnce = !deployment->options.idempotent;
    request->reply = std::move(reply);
    request->arrived = MonotonicClock::now();
    request->deadline = request->arrived + call.deadline;
    request->span = m_tracer.start("entry.request", call.traceparent, request->arrived);
    request->call = std::move(call);
    // A caller that sent no key cannot retry, but this process can retry under a key of its own.
    if (request->atMostOnce && request->call.key.empty())
        request->call.key = IdempotencyKey(request->call.id.value());
    m_requests.emplace(request->call.id, request);
    request->reply->onClosed([this, weak = std::weak_ptr(request)] {
        const auto it = weak.lock();
        if (!it || it->closed)
            return;
        if (it->tracker)
            apply(it, it->tracker->cancel(), nullptr);
        close(it);
    });
    m_retryBudget.recordRequest();
    enqueue(request);
}

void RequestService::enqueue(const RequestPtr &request)
{
    auto [it, isNew] = m_queues.try_emplace(
            request->call.deployment,
            AdmissionQueue::Limits{m_settings.requests.queueLimit,
                                   std::max<std::size_t>(1, m_settings.requests.queueLimit / 2)});
    AdmissionQueue::Item item;
    item.id = request->call.id;
    item.customer = request->call.customer;
    item.priority = request->call.priority;
    item.deadline = request->deadline;
    request->queued = true;
    it->second.setWeight(item.customer, request->weight);
    const TimePoint now = MonotonicClock::now();
    refuseQueued(it->second.push(item, now));
    dispatchQueued(request->call.deployment, now);
}

void RequestService::refuseQueued(const std::vector<AdmissionQueue::Refusal> &refusals)
{
    for (const auto &refusal : refusals) {
        const auto it = m_requests.find(refusal.id);
        if (it == m_requests.end())
            continue;
        const RequestPtr request = it->second;
        const std::string why = ineligibleReasons(*request, MonotonicClock::now());
        refuse(*request->reply, refusal.id, {refusal.code, "the request would wait too long" + why},
               RunState::NotRun, refusal.retryAfter);
        close(request);
    }
}

void RequestService::dispatchQueued(const DeploymentId &deployment, TimePoint now)
{
    const auto it = m_queues.find(deployment);
    if (it == m_queues.end())
        return;
    std::vector<AdmissionQueue::Refusal> refused;
    while (it->second.size() > 0 && hasCapacity(deployment)) {
        const auto item = it->second.pop(now, refused);
        if (!item)
            break;
        const auto request = m_requests.find(item->id);
        if (request == m_requests.end())
            continue;
        request->second->queued = false;
        startAttempt(request->second);
    }
    refuseQueued(refused);
}

void RequestService::apply(const RequestPtr &request, const RequestTracker::Actions &actions,
                           const TokenFrame *frame)
{
    if (!actions.deliver.empty() && frame)
        deliver(request, *frame);
    for (const auto &key : actions.withdraw) {
        const auto it = request->attempts.find(key);
        if (it == request->attempts.end())
            continue;
        const AttemptPtr attempt = it->second;
        if (attempt->stream)
            attempt->stream->cancel();
        attempt->stream.reset();
        if (std::exchange(attempt->isTrackedForPoison, false))
            m_poisonDetector.recordAbandoned(request->call.content, attempt->target.backend);
        releasePermit(attempt, ConcurrencyLimiter::ReleaseReason::Abandoned);
        sendWithdraw(request, attempt);
    }
    if (actions.final) {
        sendResponse(request, *actions.final);
        close(request);
    } else if (actions.mayRetry) {
        retryOrGiveUp(request);
    }
}

void RequestService::deliver(const RequestPtr &request, const TokenFrame &frame)
{
    m_tokens.add();
    if (frame.position == 0)
        m_firstToken.observe(toSeconds(MonotonicClock::now() - request->arrived));
    if (!request->call.isStreamed) {
        if (request->text.size() < CollectedResponseLimit)
            request->text += completionText(frame.data, request->finishReason);
        return;
    }
    if (!std::exchange(request->responseStarted, true)) {
        HttpHeaders headers{{"Content-Type", "text/event-stream"},
                            {"X-Request-Id", request->call.id.value()}};
        request->reply->start(200, std::move(headers));
        request->reply->onDrained([weak = std::weak_ptr(request)] {
            const auto it = weak.lock();
            if (!it)
                return;
            for (const auto &[key, attempt] : it->attempts) {
                if (attempt->stream && attempt->unconsumedBytes > 0)
                    attempt->stream->consume(std::exchange(attempt->unconsumedBytes, 0));
            }
        });
    }
    std::string event = "data: ";
    event += frame.data;
    event += "\n\n";
    request->reply->write(std::move(event));
}

void RequestService::sendResponse(const RequestPtr &request,
                                  const RequestTracker::FinalResponse &final)
{
    if (final.code != ResultCode::Ok) {
        sendErrorResponse(request, final);
        return;
    }
    m_answered.add();
    if (request->call.isStreamed && !request->call.isPlain) {
        if (!request->responseStarted)
            request->reply->start(200, {{"Content-Type", "text/event-stream"}});
        request->reply->write("data: [DONE]\n\n");
        request->reply->finish();
        return;
    }
    HttpResponse response;
    response.headers.add("X-Request-Id", request->call.id.value());
    if (request->call.isPlain) {
        response.status = request->outcome.status;
        if (!request->outcome.contentType.empty())
            response.headers.add("Content-Type", request->outcome.contentType);
        response.body = std::move(request->text);
    } else {
        const bool isChat = request->call.target.starts_with("/v1/chat");
        boost::json::object choice{{"index", 0}, {"finish_reason", request->finishReason}};
        if (isChat)
            choice["message"] = {{"role", "assistant"}, {"content", request->text}};
        else
            choice["text"] = request->text;
        response.headers.add("Content-Type", "application/json");
        response.body = boost::json::serialize(boost::json::object{
                {"id", request->call.id.value()},
                {"object", isChat ? "chat.completion" : "text_completion"},
                {"model", request->call.deployment.value() + '/' + request->call.model.value()},
                {"choices", boost::json::array{choice}},
                {"origin", toJson(request->pin)}});
    }
    request->reply->send(std::move(response));
}

void RequestService::sendErrorResponse(const RequestPtr &request,
                                       const RequestTracker::FinalResponse &final)
{
    Error error{final.code, request->lastDetail};
    if (error.detail.empty())
        error.detail = "the request failed";
    // A final code such as RetryBudgetSpent does not tell why the attempts failed.
    if (request->lastCode != ResultCode::Ok && request->lastCode != final.code)
        error.detail += "; last attempt: " + std::string(resultCodeName(request->lastCode));
    const Duration retryAfter = std::max(final.retryAfter, request->lastRetryAfter);
    if (!request->responseStarted) {
        refuse(*request->reply, request->call.id, error, final.state, retryAfter);
        return;
    }
    // The status has been sent, so an error event and a missing [DONE] signal the failure.
    (final.state == RunState::NotRun ? m_notRun : m_unknown).add();
    request->reply->write("event: error\ndata: "
                          + errorBody(request->call.id, error, final.state, retryAfter) + "\n\n");
    request->reply->finish();
}

void RequestService::refuse(HttpReply &reply, const RequestId &id, const Error &error,
                            RunState state, Duration retryAfter)
{
    (state == RunState::NotRun ? m_notRun : m_unknown).add();
    Refusal entry;
    entry.request = id;
    entry.error = error;
    entry.state = state;
    if (const auto it = m_requests.find(id); it != m_requests.end()) {
        entry.deployment = it->second->call.deployment;
        entry.customer = it->second->call.customer;
    }
    m_refusals.add(std::move(entry));
    reply.send(errorResponse(id, error, state, retryAfter));
}

void RequestService::close(const RequestPtr &request)
{
    if (std::exchange(request->closed, true))
        return;
    if (request->queued) {
        if (const auto it = m_queues.find(request->call.deployment); it != m_queues.end())
            it->second.cancel(request->call.id);
    }
    for (const auto &[key, attempt] : request->attempts) {
        if (std::exchange(attempt->isTrackedForPoison, false))
            m_poisonDetector.recordAbandoned(request->call.content, attempt->target.backend);
        releasePermit(attempt, ConcurrencyLimiter::ReleaseReason::Abandoned);
        if (attempt->stream)
            attempt->stream->cancel();
        attempt->stream.reset();
    }
    if (request->span)
        request->span->end(MonotonicClock::now());
    m_requests.erase(request->call.id);
    dispatchQueued(request->call.deployment, MonotonicClock::now());
}

void RequestService::tick(TimePoint now)
{
    std::vector<RequestPtr> due;
    for (const auto &[id, request] : m_requests) {
        if (now >= request->deadline - RequestTracker::WithdrawLead)
            due.push_back(request);
    }
    requestEnginesForQueued(now);
    for (const auto &request : due) {
        if (request->closed)
            continue;
        if (request->tracker) {
            apply(request, request->tracker->tick(now), nullptr);
        } else if (now >= request->deadline) {
            refuse(*request->reply, request->call.id,
                   {ResultCode::DeadlineExceeded,
                    "no backend server became available before the deadline"
                            + ineligibleReasons(*request, now)},
                   RunState::NotRun, std::chrono::seconds(1));
            close(request);
        }
    }
    directoryChanged(now);
}

void RequestService::onReport(const HostReport &report, TimePoint now)
{
    m_selector.synchronize(m_directory, now);
    m_selector.applyReport(report, now);
    directoryChanged(now);
}

void RequestService::directoryChanged(TimePoint now)
{
    m_selector.synchronize(m_directory, now);
    auto waiting = std::move(m_waiting);
    m_waiting.clear();
    for (const auto &request : waiting) {
        request->waiting = false;
        if (!request->closed)
            startAttempt(request);
    }
    std::vector<DeploymentId> deployments;
    for (const auto &[deployment, queue] : m_queues)
        deployments.push_back(deployment);
    for (const auto &deployment : deployments)
        dispatchQueued(deployment, now);
}

void RequestService::mergePoison(const std::vector<PoisonRecord> &records, TimePoint now)
{
    for (const auto &record : records)
        m_poisonDetector.merge(record, now);
}

std::vector<std::string> RequestService::inProgressNames() const
{
    std::vector<std::string> names;
    for (const auto &[id, request] : m_requests)
        names.push_back(id.value());
    return names;
}

} // namespace godwit
