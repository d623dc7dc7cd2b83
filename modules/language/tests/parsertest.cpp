#include <godwit/base/random.h>
#include <godwit/language/parser.h>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace godwit;

namespace {

const DeploymentId TestDeployment("d");
const ModelId TestModel("m");
const VersionId TestVersion("v1");
const OperationId TestOrder("o1");
const Digest TestDigest = Digest::of("x");

struct StatementCase
{
    std::string text;
    Statement expected;
};

Condition is(QueryField field, std::vector<std::string> values)
{
    return {Condition::Kind::Is, field, std::move(values), {}};
}

Condition combined(Condition::Kind kind, std::vector<Condition> children)
{
    return {kind, QueryField::Deployment, {}, std::move(children)};
}

CreateDeployment bookings()
{
    CreateDeployment c;
    c.deployment = DeploymentId("bookings");
    c.contents.options = {DeploymentKind::Service,   false, true, OutageOrders::Continue,
                          WeightsPolicy::BytesFirst, 7};
    c.contents.anyHost = false;
    c.contents.anyCustomer = false;
    return c;
}

std::vector<StatementCase> commandCases()
{
    const std::string hex = TestDigest.toHex();
    return {
            {"create deployment d", Command(CreateDeployment{TestDeployment, {}})},
            {"create deployment bookings kind service idempotent no checks_fencing yes"
             " outage_orders continue policy bytes_first priority 7 hosts listed customers listed",
             Command(bookings())},
            {"create model m in deployment d", Command(CreateModel{TestModel, TestDeployment})},
            {"create version v1 of model m manifest " + hex + " size 14 GiB",
             Command(CreateVersion{TestModel, {}, TestVersion, {TestDigest, 14ULL << 30}})},
            {"create version v1 of model m adapter a manifest " + hex + " size 5",
             Command(CreateVersion{TestModel, AdapterId("a"), TestVersion, {TestDigest, 5}})},
            {"create adapter a of model m version v1",
             Command(CreateAdapter{AdapterId("a"), TestModel, TestVersion})},
            {"allow hosts h1, h2 backend b1 customers c1 weight 2 class draft, c2 in deployment d",
             Command(Allow{
                     TestDeployment,
                     {HostId("h1"), HostId("h2")},
                     {BackendId("b1")},
                     {{CustomerId("c1"), {2, PriorityClass::Draft}}, {CustomerId("c2"), {}}}})},
            {"deny host h1 customers c1, c2 in deployment d",
             Command(Deny{
                     TestDeployment, {HostId("h1")}, {}, {CustomerId("c1"), CustomerId("c2")}})},
            {"load m version v1 on 12 replicas in deployment d",
             Command(LoadModel{TestDeployment, TestModel, {}, TestVersion, 12, {}})},
            {"load m version v1 on 1 replica in deployment d priority 9 policy bytes_first",
             Command(LoadModel{TestDeployment,
                               TestModel,
                               {},
                               TestVersion,
                               1,
                               {},
                               WeightsPolicy::BytesFirst,
                               9})},
            {"LOAD Model \"m\" version v1 # comment\n adapter a on hosts h1,h2 in deployment d ;",
             Command(LoadModel{TestDeployment,
                               TestModel,
                               AdapterId("a"),
                               TestVersion,
                               0,
                               {HostId("h1"), HostId("h2")}})},
            {"change version of order o1 to v1 rolling step 5 error limit 2",
             Command(ChangeVersion{TestOrder, TestVersion, 5, 2})},
            {"change version of order o1 to v1",
             Command(ChangeVersion{TestOrder, TestVersion, 1, 0})},
            {"cancel order o1", Command(CancelOrder{TestOrder})},
            {"switch role of b1 to prefill",
             Command(SwitchRole{BackendId("b1"), BackendRole::Prefill})},
            {"drain host \"a \\\"b\\\\\"", Command(DrainHost{HostId("a \"b\\")})},
            {"return host h1", Command(ReturnHost{HostId("h1")})},
    };
}

std::vector<StatementCase> queryCases()
{
    using enum QueryField;
    using Kind = Condition::Kind;
    const auto where = [](Condition condition) {
        return Query(ShowQuery{ShowSubject::Replicas, std::move(condition)});
    };
    const Condition model = is(Model, {"m"});
    const Condition zone = is(Zone, {"z1", "z2"});
    return {
            {"show replicas", Query(ShowQuery())},
            {"show transfers", Query(ShowQuery{ShowSubject::Transfers, {}})},
            {"show order o1", Query(ShowOrder{TestOrder, false})},
            {"follow order o1", Query(ShowOrder{TestOrder, true})},
            {"explain host h1", Query(ExplainHost{HostId("h1")})},
            {"explain replica b1", Query(ExplainReplica{BackendId("b1")})},
            {"explain request 0af7", Query(ExplainRequest{RequestId("0af7")})},
            {"show replicas where model = m", where(model)},
            {"show replicas where adapter = \"\"", where(is(Adapter, {""}))},
            {"show replicas where model != m", where(combined(Kind::Not, {model}))},
            // `not` has a higher precedence than `and`, which has a higher one than `or`.
            {"show replicas where model = m or not model = m and zone in (z1, z2)",
             where(combined(Kind::Or,
                            {model, combined(Kind::And, {combined(Kind::Not, {model}), zone})}))},
            {"show replicas where (model = m or zone in (z1, z2)) and model = m",
             where(combined(Kind::And, {combined(Kind::Or, {model, zone}), model}))},
    };
}

SyntaxError syntaxErrorOf(const std::string &text)
{
    const auto result = readStatement(text);
    INFO(text);
    REQUIRE(result.index() == 1);
    return std::get<1>(result);
}

std::string repeated(std::string_view text, std::size_t count)
{
    std::string result;
    for (std::size_t i = 0; i < count; ++i)
        result += text;
    return result;
}

} // namespace

