#include "stubentry.h"

#include <godwit/ctl/program.h>
#include <godwit/language/parser.h>

#include <fstream>
#include <sstream>

using namespace godwit;

namespace {

HttpResponse response(const OperatorReply &reply)
{
    return HttpResponse::json(200, toJsonText(reply));
}

HttpResponse accepted(const OperatorRequest &request)
{
    OperatorReply reply;
    reply.outcome = OperatorOutcome::Accepted;
    reply.operation = request.operation;
    reply.revision = Revision{7};
    return response(reply);
}

StubEntry::Handler failing(ResultCode code)
{
    return [code](const OperatorRequest &request) {
        return response(errorReply(request.operation, Revision{6}, {code, "detail"}));
    };
}

StubEntry::Handler progress(bool ready, const std::string &state)
{
    return [ready, state](const OperatorRequest &request) {
        OperatorReply reply;
        reply.outcome = OperatorOutcome::Answer;
        reply.operation = request.operation;
        reply.table = ReplyTable{{"host", "ready", "order_state"}, {{"h0", ready, state}}};
        return response(reply);
    };
}

const StubEntry::Handler NoReply;
const StubEntry::Handler NotGodwit = [](const OperatorRequest &) {
    return HttpResponse{404, {}, "no such page"};
};

struct Run
{
    ExitCode code;
    std::string out;
    std::string err;
};

Run run(std::vector<std::string> arguments)
{
    std::ostringstream out;
    std::ostringstream err;
    const ExitCode code = runProgram(arguments, out, err);
    return {code, out.str(), err.str()};
}

Run runStatement(const std::string &entries, const std::string &statement,
                 std::vector<std::string> flags = {})
{
    flags.insert(flags.end(), {"--attempts", "1", "--who", "ann", "--entry", entries, statement});
    return run(std::move(flags));
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

std::string closedEndpoint()
{
    StubEntry entry({NoReply});
    return entry.address();
}

} // namespace

TEST_CASE("Command line")
{
    // Guards against sending a command whose flags are invalid.
    SECTION("usage errors")
    {
        const std::string entry = "127.0.0.1:1";
        const auto arguments = GENERATE_COPY(values<std::vector<std::string>>({
                {},
                {"show hosts"},
                {"--entry", entry, "--who", "ann"},
                {"--entry", entry, "--who", "ann", "show", "hosts"},
                {"--entry", "localhost:1", "--who", "ann", "show hosts"},
                {"--entry", entry + ",", "--who", "ann", "show hosts"},
                {"--entry", entry, "--who", "ann", "--nonsense", "show hosts"},
                {"--entry", entry, "--who", "ann", "--output=xml", "show hosts"},
                {"--entry", entry, "--who", "ann", "--decided-on=x", "show hosts"},
                {"--entry", entry, "--who", "ann", "--attempts=0", "show hosts"},
                {"--entry", entry, "show hosts", "--who"},
        }));
        const Run result = run(arguments);
        CHECK(result.code == ExitCode::Usage);
        CHECK(contains(result.err, "1003 CommandLineInvalid"));
    }

    SECTION("help names every flag and exit code")
    {
        const Run result = run({"--help"});
        CHECK(result.code == ExitCode::Done);
        for (const char *text : {"--entry", "--decided-on", "--dry-run", "--output", "--who",
                                 "--operation", "\n  4  "})
            CHECK(contains(result.out, text));
    }

    // Guards against a page that is out of date with the table of result codes.
    SECTION("the page of result codes is current")
    {
        std::ifstream file(GODWIT_RESULT_CODES_PAGE);
        std::stringstream page;
        page << file.rdbuf();
        CHECK(page.str() == run({"codes"}).out);
    }
}

TEST_CASE("Statements are sent to an entry process")
{
    SECTION("flags are sent with the request")
    {
        StubEntry entry({accepted});
        const Run result = runStatement(entry.address(), "drain host h1",
                                        {"--operation=op-1", "--decided-on=5", "--dry-run"});
        CHECK(result.code == ExitCode::Done);
        CHECK(result.out == "accepted at revision 7\n");
        CHECK(result.err == "operation op-1\n");
        REQUIRE(entry.requests().size() == 1);
        const OperatorRequest request = entry.requests().front();
        CHECK(request.statement == "drain host h1");
        CHECK(request.operation == OperationId("op-1"));
        CHECK(request.who == "ann");
        CHECK(request.decidedOn == Revision{5});
        CHECK(request.dryRun);
        CHECK(request.when > 0);
    }

    // Guards against two commands with the same operation id: the second would be taken as a resend
    // and lost.
    SECTION("each run has its own operation id and no flags of the last run")
    {
        StubEntry entry({accepted});
        runStatement(entry.address(), "drain host h1", {"--dry-run", "--decided-on=5"});
        runStatement(entry.address(), "drain host h1");
        REQUIRE(entry.requests().size() == 2);
        const auto requests = entry.requests();
        CHECK(requests[0].operation != requests[1].operation);
        CHECK_FALSE(requests[1].dryRun);
        CHECK_FALSE(requests[1].decidedOn.has_value());
    }

    SECTION("the replies of two entries decide the exit code")
    {
        struct Row
        {
            std::vector<StubEntry::Handler> first;
            std::vector<StubEntry::Handler> second;
            ExitCode code;
            std::string part;           // of the error output
            std::size_t secondRequests; // minimum, received by the second entry
        };
        const auto undecided = failing(ResultCode::ConfigurationUndecided);
        const auto unavailable = failing(ResultCode::ConfigurationUnavailable);
        const auto refused = failing(ResultCode::ObjectUnknown);
        const std::vector<Row> rows = {
                {{accepted}, {accepted}, ExitCode::Done, "", 0},
                {{refused}, {accepted}, ExitCode::Refused, "6104", 0},
                {{unavailable}, {accepted}, ExitCode::Done, "", 1},
                {{unavailable}, {unavailable}, ExitCode::Refused, "6004", 1},
                {{undecided}, {accepted}, ExitCode::Done, "", 1},
                {{undecided}, {undecided}, ExitCode::Undecided, "--operation", 1},
                {{undecided}, {unavailable}, ExitCode::Undecided, "6005", 1},
                {{undecided}, {refused}, ExitCode::Refused, "may still take effect", 1},
                {{NoReply}, {accepted}, ExitCode::Done, "", 1},
                {{NoReply}, {NoReply}, ExitCode::Undecided, "6005", 1},
                {{NotGodwit}, {accepted}, ExitCode::Done, "", 1},
                {{NotGodwit}, {NotGodwit}, ExitCode::Unreachable, "6532", 1},
        };
        for (std::size_t i = 0; i < rows.size(); ++i) {
            INFO("row " << i);
            StubEntry first(rows[i].first);
            StubEntry second(rows[i].second);
            const Run result =
                    runStatement(first.address() + ',' + second.address(), "drain host h1");
            CHECK(result.code == rows[i].code);
            CHECK(contains(result.err, rows[i].part));
            const auto sent = second.requests();
            // A connection that closes without a reply is retried once by the HTTP client.
            CHECK(sent.size() >= rows[i].secondRequests);
            for (const OperatorRequest &request : sent)
                CHECK(request.operation == first.requests().front().operation);
        }
    }

    SECTION("entries that cannot be reached")
    {
        StubEntry entry({accepted});
        const std::string closed = closedEndpoint();
        CHECK(runStatement(closed + ',' + entry.address(), "drain host h1").code == ExitCode::Done);
        const Run result = runStatement(closed, "drain host h1");
        CHECK(result.code == ExitCode::Unreachable);
        CHECK(contains(result.err, "6531 EntryUnreachable"));
    }

    // Guards against reporting a command as undecided although the next pass would decide it.
    SECTION("an undecided command is decided in a later pass")
    {
        StubEntry entry({failing(ResultCode::ConfigurationUndecided), accepted});
        const Run result =
                run({"--attempts=2", "--who=ann", "--entry=" + entry.address(), "drain host h1"});
        CHECK(result.code == ExitCode::Done);
        const auto requests = entry.requests();
        REQUIRE(requests.size() == 2);
        CHECK(requests[0] == requests[1]);
    }
}

TEST_CASE("Output")
{
    SECTION("a syntax error shows its position")
    {
        StubEntry entry({[](const OperatorRequest &request) {
            return response(syntaxReply(request.operation, Revision{},
                                        std::get<SyntaxError>(readStatement(request.statement))));
        }});
        const Run result = runStatement(entry.address(), "drain\nhots h1");
        CHECK(result.code == ExitCode::Refused);
        CHECK(contains(result.err, "did you mean \"host\"?\n  hots h1\n  ^\n"));
    }

    SECTION("standard output contains only JSON")
    {
        StubEntry entry({accepted});
        const Run result = runStatement(entry.address(), "drain host h1", {"--output=json"});
        const auto reply = capture([&] { return parseOperatorReply(result.out); });
        REQUIRE(succeeded(reply));
        CHECK(std::get<0>(reply).outcome == OperatorOutcome::Accepted);
    }

    SECTION("an order is followed until it is ready or stopped")
    {
        StubEntry ready({progress(false, "active"), progress(true, "active")});
        const Run result = runStatement(ready.address(), "follow order o1");
        CHECK(result.code == ExitCode::Done);
        CHECK(contains(result.out, "0 of 1 ready, order active"));
        CHECK(contains(result.out, "1 of 1 ready, order active"));
        StubEntry stopped({progress(false, "stopped")});
        CHECK(runStatement(stopped.address(), "follow order o1").code == ExitCode::Refused);
        StubEntry unknown({failing(ResultCode::QueryObjectUnknown)});
        CHECK(runStatement(unknown.address(), "follow order o1").code == ExitCode::Refused);
    }
}
