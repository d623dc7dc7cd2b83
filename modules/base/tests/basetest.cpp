#include <godwit/base/digest.h>
#include <godwit/base/ids.h>
#include <godwit/base/json.h>
#include <godwit/base/random.h>
#include <godwit/base/rendezvous.h>
#include <godwit/base/resultcode.h>

#include <catch2/catch.hpp>

using namespace godwit;
using namespace std::chrono_literals;

namespace {

enum class Colour { Red, Blue };

struct Sample
{
    HostId host;
    std::uint16_t port = 80;
    std::optional<double> load;
    std::map<ZoneId, std::vector<Revision>> revisions;
    Duration wait = 5ms;
    Colour colour = Colour::Red;

    friend bool operator==(const Sample &, const Sample &) = default;
};

} // namespace

template <>
struct godwit::JsonNames<Colour>
{
    static constexpr std::array<std::pair<Colour, std::string_view>, 2> table{
            {{Colour::Red, "red"}, {Colour::Blue, "blue"}}};
};

template <>
struct godwit::JsonFields<Sample>
{
    static constexpr auto table =
            std::tuple{field("host", &Sample::host),    field("port", &Sample::port),
                       field("load", &Sample::load),    field("revisions", &Sample::revisions),
                       field("wait_us", &Sample::wait), field("colour", &Sample::colour)};
};

// Guards against duplicate code numbers and an unsorted table.
TEST_CASE("Result codes are unique and ascending")
{
    int previous = -1;
    for (const ResultCodeInfo &info : resultCodes()) {
        CHECK(static_cast<int>(info.code) > previous);
        CHECK_FALSE(info.explanation.empty());
        previous = static_cast<int>(info.code);
    }
}

TEST_CASE("JSON codec")
{
    const Sample sample{HostId("h1"), 8080, 0.5, {{ZoneId("z"), {Revision{7}}}}, 9ms, Colour::Blue};

    SECTION("encoding and decoding preserve the value")
    {
        const auto outcome = capture([&] { return parseJson<Sample>(toJsonText(sample)); });
        REQUIRE(succeeded(outcome));
        CHECK(std::get<0>(outcome) == sample);
    }

    SECTION("unknown fields are ignored and missing fields keep their default")
    {
        const auto outcome = capture([] { return parseJson<Sample>(R"({"new":1,"host":"a"})"); });
        REQUIRE(succeeded(outcome));
        CHECK(std::get<0>(outcome).port == 80);
    }

    // Guards against replacing received fields of the wrong type by their defaults.
    SECTION("invalid input is rejected with the path of the field")
    {
        struct Row
        {
            const char *text;
            ResultCode code;
            const char *path;
        };
        const auto row =
                GENERATE(Row{"{", ResultCode::JsonMalformed, ""},
                         Row{"[]", ResultCode::JsonFieldInvalid, "value"},
                         Row{R"({"port":70000})", ResultCode::JsonFieldInvalid, "port"},
                         Row{R"({"port":-1})", ResultCode::JsonFieldInvalid, "port"},
                         Row{R"({"host":1})", ResultCode::JsonFieldInvalid, "host"},
                         Row{R"({"colour":"green"})", ResultCode::JsonFieldInvalid, "colour"},
                         Row{R"({"revisions":{"z":["x"]}})", ResultCode::JsonFieldInvalid,
                             "revisions.z[0]"});
        const auto outcome = capture([&] { return parseJson<Sample>(row.text); });
        REQUIRE_FALSE(succeeded(outcome));
        CHECK(std::get<1>(outcome).code == row.code);
        CHECK(std::get<1>(outcome).detail.find(row.path) != std::string::npos);
    }
}

TEST_CASE("Digest")
{
    SECTION("matches a SHA-256 test vector")
    {
        CHECK(Digest::of("abc").toHex()
              == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    }
    SECTION("malformed text is rejected")
    {
        const auto text = GENERATE(std::string(), std::string(63, 'a'), std::string(64, 'g'));
        CHECK_FALSE(succeeded(capture([&] { return Digest::parse(text); })));
    }
}

// Guards against remapping keys of the remaining members when a member is removed.
TEST_CASE("Rendezvous hashing remaps only the keys of a removed member")
{
    const std::vector<std::string> members{"a", "b", "c", "d"};
    const std::vector<std::string> remaining{"a", "b", "d"};
    for (int i = 0; i < 200; ++i) {
        const std::string key = "key" + std::to_string(i);
        const auto before = rendezvousTop(key, members, 1).front();
        if (before != "c")
            CHECK(rendezvousTop(key, remaining, 1).front() == before);
    }
}