// Guards against a statement that is parsed into another command or query than it describes.
TEST_CASE("Statements are parsed into the commands and queries they describe")
{
    for (const auto &cases : {commandCases(), queryCases()}) {
        for (const StatementCase &statementCase : cases) {
            INFO(statementCase.text);
            const auto result = readStatement(statementCase.text);
            if (const auto *error = std::get_if<SyntaxError>(&result))
                FAIL(toError(*error).detail);
            CHECK(std::get<Statement>(result) == statementCase.expected);
        }
    }
}

TEST_CASE("Errors of statements")
{
    // Guards against errors with a wrong position, or with a suggestion that is not allowed there.
    SECTION("position, expected items and suggestion")
    {
        struct Row
        {
            std::string text;
            std::uint32_t line;
            std::uint32_t column;
            std::string expected; // one of the expected items
            std::string suggestion;
        };
        const auto row = GENERATE(values<Row>({
                {"laod m", 1, 1, "\"load\"", "load"},
                {"", 1, 1, "\"load\"", ""},
                {"load m verison v1", 1, 8, "\"version\"", "version"},
                {"load m\n  version", 2, 10, "a version name", ""},
                {"load m version v1 on 3 hosts in deployment d", 1, 24, "\"replicas\"", ""},
                {"load m version v1 on in deployment d", 1, 22, "a number of replicas", ""},
                {"drain hots h1", 1, 7, "\"host\"", "host"},
                {"drain host host", 1, 12, "a host name", ""},
                {"drain host \"h1", 1, 12, "a host name", ""},
                {"drain host \"\"", 1, 12, "a host name", ""},
                {"drain host h1 h2", 1, 15, "the end of the statement", ""},
                {"drain host \"\xC3\xA9\" h2", 1, 16, "the end of the statement", ""},
                {"show replcias", 1, 6, "\"replicas\"", "replicas"},
                {"show replicas where zonne = a", 1, 21, "\"zone\"", "zone"},
                {"show operations where zone = a", 1, 23, "\"who\"", ""},
                {"show replicas where zone = a an model = b", 1, 30, "\"and\"", "and"},
                {"show replicas where (zone = a", 1, 30, "\")\"", ""},
                {"switch role of b1 to prefil", 1, 22, "\"prefill\"", "prefill"},
                {"create deployment d priorty 3", 1, 21, "\"priority\"", "priority"},
                {"allow customers c weight x in deployment d", 1, 26, "a weight", ""},
        }));
        const SyntaxError error = syntaxErrorOf(row.text);
        INFO(row.text << ": " << toError(error).detail);
        CHECK(error.code == 6501);
        CHECK(error.line == row.line);
        CHECK(error.column == row.column);
        CHECK(std::ranges::find(error.expected, row.expected) != error.expected.end());
        CHECK(error.suggestion == row.suggestion);
        CHECK(toError(error).detail.find('\n') == std::string::npos);
    }

    SECTION("invalid values and exceeded limits have their own result codes")
    {
        struct Row
        {
            std::string text;
            ResultCode code;
            std::uint32_t column;
        };
        const auto row = GENERATE(values<Row>({
                {"load m version v1 on 0 replicas in deployment d",
                 ResultCode::StatementValueInvalid, 22},
                {"load m version v1 on 99999999999999999999 replicas in deployment d",
                 ResultCode::StatementValueInvalid, 22},
                {"create version v of model m manifest abc size 3",
                 ResultCode::StatementValueInvalid, 38},
                {"show hosts where " + repeated("not ", MaxConditionDepth + 1) + "host = a",
                 ResultCode::StatementTooDeep, 150},
                {"show hosts where " + repeated("(", 50'000), ResultCode::StatementTooDeep, 51},
                {std::string(MaxStatementBytes + 1, ' '), ResultCode::StatementTooLong, 1},
        }));
        const SyntaxError error = syntaxErrorOf(row.text);
        CHECK(error.code == static_cast<int>(row.code));
        CHECK(error.column == row.column);
        CHECK_FALSE(error.problem.empty());
    }

    SECTION("the deepest condition and the longest list are accepted")
    {
        const std::string deep = "show hosts where " + repeated("(", MaxConditionDepth) + "host = a"
                                 + repeated(")", MaxConditionDepth);
        CHECK(readStatement(deep).index() == 0);
        const std::string wide = "show hosts where host = a" + repeated(" or host = a", 20'000);
        CHECK(readStatement(wide).index() == 0);
        const std::string name(128, 'h');
        const std::string hosts = name + repeated(", " + name, 1999);
        CHECK(readStatement("load m version v on hosts " + hosts + " in deployment d").index()
              == 0);
    }
}

// Guards against crashes, hangs and errors without a result code.
TEST_CASE("Malformed input is refused with a result code")
{
    const auto check = [](const std::string &text) {
        const auto result = readStatement(text);
        if (const auto *error = std::get_if<SyntaxError>(&result))
            return error->code / 100 == 65 && !toError(*error).detail.empty();
        return true;
    };
    Random random(20261204);
    SECTION("random bytes")
    {
        for (int i = 0; i < 5000; ++i) {
            std::string text(random.below(60), ' ');
            for (char &c : text)
                c = static_cast<char>(random.below(256));
            REQUIRE(check(text));
        }
    }
    SECTION("mutated statements")
    {
        auto cases = commandCases();
        for (auto &statementCase : queryCases())
            cases.push_back(std::move(statementCase));
        for (int i = 0; i < 20'000; ++i) {
            std::string text = cases[random.below(cases.size())].text;
            for (std::uint64_t edits = 1 + random.below(4); edits > 0; --edits) {
                const std::size_t at = random.below(text.size() + 1);
                const std::string &other = cases[random.below(cases.size())].text;
                if (random.chance(0.5))
                    text.insert(at, other.substr(random.below(other.size()), random.below(12)));
                else
                    text.erase(at, random.below(8));
            }
            REQUIRE(check(text));
        }
    }
}
