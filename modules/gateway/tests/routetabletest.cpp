#include <godwit/gateway/routetable.h>

#include <catch2/catch.hpp>

using namespace godwit;

namespace {

Route route(const std::string &name, const std::string &host, const std::string &prefix)
{
    Route it;
    it.name = name;
    it.host = host;
    it.prefix = prefix;
    it.targets = {{"service", 1}};
    return it;
}

} // namespace

TEST_CASE("RouteTable")
{
    GatewayConfiguration configuration;
    configuration.version = 3;
    configuration.routes = {route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"),
                            route("other", "b.example", "/x/")};
    configuration.customers = {{CustomerId("dairy"), {"k1", "k2"}, 1}};
    const RouteTable table(configuration);

    SECTION("the longest matching prefix of the host is selected")
    {
        CHECK(table.find("a.example", "/x/y/z")->name == "long");
        CHECK(table.find("a.example", "/x/z")->name == "short");
        CHECK(table.find("b.example", "/x/y/z")->name == "other");
    }
    SECTION("prefixes end at a slash, and routes are separate for each host")
    {
        CHECK(table.find("a.example", "/x") == nullptr);
        CHECK(table.find("a.example", "/xy/") == nullptr);
        CHECK(table.find("c.example", "/x/") == nullptr);
    }
    SECTION("keys are mapped to their customers")
    {
        CHECK(table.findCustomer("k2")->customer == CustomerId("dairy"));
        CHECK(table.findCustomer("k3") == nullptr);
        CHECK(table.findCustomer("") == nullptr);
    }
}

TEST_CASE("selectTarget respects the weights")
{
    Route it = route("split", "a.example", "/");
    it.targets = {{"a", 90}, {"b", 10}, {"c", 0}};
    CHECK(selectTarget(it, 0.0) == 0);
    CHECK(selectTarget(it, 0.89) == 0);
    CHECK(selectTarget(it, 0.91) == 1);
    // A target of weight 0 must not be selected because of rounding.
    CHECK(selectTarget(it, 0.9999999999999999) == 1);
}
