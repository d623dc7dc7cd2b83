#include "samplefleet.h"

#include <godwit/language/dryrun.h>
#include <godwit/language/evaluate.h>
#include <godwit/language/operatorreply.h>
#include <godwit/language/operatorrequest.h>

#include <algorithm>

using namespace godwit;

namespace {

Outcome<ReplyTable> evaluateText(const FleetView &view, const std::string &text)
{
    auto statement = readStatement(text);
    INFO(text);
    REQUIRE(statement.index() == 0);
    return capture([&] { return evaluate(std::get<Query>(std::get<Statement>(statement)), view); });
}

ReplyTable table(const FleetView &view, const std::string &text)
{
    auto outcome = evaluateText(view, text);
    INFO(text << (succeeded(outcome) ? std::string() : toString(std::get<1>(outcome))));
    REQUIRE(succeeded(outcome));
    return std::get<0>(std::move(outcome));
}

/// The cells of one column, joined by spaces; "-" for cells that are not strings.
std::string column(const ReplyTable &table, const std::string &name)
{
    const auto it = std::ranges::find(table.columns, name);
    REQUIRE(it != table.columns.end());
    std::string joined;
    for (const auto &row : table.rows) {
        REQUIRE(row.size() == table.columns.size());
        const auto *text = std::get_if<std::string>(&row[it - table.columns.begin()]);
        joined += (joined.empty() ? "" : " ") + (text ? *text : std::string("-"));
    }
    return joined;
}

ReplyTable dryRunOf(const SampleFleet &fleet, const std::string &text)
{
    auto outcome = capture(
            [&] { return dryRun(fleet.view, SampleFleet::command(text), fleet.context("dry")); });
    INFO((succeeded(outcome) ? std::string() : toString(std::get<1>(outcome))));
    REQUIRE(succeeded(outcome));
    return std::get<0>(std::move(outcome));
}

} // namespace

// Guards against filters that wrongly keep or drop rows.
TEST_CASE("Queries list the rows that match their filter")
{
    SampleFleet fleet;
    fleet.apply("drain host h2", "op7");
    fleet.apply("allow customers c1 weight 2 in deployment d", "op8");
    fleet.apply("switch role of b3 to decode", "op9");
    fleet.view.backends[1].loads[0].state = LoadState::Transferring;
    fleet.view.backends[0].loads.push_back(
            {{ModelId("m"), AdapterId("a"), VersionId("av")}, LoadState::Serving, 0, 0, {}});
    fleet.view.backends[2].loads.clear();
    fleet.view.backends[2].state = BackendState::Down;
    fleet.view.members[4].member.status = MemberStatus::Dead; // h3

    struct Row
    {
        std::string text;
        std::string column;
        std::string expected;
    };
    const auto row = GENERATE(values<Row>({
            {"show replicas", "backend", "b0 b0 b1 b3"},
            {"show replicas where adapter = a and order = \"\"", "version", "av"},
            {"show backends", "backend", "b0 b1 b2 b3"},
            {"show backends where zone = z1", "backend", "b1 b3"},
            {"show backends where region != r1", "backend", "b0 b2"},
            {"show backends where host in (h0, h3) and not zone = z0", "backend", "b3"},
            {"show backends where host = h0 or host = h1 and zone = z0", "backend", "b0"},
            {"show backends where (host = h0 or host = h1) and zone = z1", "backend", "b1"},
            {"show backends where model = \"\"", "backend", "b2"},
            {"show backends where version = av", "backend", "b0"},
            {"show backends where state = down", "backend", "b2"},
            {"show backends where role = decode", "backend", "b3"},
            {"show replicas where version = v2", "backend", ""},
            {"show replicas where deployment = d and state = serving", "backend", "b0 b0 b3"},
            {"show transfers", "model", "m"},
            {"show hosts where state = drained", "host", "h2"},
            {"show hosts where state = dead or role = entry", "host", "e0 h3"},
            {"show orders where host = h1 and state = active", "order", "o1"},
            {"show orders where zone = z9", "order", ""},
            {"show deployments where customer = c1", "deployment", "d"},
            {"show customers", "customer", "c1"},
            {"show models where version = v2", "model", "m"},
            {"show versions where adapter = a", "version", "av"},
            {"show versions where adapter = \"\"", "version", "v1 v2"},
            {"show adapters", "base_version", "v1"},
            {"show operations where who = ann and host = h2", "operation", "op7"},
            {"show operations where order = o1", "when", "2023-11-14T22:13:20Z"},
            {"show requests where customer = c1", "request", ""},
            {"show order o1", "state", "serving transferring none serving"},
            {"show order o1", "member", "alive alive alive dead"},
    }));
    INFO(row.text);
    CHECK(column(table(fleet.view, row.text), row.column) == row.expected);

    // Guards against a misspelt name that gives an empty table, as if no object matched.
    SECTION("names that do not exist")
    {
        struct Unknown
        {
            std::string text;
            std::string part;
        };
        const auto unknown = GENERATE(values<Unknown>({
                {"show replicas where zone = z0 and not model = mm", "model mm"},
                {"show replicas where state = srving", "mean \"serving\""},
                {"show hosts where state = serving", "state serving"},
                {"show versions where version = v1_", "mean \"v1\""},
                {"show order nil", "order nil"},
                {"explain host nil", "host nil"},
                {"explain replica nil", "backend server nil"},
        }));
        const auto outcome = evaluateText(fleet.view, unknown.text);
        INFO(unknown.text);
        REQUIRE_FALSE(succeeded(outcome));
        CHECK(std::get<1>(outcome).code == ResultCode::QueryObjectUnknown);
        CHECK(std::get<1>(outcome).detail.find(unknown.part) != std::string::npos);
    }
}

