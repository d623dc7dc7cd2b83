#pragma once

#include "clusteragent.h"
#include "hostreport.h"
#include "refusallog.h"

#include <godwit/control/configurationwriter.h>
#include <godwit/language/fleetview.h>
#include <godwit/language/operatorreply.h>
#include <godwit/language/operatorrequest.h>
#include <godwit/language/statement.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace godwit {

/// Commands and queries of operators in an entry process. Used on the control thread only.
class OperatorService
{
public:
    using Reply = std::function<void(std::string)>;

    /// Source of the host reports that view() is built from.
    struct ReportSource
    {
        std::function<void()> request;    ///< Requests a report from each host.
        std::function<bool()> isComplete; ///< True if all these hosts have reported.
    };

    OperatorService(const DaemonSettings &settings, ControlIo &io, ClusterAgent &cluster,
                    const RefusalLog &refusals, ReportSource reports);

    /// Handles the body of a request and calls \a reply with the body of the response.
    void handle(const std::string &body, Reply reply);

    /// Submits a command that this process issues itself.
    void submit(const OperationId &operation, const Command &command);

    void onReport(const HostReport &report) { m_reports[report.host] = report; }
    void removeHost(const HostId &host) { m_reports.erase(host); }

    void tick(TimePoint now);

    FleetView view() const;

private:
    struct Write
    {
        std::unique_ptr<ConfigurationWriter> writer;
        OperationId operation;
        Command command;
        CommandContext context;
        Reply reply;
        std::optional<TimePoint> wakeAt;
    };

    void answerQuery(const OperatorRequest &request, const Query &query, const Reply &reply);
    void answerDryRun(const OperatorRequest &request, const Command &command, const Reply &reply);
    void answerWithReports(std::function<void()> answer);
    void answerTable(const OperatorRequest &request, Outcome<ReplyTable> table, const Reply &reply);
    void startWrite(CommandContext context, const Command &command, Reply reply);
    CommandContext contextOf(const OperatorRequest &request) const;
    void run(std::uint64_t id, const std::vector<WriterAction> &actions);
    void execute(std::uint64_t id, const ReadConfiguration &action);
    void execute(std::uint64_t id, const WriteConfiguration &action);
    void execute(std::uint64_t id, const WakeWriter &action);
    void execute(std::uint64_t id, const FinishWrite &action);
    OperatorReply replyOf(const Write &write, const WriteResult &result) const;
    Revision revision() const;
    std::vector<MemberView> memberViews() const;
    std::vector<BackendView> backendViews() const;
    BackendView backendView(const HostReport &host, const BackendReport &report) const;

    const DaemonSettings &m_settings;
    ControlIo &m_io;
    ClusterAgent &m_cluster;
    const RefusalLog &m_refusals;
    struct PendingQuery
    {
        std::function<void()> answer;
        TimePoint until;
    };

    ReportSource m_reportSource;
    std::vector<PendingQuery> m_pendingQueries; ///< Queries that wait for reports.
    Random m_random;
    std::map<HostId, HostReport> m_reports;
    std::map<std::uint64_t, Write> m_writes;
    std::uint64_t m_nextWrite = 1;
};

} // namespace godwit
