#include "orderprogress.h"

#include <godwit/ctl/invocation.h>
#include <godwit/ctl/operatorclient.h>
#include <godwit/ctl/program.h>
#include <godwit/language/parser.h>

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <chrono>
#include <optional>
#include <random>
#include <thread>

namespace godwit {

namespace {

constexpr auto FollowPollInterval = std::chrono::seconds(1);
/// Consecutive failures after which `follow order` gives up. With one poll per second this is
/// longer than the restart of an entry process takes.
constexpr int MaxFollowFailures = 30;

/// 128 random bits, so that ids are unique without coordination between operators.
OperationId newOperationId()
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::random_device device;
    std::uniform_int_distribution<std::size_t> digit(0, digits.size() - 1);
    std::string id = "op-";
    for (int i = 0; i < 32; ++i)
        id += digits[digit(device)];
    return OperationId(id);
}

std::int64_t wallClockMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

ExitCode exitCodeOf(const OperatorReply &reply)
{
    switch (reply.outcome) {
    case OperatorOutcome::Accepted:
    case OperatorOutcome::Answer:
        return ExitCode::Done;
    case OperatorOutcome::Undecided:
        return ExitCode::Undecided;
    case OperatorOutcome::Refused:
        return ExitCode::Refused;
    }
    return ExitCode::Refused;
}

/// Executes one statement and prints its reply.
class StatementRun
{
public:
    StatementRun(Invocation invocation, std::ostream &out, std::ostream &err)
        : m_invocation(std::move(invocation))
        , m_client(m_io, m_invocation.client)
        , m_out(out)
        , m_err(err)
    {
        OperatorRequest &request = m_invocation.request;
        if (request.operation.empty())
            request.operation = newOperationId();
        request.when = wallClockMilliseconds();
    }

    ExitCode run()
    {
        const auto statement = readStatement(m_invocation.request.statement);
        const auto *parsed = std::get_if<Statement>(&statement);
        const auto *query = parsed ? std::get_if<Query>(parsed) : nullptr;
        const auto *order = query ? std::get_if<ShowOrder>(query) : nullptr;
        // A statement that this version cannot parse is sent as well: the entry process may be
        // newer.
        if (!query)
            m_err << "operation " << m_invocation.request.operation << '\n';
        return order && order->follow ? follow() : runOnce();
    }

private:
    Outcome<ClientResult> sendRequest()
    {
        std::optional<Outcome<ClientResult>> result;
        m_client.send(m_invocation.request,
                      [&](Outcome<ClientResult> outcome) { result = std::move(outcome); });
        m_io.restart();
        while (!result && m_io.run_one() > 0) {
        }
        return std::move(result).value_or(Error{ResultCode::EntryUnreachable, "no reply"});
    }

    ExitCode runOnce()
    {
        const auto outcome = sendRequest();
        if (!succeeded(outcome)) {
            m_err << toString(std::get<1>(outcome)) << '\n';
            return ExitCode::Unreachable;
        }
        const ClientResult &result = std::get<0>(outcome);
        print(result.reply);
        if (result.earlierAttemptUndecided)
            m_err << "warning: an earlier attempt got no reply and may still take effect; check "
                     "with \"show operations\"\n";
        return exitCodeOf(result.reply);
    }

    ExitCode follow()
    {
        std::optional<OrderProgress> last;
        int failures = 0;
        while (true) {
            const auto outcome = sendRequest();
            if (!succeeded(outcome)) {
                m_err << toString(std::get<1>(outcome)) << '\n';
                if (++failures == MaxFollowFailures)
                    return ExitCode::Unreachable;
            } else {
                const OperatorReply &reply = std::get<0>(outcome).reply;
                if (reply.outcome != OperatorOutcome::Answer || !reply.table) {
                    print(reply);
                    return exitCodeOf(reply);
                }
                failures = 0;
                const OrderProgress progress = parseOrderProgress(*reply.table);
                if (progress != last)
                    printProgress(progress, reply);
                if (progress.isDone())
                    return progress.hasFailed() ? ExitCode::Refused : ExitCode::Done;
                last = progress;
            }
            std::this_thread::sleep_for(FollowPollInterval);
        }
    }