// Guards against missing reasons and against a reason listed after a less important one.
TEST_CASE("Explanations give all reasons in order")
{
    struct Row
    {
        std::function<void(SampleFleet &)> fault;
        std::string reasons;
    };
    const auto load = [](LoadState state) {
        return [state](SampleFleet &fleet) {
            fleet.view.backends[0].loads[0].state = state;
            fleet.view.backends[0].loads[0].bytesReady = 37;
            fleet.view.backends[0].loads[0].bytesTotal = 100;
        };
    };
    const auto member = [](MemberStatus status) {
        return [status](SampleFleet &fleet) { fleet.view.members[1].member.status = status; };
    };
    const auto statement = [](const std::string &text) {
        return [text](SampleFleet &fleet) { fleet.apply(text, "change"); };
    };
    const std::vector<Row> rows = {
            {[](SampleFleet &) {}, "serving"},
            {member(MemberStatus::Dead), "dead"},
            {member(MemberStatus::Suspect), "suspect"},
            {member(MemberStatus::Leaving), "leaving"},
            {[](SampleFleet &fleet) { fleet.view.members.erase(fleet.view.members.begin() + 1); },
             "not_member"},
            {[](SampleFleet &fleet) { fleet.view.members[1].applied = Revision{2}; },
             "old_configuration"},
            {statement("drain host h0"), "drained"},
            {statement("deny backend b0 in deployment d"), "denied"},
            {statement("deny host h0 in deployment d"), "denied"},
            {load(LoadState::Transferring), "transferring"},
            {load(LoadState::Loading), "loading"},
            {load(LoadState::Unloading), "unloading"},
            {[](SampleFleet &fleet) { fleet.view.backends[0].state = BackendState::Down; }, "down"},
            {[](SampleFleet &fleet) { fleet.view.backends[0].loads.clear(); }, "not_loaded"},
            {[](SampleFleet &fleet) {
                 fleet.view.backends[0].loads.clear();
                 fleet.view.backends[0].lastError = {2013, "OrderStale", "number 3"};
             },
             "order_refused not_loaded"},
            {[](SampleFleet &fleet) {
                 fleet.view.backends[0].loads[0].state = LoadState::Failed;
                 fleet.view.backends[0].loads[0].error = {2014, "EngineBusy", "no memory"};
             },
             "order_refused failed"},
            {[](SampleFleet &fleet) {
                 fleet.view.backends[0].loads[0].load.version = VersionId("v2");
             },
             "wrong_version"},
    };
    for (const Row &row : rows) {
        SampleFleet fleet;
        row.fault(fleet);
        const auto host = table(fleet.view, "explain host h0");
        INFO(row.reasons << '\n' << toText(host));
        CHECK(column(host, "reason") == row.reasons);
        CHECK(column(table(fleet.view, "explain replica b0"), "reason") == row.reasons);
    }

    SampleFleet fleet;
    SECTION("several faults, the outermost first")
    {
        member(MemberStatus::Leaving)(fleet);
        load(LoadState::Transferring)(fleet);
        statement("drain host h0")(fleet);
        const auto result = table(fleet.view, "explain host h0");
        CHECK(column(result, "reason") == "leaving drained transferring");
        CHECK(column(result, "detail").find("37 %") != std::string::npos);
    }
    SECTION("a host that no order includes")
    {
        fleet.apply("cancel order o1", "op7");
        fleet.apply("deny hosts h0 in deployment d", "op8");
        CHECK(column(table(fleet.view, "explain host h0"), "reason") == "not_chosen denied");
        CHECK(column(table(fleet.view, "explain replica b0"), "reason") == "no_order");
        CHECK(column(table(fleet.view, "explain host e0"), "reason") == "entry_role not_chosen");
        fleet.view.backends[0].service = DeploymentId("bookings");
        CHECK(column(table(fleet.view, "explain host h0"), "reason") == "serving");
        CHECK(column(table(fleet.view, "explain replica b0"), "reason") == "serving");
    }
    SECTION("a host without a backend server")
    {
        fleet.view.backends.clear();
        CHECK(column(table(fleet.view, "explain host h0"), "reason") == "no_backend");
    }
    SECTION("an order stopped by its error limit")
    {
        fleet.apply("change version of order o1 to v2", "op7");
        const StepOrder failure{OperationId("o1"), 1, 1};
        auto next = capture([&] {
            return applyCommand(*fleet.view.configuration, failure, fleet.context("op8"));
        });
        REQUIRE(succeeded(next));
        fleet.view.configuration = std::make_shared<const Configuration>(std::get<0>(next));
        CHECK(column(table(fleet.view, "explain host h0"), "reason") == "stopped wrong_version");
        CHECK(column(table(fleet.view, "explain host h1"), "reason") == "stopped");
    }
    SECTION("a refused request")
    {
        fleet.view.refusedRequests.push_back({RequestId("0af7"),
                                              HostId("e0"),
                                              CustomerId("c1"),
                                              DeploymentId("d"),
                                              ModelId("m"),
                                              0,
                                              {2014, "EngineBusy", "queue is full"},
                                              "not_run"});
        const auto result = table(fleet.view, "explain request 0af7");
        CHECK(column(result, "reason") == "EngineBusy meaning run_state context");
        const auto unknown = evaluateText(fleet.view, "explain request 0af8");
        REQUIRE_FALSE(succeeded(unknown));
        CHECK(std::get<1>(unknown).code == ResultCode::RefusalNotOnRecord);
    }
}

