#include "operatorservice.h"

#include "storagereplies.h"

#include <godwit/base/rendezvous.h>
#include <godwit/language/dryrun.h>
#include <godwit/language/evaluate.h>
#include <godwit/language/parser.h>
#include <godwit/observe/log.h>

#include <algorithm>
#include <chrono>

namespace godwit {

namespace {

constexpr const char *ConfigurationKey = "/godwit/config";
// If a host does not report within this time, a query is answered from older reports.
constexpr Duration ReportTimeout = std::chrono::milliseconds(700);

std::int64_t wallMilliseconds()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

LoadView servingLoad(const ModelPin &pin)
{
    LoadView view;
    view.load = {pin.model, pin.adapter, pin.version};
    return view;
}

// View of the target of a report whose weights are not loaded yet.
LoadView pendingLoad(const BackendReport &report)
{
    LoadView view;
    view.load = {report.target.model, report.target.adapter, report.target.version};
    view.state = report.transferPercent < 100 ? LoadState::Transferring : LoadState::Loading;
    view.bytesReady = report.transferPercent;
    view.bytesTotal = 100;
    if (!report.problem.empty()) {
        view.state = LoadState::Failed;
        view.error = toReportedError({ResultCode::EngineLoadFailed, report.problem});
    }
    return view;
}

} // namespace

OperatorService::OperatorService(const DaemonSettings &settings, ControlIo &io,
                                 ClusterAgent &cluster, const RefusalLog &refusals,
                                 ReportSource reports)
    : m_settings(settings)
    , m_io(io)
    , m_cluster(cluster)
    , m_refusals(refusals)
    , m_reportSource(std::move(reports))
    , m_random(stableHash(settings.host.value(), static_cast<std::uint64_t>(wallMilliseconds())))
{}

void OperatorService::handle(const std::string &body, Reply reply)
{
    const auto parsed = capture([&] { return parseOperatorRequest(body); });
    if (!succeeded(parsed)) {
        reply(toJsonText(errorReply({}, revision(), std::get<1>(parsed))));
        return;
    }
    const auto &request = std::get<0>(parsed);
    const auto statement = readStatement(request.statement);
    if (const auto *error = std::get_if<SyntaxError>(&statement)) {
        reply(toJsonText(syntaxReply(request.operation, revision(), *error)));
        return;
    }
    const auto &content = std::get<0>(statement);
    if (const auto *query = std::get_if<Query>(&content))
        answerWithReports(
                [this, request, query = *query, reply] { answerQuery(request, query, reply); });
    else if (request.dryRun)
        answerWithReports([this, request, command = std::get<Command>(content), reply] {
            answerDryRun(request, command, reply);
        });
    else
        startWrite(contextOf(request), std::get<Command>(content), std::move(reply));
}

void OperatorService::answerWithReports(std::function<void()> answer)
{
    m_reportSource.request();
    if (m_reportSource.isComplete())
        answer();
    else
        m_pendingQueries.push_back({std::move(answer), MonotonicClock::now() + ReportTimeout});
}

void OperatorService::answerQuery(const OperatorRequest &request, const Query &query,
                                  const Reply &reply)
{
    answerTable(request, capture([&] { return evaluate(query, view()); }), reply);
}

void OperatorService::answerDryRun(const OperatorRequest &request, const Command &command,
                                   const Reply &reply)
{
    answerTable(request, capture([&] { return dryRun(view(), command, contextOf(request)); }),
                reply);
}

void OperatorService::answerTable(const OperatorRequest &request, Outcome<ReplyTable> table,
                                  const Reply &reply)
{
    if (!succeeded(table)) {
        reply(toJsonText(errorReply(request.operation, revision(), std::get<1>(table))));
        return;
    }
    OperatorReply answer;
    answer.outcome = OperatorOutcome::Answer;
    answer.operation = request.operation;
    answer.revision = revision();
    const auto status = m_cluster.dissemination().status(MonotonicClock::now());
    if (status.source != ConfigurationSource::Service)
        answer.warning = status.describe();
    answer.table = std::move(std::get<0>(table));
    reply(toJsonText(answer));
}

CommandContext OperatorService::contextOf(const OperatorRequest &request) const
{
    CommandContext context;
    context.operation = request.operation;
    context.who = request.who;
    context.when = request.when;
    context.decidedOn = request.decidedOn;
    context.hosts = m_cluster.membership().live(ProcessRole::Host);
    return context;
}

void OperatorService::submit(const OperationId &operation, const Command &command)
{
    CommandContext context;
    context.operation = operation;
    context.who = m_settings.host.value();
    context.when = wallMilliseconds();
    context.hosts = m_cluster.membership().live(ProcessRole::Host);
    startWrite(std::move(context), command, [](const std::string &) {});
}

void OperatorService::startWrite(CommandContext context, const Command &command, Reply reply)
{
    const std::uint64_t id = m_nextWrite++;
    Write &write = m_writes[id];
    write.operation = context.operation;
    write.command = command;
    write.context = context;
    write.reply = std::move(reply);
    write.writer = std::make_unique<ConfigurationWriter>(
            command, std::move(context), m_cluster.dissemination().confirmed(),
            ConfigurationWriter::Settings{}, Random(m_random()));
    run(id, write.writer->start(MonotonicClock::now()));
}

void OperatorService::tick(TimePoint now)
{
    std::vector<std::uint64_t> due;
    for (auto &[id, write] : m_writes) {
        if (write.wakeAt && now >= *write.wakeAt) {
            write.wakeAt.reset();
            due.push_back(id);
        }
    }
    for (const auto id : due)
        run(id, m_writes.at(id).writer->onTimer(now));
    const bool isComplete = !m_pendingQueries.empty() && m_reportSource.isComplete();
    const auto rest = std::stable_partition(
            m_pendingQueries.begin(), m_pendingQueries.end(),
            [&](const PendingQuery &it) { return isComplete || now >= it.until; });
    const std::vector<PendingQuery> ready(m_pendingQueries.begin(), rest);
    m_pendingQueries.erase(m_pendingQueries.begin(), rest);
    for (const PendingQuery &it : ready)
        it.answer();
}

void OperatorService::run(std::uint64_t id, const std::vector<WriterAction> &actions)
{
    for (const auto &action : actions)
        std::visit([&](const auto &it) { execute(id, it); }, action);
}

void OperatorService::execute(std::uint64_t id, const ReadConfiguration &action)
{
    auto done = m_io.controlCallback<Outcome<std::optional<KeyValueEntry>>>(
            [this, id, call = action.call](const Outcome<std::optional<KeyValueEntry>> &outcome) {
                const auto it = m_writes.find(id);
                if (it != m_writes.end())
                    run(id, it->second.writer->onRead(MonotonicClock::now(), call,
                                                      storageReply(outcome)));
            });
    m_io.post([&io = m_io, done] { io.keyValue().get(ConfigurationKey, done); });
}

void OperatorService::execute(std::uint64_t id, const WriteConfiguration &action)
{
    auto done = m_io.controlCallback<Outcome<StoreRevision>>(
            [this, id, call = action.call](const Outcome<StoreRevision> &outcome) {
                const auto it = m_writes.find(id);
                if (it != m_writes.end())
                    run(id, it->second.writer->onWrite(MonotonicClock::now(), call,
                                                       storageReply(outcome)));
            });
    m_io.post([&io = m_io, action, done] {
        io.keyValue().compareAndSwap(ConfigurationKey, {action.expected}, action.value, {}, done);
    });
}

void OperatorService::execute(std::uint64_t id, const WakeWriter &action)
{
    m_writes.at(id).wakeAt = action.at;
}

void OperatorService::execute(std::uint64_t id, const FinishWrite &action)
{
    auto node = m_writes.extract(id);
    const Write &write = node.mapped();
    const WriteResult &result = action.result;
    if (result.stored)
        m_cluster.onConfigurationStored(result.stored, MonotonicClock::now());
    logStateChange("command_decided", {{"operation", write.operation.value()},
                                       {"command", std::string(commandName(write.command))},
                                       {"who", write.context.who},
                                       {"decision", static_cast<int>(result.decision)},
                                       {"revision", result.revision.value},
                                       {"problem", result.error.detail}});
    write.reply(toJsonText(replyOf(write, result)));
}

OperatorReply OperatorService::replyOf(const Write &write, const WriteResult &result) const
{
    OperatorReply reply;
    if (result.decision == WriteDecision::Accepted) {
        reply.outcome = OperatorOutcome::Accepted;
        reply.operation = write.operation;
        reply.revision = result.revision;
        return reply;
    }
    reply = errorReply(write.operation, revision(), result.error);
    reply.outcome = result.decision == WriteDecision::Undecided ? OperatorOutcome::Undecided
                                                                : OperatorOutcome::Refused;
    if (result.stored)
        reply.conflict = findConflict(*result.stored, write.command, write.context);
    return reply;
}

Revision OperatorService::revision() const
{
    return m_cluster.dissemination().applied();
}

FleetView OperatorService::view() const
{
    FleetView view;
    if (m_cluster.dissemination().current())
        view.configuration = m_cluster.dissemination().current();
    view.members = memberViews();
    view.backends = backendViews();
    for (const auto &refusal : m_refusals.latest()) {
        RefusedRequest entry;
        entry.request = refusal.request;
        entry.entry = m_settings.host;
        entry.customer = refusal.customer;
        entry.deployment = refusal.deployment;
        entry.reason = toReportedError(refusal.error);
        entry.runState = refusal.state == RunState::NotRun ? "not_run" : "unknown";
        view.refusedRequests.push_back(std::move(entry));
    }
    view.links = {m_settings.links.originBitsPerSecond, m_settings.links.downloadBitsPerSecond,
                  m_settings.links.interRegionBitsPerSecond};
    return view;
}

std::vector<MemberView> OperatorService::memberViews() const
{
    std::vector<MemberView> views;
    for (const Member &member : m_cluster.membership().all()) {
        MemberView view;
        view.member = member;
        view.region = m_cluster.regionOf(member.zone);
        views.push_back(std::move(view));
    }
    return views;
}

std::vector<BackendView> OperatorService::backendViews() const
{
    std::vector<BackendView> views;
    for (const auto &[host, report] : m_reports) {
        for (const auto &backend : report.backends)
            views.push_back(backendView(report, backend));
    }
    return views;
}

BackendView OperatorService::backendView(const HostReport &host, const BackendReport &report) const
{
    BackendView view;
    view.backend = report.backend;
    view.host = host.host;
    view.service = report.deployment;
    view.state = report.up ? BackendState::Up : BackendState::Down;
    for (const auto &pin : report.loaded)
        view.loads.push_back(servingLoad(pin));
    const bool isPending =
            !report.target.model.empty()
            && std::ranges::find(report.loaded, report.target) == report.loaded.end();
    if (isPending)
        view.loads.push_back(pendingLoad(report));
    view.runningRequests = report.running;
    view.queuedRequests = static_cast<std::uint32_t>(report.load.queued);
    if (!report.problem.empty())
        view.lastError = toReportedError({ResultCode::EngineLoadFailed, report.problem});
    return view;
}

} // namespace godwit
