#include <godwit/control/commandrequest.h>
#include <godwit/control/configurationwriter.h>

#include <catch2/catch.hpp>

using namespace godwit;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{Duration(3600s)};

CommandContext contextOf(const std::string &operation)
{
    CommandContext context;
    context.operation = OperationId(operation);
    context.who = "ann";
    context.when = 1;
    return context;
}

Configuration documentWith(const std::string &operation)
{
    const Command command = DrainHost{HostId("h")};
    return std::get<0>(capture([&] { return applyCommand({}, command, contextOf(operation)); }));
}

StorageReply reply(StorageStatus status, std::uint64_t revision = 0, std::string value = {})
{
    return {status, revision, std::move(value)};
}

/// Passes replies to a ConfigurationWriter and records its actions.
struct Driver
{
    ConfigurationWriter writer{
            DrainHost{HostId("h")}, contextOf("mine"), Revision{}, {}, Random(1)};
    TimePoint now = Start;
    std::uint64_t call = 0;
    std::optional<WriteResult> result;
    bool wrote = false;

    void take(const std::vector<WriterAction> &actions)
    {
        wrote = false;
        for (const auto &action : actions) {
            if (const auto *read = std::get_if<ReadConfiguration>(&action))
                call = read->call;
            if (const auto *write = std::get_if<WriteConfiguration>(&action)) {
                call = write->call;
                wrote = true;
            }
            if (const auto *finish = std::get_if<FinishWrite>(&action))
                result = finish->result;
        }
    }
    void read(const StorageReply &r) { take(writer.onRead(now, call, r)); }
    void write(const StorageReply &r) { take(writer.onWrite(now, call, r)); }
    void wait(Duration time)
    {
        now += time;
        take(writer.onTimer(now));
    }
};

} // namespace

TEST_CASE("Configuration writer")
{
    Driver d;
    d.take(d.writer.start(d.now));
    const std::string mine = toJsonText(documentWith("mine"));
    const std::string theirs = toJsonText(documentWith("theirs"));

    SECTION("reads, writes and accepts")
    {
        d.read(reply(StorageStatus::Success));
        CHECK(d.wrote);
        d.write(reply(StorageStatus::Success, 1));
        CHECK(d.result->decision == WriteDecision::Accepted);
        CHECK(d.result->revision == Revision{1});
    }

    SECTION("a failed compare is retried on the document of the other writer")
    {
        d.read(reply(StorageStatus::Success));
        d.write(reply(StorageStatus::CompareFailed, 1));
        d.read(reply(StorageStatus::Success, 1, theirs));
        CHECK(d.wrote);
        d.write(reply(StorageStatus::Success, 2));
        CHECK(d.result->revision == Revision{2});
    }

    // Guards against applying a change twice because the reply of its write was lost.
    SECTION("a write whose reply was lost is recognized by its operation id")
    {
        d.read(reply(StorageStatus::Success));
        d.write(reply(StorageStatus::Timeout));
        d.wait(1s);
        d.read(reply(StorageStatus::Success, 1, mine));
        CHECK_FALSE(d.wrote);
        CHECK(d.result->decision == WriteDecision::Accepted);
        CHECK(d.result->revision == Revision{1});
    }

    // Guards against reporting a refusal for a change that takes effect later.
    SECTION("the outcome is undecided while a write without reply may still take effect")
    {
        d.read(reply(StorageStatus::Success));
        d.write(reply(StorageStatus::Timeout));
        d.wait(1s);
        d.read(reply(StorageStatus::Unreachable));
        d.wait(10s);
        CHECK(d.result->decision == WriteDecision::Undecided);
        CHECK(d.result->error.code == ResultCode::ConfigurationUndecided);
    }

    SECTION("without an unresolved write the outcome is a refusal")
    {
        struct Row
        {
            StorageReply read;
            Duration wait;
            ResultCode code;
        };
        const auto row = GENERATE(
                Row{{StorageStatus::Unreachable, 0, {}}, 10s, ResultCode::ConfigurationUnavailable},
                Row{{StorageStatus::Refused, 0, {}}, 10s, ResultCode::ConfigurationUnavailable},
                Row{{StorageStatus::Success, 3, "{"}, 0s, ResultCode::ConfigurationMalformed});
        d.read(row.read);
        if (row.wait > 0s)
            d.wait(row.wait);
        CHECK(d.result->decision == WriteDecision::Refused);
        CHECK(d.result->error.code == row.code);
    }

    SECTION("late and mismatched replies are ignored")
    {
        d.read(reply(StorageStatus::Success));
        CHECK(d.writer.onWrite(d.now, d.call - 1, reply(StorageStatus::Success, 9)).empty());
        CHECK(d.writer.onRead(d.now, d.call, reply(StorageStatus::Success, 9)).empty());
    }
}

// Guards against writing on top of a document that is older than one in effect.
TEST_CASE("No write to a service that has lost data")
{
    Driver d;
    d.writer = ConfigurationWriter(DrainHost{HostId("h")}, contextOf("mine"), Revision{5}, {},
                                   Random(1));
    d.take(d.writer.start(d.now));
    d.read(reply(StorageStatus::Success));
    CHECK_FALSE(d.wrote);
    d.wait(10s);
    CHECK(d.result->decision == WriteDecision::Refused);
}

TEST_CASE("Command requests")
{
    const CommandRequest request{OperationId("o"), "ann", 5, Revision{3},
                                 StepOrder{OperationId("x"), 1, 2}};
    const auto back = capture([&] { return parseJson<CommandRequest>(toJsonText(request)); });
    REQUIRE(succeeded(back));
    CHECK(std::get<0>(back) == request);
    const auto text = GENERATE(R"({"command":{"kind":"make_tea"}})", R"({"command":[]})",
                               R"({"command":{"kind":"load_model","replicas":-1}})");
    CHECK_FALSE(succeeded(capture([&] { return parseJson<CommandRequest>(text); })));
}