// Guards against a dry run that differs from the effect of the command.
TEST_CASE("Dry runs show what a command would change")
{
    SampleFleet fleet;
    fleet.view.links = {8000, 16000, 1000};
    SECTION("a rolling change of the version")
    {
        const auto result = dryRunOf(fleet, "change version of order o1 to v2 rolling step 3");
        CHECK(column(result, "change") == "change load load load load_later estimate");
        CHECK(column(result, "host") == "- h0 h1 h2 h3 -");
        CHECK(result.rows.back()[4] == Cell(std::int64_t{8000}));
        CHECK(result.rows.back()[5] == Cell(2 * 16.0)); // two steps over the inter-region link
    }
    SECTION("hosts in one region do not use the inter-region link")
    {
        const auto result = dryRunOf(fleet, "load m version v2 on hosts h0, h2 in deployment d");
        CHECK(column(result, "change") == "create load load estimate");
        CHECK(result.rows.back()[5] == Cell(2.0)); // over the origin link
    }
    SECTION("an adapter includes its base version on hosts that lack it")
    {
        fleet.view.backends[0].loads[0].load.version = VersionId("v2");
        const auto result =
                dryRunOf(fleet, "load m version av adapter a on hosts h0, h1 in deployment d");
        CHECK(result.rows[1][4] == Cell(std::int64_t{1010}));
        CHECK(result.rows[2][4] == Cell(std::int64_t{10}));
    }
    SECTION("other commands")
    {
        CHECK(column(dryRunOf(fleet, "cancel order o1"), "change")
              == "change unload unload unload unload");
        CHECK(column(dryRunOf(fleet, "drain host h1"), "change") == "drain");
        const auto deny = dryRunOf(fleet, "deny host h1 in deployment d");
        CHECK(column(deny, "detail") == "denied_hosts: [] -> [\"h1\"]");
    }
    SECTION("fails like the command itself")
    {
        const auto outcome = capture([&] {
            return dryRun(fleet.view, SampleFleet::command("cancel order nil"),
                          fleet.context("dry"));
        });
        REQUIRE_FALSE(succeeded(outcome));
        CHECK(std::get<1>(outcome).code == ResultCode::ObjectUnknown);
    }
}

