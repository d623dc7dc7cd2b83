#include "engineversions.h"

#include <catch2/catch.hpp>

using namespace godwit;
using namespace std::chrono_literals;

namespace {

using Target = EngineVersions::Target;

const VersionWindow Window{TimePoint(5s), 8s, 0s};

ServiceDescription engineService(const std::string &name, const std::vector<std::string> &models)
{
    ServiceDescription service;
    service.name = name;
    service.engine.emplace();
    for (const std::string &it : models)
        service.engine->models.emplace_back(it);
    return service;
}

/// Configuration with two services that have engines and one that has none.
GatewayConfiguration configuration(const std::vector<std::string> &draftModels,
                                   const std::vector<std::string> &labelModels)
{
    GatewayConfiguration result;
    result.services = {engineService("drafts", draftModels), engineService("labels", labelModels),
                       ServiceDescription()};
    return result;
}

Target target(const std::string &model, std::uint64_t version,
              const std::optional<VersionWindow> &window = std::nullopt)
{
    return {{ModelId(model), version}, window};
}

using Targets = std::vector<Target>;

} // namespace

TEST_CASE("EngineVersions")
{
    EngineVersions versions("drafts");
    const auto setVersion = [&](const std::string &model, std::uint64_t version,
                                const std::optional<VersionWindow> &window = Window) {
        return versions.setVersion({ModelId(model), version}, window);
    };

    // Guards against an engine that is ordered to hold the weights of another service beside those
    // of its own, for which its memory is too small.
    SECTION("does not load versions of models of other services")
    {
        CHECK(versions.setConfiguration(configuration({"a", "b"}, {"l"}))
              == Targets{target("a", 1), target("b", 1)});
        CHECK_FALSE(setVersion("l", 2));
        CHECK(setVersion("a", 2) == target("a", 2, Window));
        CHECK(setVersion("b", 3, std::nullopt) == target("b", 3));
    }
    SECTION("loads nothing while the configuration lacks the service")
    {
        CHECK(EngineVersions("others").setConfiguration(configuration({"a"}, {"l"})).empty());
    }
    // Guards against a version that is lost because the store answered the two reads at the start
    // of a process in this order.
    SECTION("keeps versions that are read before the configuration")
    {
        CHECK_FALSE(setVersion("a", 4));
        CHECK_FALSE(setVersion("l", 2));
        CHECK(versions.setConfiguration(configuration({"a", "b"}, {"l"}))
              == Targets{target("a", 4, Window), target("b", 1)});
        CHECK_FALSE(versions.takeLookupPeriod());
    }
    SECTION("loads models that a later configuration adds")
    {
        versions.setConfiguration(configuration({"a"}, {"l"}));
        CHECK_FALSE(setVersion("b", 2));
        CHECK_FALSE(setVersion("b", 3));
        CHECK(versions.setConfiguration(configuration({"a", "b", "c"}, {"l"}))
              == Targets{target("b", 3, Window), target("c", 1)});
        CHECK(setVersion("b", 4) == target("b", 4, Window));
    }
    SECTION("loads models that a later configuration moves to the service")
    {
        versions.setConfiguration(configuration({"a"}, {"b"}));
        CHECK_FALSE(setVersion("b", 2));
        CHECK(versions.setConfiguration(configuration({"a", "b"}, {}))
              == Targets{target("b", 2, Window)});
    }
    SECTION("does not load versions of models that a later configuration removes")
    {
        versions.setConfiguration(configuration({"a", "b"}, {"l"}));
        CHECK(versions.setConfiguration(configuration({"a"}, {"l"})).empty());
        CHECK_FALSE(setVersion("b", 2));
        CHECK(setVersion("a", 2) == target("a", 2, Window));
    }
    SECTION("reports nothing again")
    {
        versions.setConfiguration(configuration({"a"}, {"l"}));
        setVersion("a", 3);
        CHECK_FALSE(setVersion("a", 3));
        CHECK_FALSE(setVersion("a", 2));
        CHECK(versions.setConfiguration(configuration({"a"}, {"l"})).empty());
    }
}

// Guards against a host process that never learns that its service has a new model: it does not
// watch the configuration.
TEST_CASE("EngineVersions requests the configuration")
{
    EngineVersions versions("drafts");
    const auto setVersion = [&](const std::string &model,
                                const std::optional<VersionWindow> &window = Window) {
        versions.setVersion({ModelId(model), 2}, window);
    };

    SECTION("for a version of a model that no service has")
    {
        versions.setConfiguration(configuration({"a"}, {"l"}));
        setVersion("b");
        CHECK(versions.takeLookupPeriod() == EngineVersions::UnknownModelLookup);
        CHECK_FALSE(versions.takeLookupPeriod());
    }
    SECTION("for such a version that was read before the first configuration")
    {
        setVersion("b", std::nullopt);
        CHECK_FALSE(versions.takeLookupPeriod());
        versions.setConfiguration(configuration({"a"}, {"l"}));
        CHECK(versions.takeLookupPeriod() == EngineVersions::UnknownModelLookup);
        versions.setConfiguration(configuration({"a"}, {"l"}));
        CHECK_FALSE(versions.takeLookupPeriod());
    }
    SECTION("at leisure for a new version of a model of another service")
    {
        versions.setConfiguration(configuration({"a"}, {"l"}));
        setVersion("l");
        CHECK(versions.takeLookupPeriod() == EngineVersions::OtherServiceLookup);
        setVersion("k");
        versions.setVersion({ModelId("l"), 3}, Window);
        CHECK(versions.takeLookupPeriod() == EngineVersions::UnknownModelLookup);
    }
    SECTION("but not for its own models, nor for versions of others from before its start")
    {
        versions.setConfiguration(configuration({"a"}, {"l"}));
        setVersion("a");
        setVersion("l", std::nullopt);
        CHECK_FALSE(versions.takeLookupPeriod());
    }
}