    void printProgress(const OrderProgress &progress, const OperatorReply &reply)
    {
        print(reply);
        if (m_invocation.output == Invocation::Output::Table)
            m_out << progress.ready << " of " << progress.engines << " ready, order "
                  << progress.orderState << "\n\n";
        m_out.flush();
    }

    void print(const OperatorReply &reply)
    {
        if (!reply.warning.empty())
            m_err << "warning: " << reply.warning << '\n';
        if (m_invocation.output == Invocation::Output::Json)
            m_out << toJsonText(reply) << '\n';
        else
            printText(reply);
    }

    void printText(const OperatorReply &reply)
    {
        if (reply.outcome == OperatorOutcome::Accepted)
            m_out << "accepted at revision " << reply.revision << '\n';
        if (reply.table)
            m_out << toText(*reply.table);
        if (reply.outcome == OperatorOutcome::Answer)
            m_out << "revision " << reply.revision << '\n';
        if (reply.error)
            m_err << (reply.outcome == OperatorOutcome::Undecided ? "undecided: " : "refused: ")
                  << toString(*reply.error) << '\n';
        if (reply.syntax)
            printPosition(*reply.syntax);
        if (reply.conflict)
            m_err << reply.conflict->target << " was changed by " << reply.conflict->record.who
                  << " (" << reply.conflict->record.what << ", operation "
                  << reply.conflict->operation << ") at revision "
                  << reply.conflict->record.revision << '\n';
        if (reply.outcome == OperatorOutcome::Undecided)
            m_err << "send the command again with --operation " << m_invocation.request.operation
                  << '\n';
    }

    /// Prints the line of the statement with a caret below the position of the error.
    void printPosition(const SyntaxError &syntax)
    {
        const std::string &text = m_invocation.request.statement;
        std::size_t start = 0;
        for (std::uint32_t line = 1; line < syntax.line && start < text.size(); ++line)
            start = std::min(text.find('\n', start), text.size() - 1) + 1;
        const std::string line = text.substr(start, text.find('\n', start) - start);
        if (syntax.column > line.size() + 1)
            return;
        m_err << "  " << line << "\n  " << std::string(syntax.column - 1, ' ') << "^\n";
    }

    Invocation m_invocation;
    boost::asio::io_context m_io;
    OperatorClient m_client;
    std::ostream &m_out;
    std::ostream &m_err;
};

} // namespace

std::string resultCodesPage()
{
    std::string page = "# Result codes\n\n"
                       "This page is printed by `godwitctl codes`. Areas: 1xxx settings and input "
                       "formats, 2xxx\nplatform, 3xxx connections, 4xxx weights, 5xxx requests and "
                       "routing, 6xxx configuration and\nlanguage, 7xxx membership, leases and "
                       "fencing.\n\n"
                       "| code | name | meaning |\n| --- | --- | --- |\n";
    for (const ResultCodeInfo &info : resultCodes()) {
        page += "| " + std::to_string(static_cast<int>(info.code)) + " | " + std::string(info.name)
                + " | " + std::string(info.explanation) + " |\n";
    }
    return page;
}

ExitCode runProgram(const std::vector<std::string> &arguments, std::ostream &out, std::ostream &err)
{
    auto invocation = capture([&] { return parseArguments(arguments); });
    if (!succeeded(invocation)) {
        err << toString(std::get<1>(invocation)) << '\n';
        return ExitCode::Usage;
    }
    Invocation &parsed = std::get<0>(invocation);
    switch (parsed.action) {
    case Invocation::Action::Help:
        out << helpText();
        return ExitCode::Done;
    case Invocation::Action::Codes:
        out << resultCodesPage();
        return ExitCode::Done;
    case Invocation::Action::Statement:
        break;
    }
    return StatementRun(std::move(parsed), out, err).run();
}

} // namespace godwit