TEST_CASE("Operator messages")
{
    // Guards against fields that are lost between client and entry process.
    SECTION("requests and replies round-trip through JSON")
    {
        const OperatorRequest request{"show hosts", OperationId("op"), "ann", 5, Revision{7}, true};
        const auto decodedRequest =
                capture([&] { return parseOperatorRequest(toJsonText(request)); });
        REQUIRE(succeeded(decodedRequest));
        CHECK(std::get<0>(decodedRequest) == request);

        OperatorReply reply =
                syntaxReply(OperationId("op"), Revision{7}, std::get<1>(readStatement("laod")));
        CHECK(reply.outcome == OperatorOutcome::Refused);
        reply.warning = "cut off for 5 s";
        reply.conflict = ConflictInfo{
                "host/h", OperationId("x"), {"bob", 1, "drain_host", "host/h", "ab", Revision{8}}};
        reply.table =
                ReplyTable{{"a", "b", "c", "d", "e"}, {{Cell(), "x", std::int64_t{-1}, 0.5, true}}};
        const auto decodedReply = capture([&] { return parseOperatorReply(toJsonText(reply)); });
        REQUIRE(succeeded(decodedReply));
        CHECK(std::get<0>(decodedReply) == reply);
    }

    SECTION("invalid bodies")
    {
        const auto body = GENERATE(
                as<std::string>(), "", "[]", "{", R"({"statement":"x","operation":"o","who":"a"})",
                R"({"statement":"","operation":"o","who":"a","when":1})",
                R"({"statement":"x","operation":"","who":"a","when":1})",
                R"({"statement":"x","operation":"o","when":1})",
                R"({"statement":"x","operation":"o","who":"a","when":"1"})",
                R"({"operation":"o","table":{"columns":["a"],"rows":[["x","y"]]}})",
                R"({"operation":"o","table":{"columns":["a"],"rows":[[{}]]}})");
        INFO(body);
        const auto request = capture([&] { return parseOperatorRequest(body); });
        REQUIRE_FALSE(succeeded(request));
        CHECK(std::get<1>(request).code == ResultCode::OperatorRequestInvalid);
        if (body.find("statement") == std::string::npos) {
            const auto reply = capture([&] { return parseOperatorReply(body); });
            REQUIRE_FALSE(succeeded(reply));
            CHECK(std::get<1>(reply).code == ResultCode::EntryReplyInvalid);
        }
    }

    // Guards against terminal control codes and invalid UTF-8 in replies.
    SECTION("messages are printable")
    {
        const auto reported = toReportedError({ResultCode::ObjectUnknown, "a\x1b\xff\n"});
        CHECK(reported.message == "a???");
        CHECK(toText({{"n\xC3\xA9", "b"}, {{"x\x1b", "y"}, {"long", Cell()}}})
              == "n\xC3\xA9    b\nx?    y\nlong  -\n");
    }

    SECTION("conflicts name the newest operation on the same object")
    {
        SampleFleet fleet;
        fleet.apply("drain host h1", "op7");
        fleet.apply("return host h1", "op8");
        fleet.apply("drain host h2", "op9");
        auto context = fleet.context("new");
        const Command command = DrainHost{HostId("h1")};
        CHECK_FALSE(findConflict(*fleet.view.configuration, command, context));
        context.decidedOn = Revision{7};
        const auto conflict = findConflict(*fleet.view.configuration, command, context);
        REQUIRE(conflict);
        CHECK(conflict->operation == OperationId("op8"));
        context.decidedOn = Revision{9};
        CHECK_FALSE(findConflict(*fleet.view.configuration, command, context));
    }
}
