#include "hostprocess.h"

#include "fakeplatform.h"

#include <catch2/catch.hpp>

using namespace godwit;

namespace {

/// Engine without weights that responds at once and has nothing staged.
class EmptyEngine : public ModelEnginePort
{
public:
    void readReport(Completion<EngineReport> done) override { done(EngineReport()); }
    void listStaged(const ModelId &, Completion<std::set<ChunkIndex>> done) override
    {
        done(std::set<ChunkIndex>());
    }
    void readStaged(const ModelId &, ChunkIndex, std::uint32_t,
                    Completion<std::string> done) override
    {
        done(Error{ResultCode::NotFound, "not staged"});
    }
    void stage(const ModelId &, ChunkIndex, std::string, Completion<Done>) override {}
    void load(const EngineLoadOrder &, Completion<OrderAcceptance>) override {}
};

/// Origin that records which manifests are read, and does not respond.
class SilentOrigin : public WeightOriginPort
{
public:
    explicit SilentOrigin(std::vector<WantedVersion> &reads)
        : m_reads(reads)
    {}

    void readManifest(const ModelId &model, std::uint64_t version, Completion<Manifest>) override
    {
        m_reads.push_back({model, version});
    }
    std::shared_ptr<CallHandle> readChunk(const ModelId &, std::uint64_t, ChunkIndex, std::uint32_t,
                                          Completion<std::string>) override
    {
        return nullptr;
    }

private:
    std::vector<WantedVersion> &m_reads;
};

ServiceDescription engineService(const std::string &name, const std::string &model)
{
    ServiceDescription service;
    service.name = name;
    service.engine.emplace();
    service.engine->models = {ModelId(model)};
    return service;
}

/// Platform with two services whose engines hold a model each, and an origin for both.
class TwoServicePlatform : public FakePlatform
{
public:
    std::unique_ptr<KeyValuePort> createStore(HttpClient &, Scheduler &,
                                              const FleetStoreOptions &) const override
    {
        auto store = std::make_unique<FakeStore>();
        stores.push_back(store.get());
        return store;
    }
    Result<OperatorRecord> decodeOperatorRecord(const KeyValueEntry &entry) const override
    {
        if (entry.key != configurationKey())
            return OperatorRecord(WantedVersion{ModelId(entry.key.substr(versionPrefix().size())),
                                                std::stoull(entry.value)});
        GatewayConfiguration configuration;
        configuration.version = 1;
        configuration.services = {engineService("draft-models", "draft"),
                                  engineService("label-models", "label")};
        configuration.services.emplace_back().origin.emplace();
        return OperatorRecord(std::move(configuration));
    }
    std::unique_ptr<ModelEnginePort> createEngine(HttpClient &, HttpEndpoint) const override
    {
        return std::make_unique<EmptyEngine>();
    }
    std::unique_ptr<WeightOriginPort> createOrigin(HttpClient &, HttpEndpoint) const override
    {
        return std::make_unique<SilentOrigin>(manifestReads);
    }

    /// Of the operator's records and of the backend servers.
    mutable std::vector<FakeStore *> stores;
    mutable std::vector<WantedVersion> manifestReads;
};

FleetSettings hostSettings()
{
    FleetSettings settings;
    settings.role = DaemonRole::Host;
    settings.listen.peers = {"127.0.0.1", 0};
    settings.engine = LocalEngineSettings{{"127.0.0.1", 1}, "draft-models"};
    return settings;
}

struct Fixture
{
    TwoServicePlatform platform;
    HostProcess process{hostSettings(), {}, platform};

    Fixture()
    {
        REQUIRE(succeeded(capture([&]() -> Result<bool> {
            BOOST_LEAF_CHECK(process.open());
            return true;
        })));
        REQUIRE(platform.stores.size() == 2);
        platform.stores[1]->completeList(10, {});
    }

    void readConfiguration()
    {
        const auto done = platform.stores[0]->getDone;
        done(KeyValueEntry{"op/config", {}, StoreRevision{1}, LeaseId{}});
    }

    void readVersion(const std::string &model, std::uint64_t version)
    {
        platform.stores[0]->completeList(10, {{"op/version/" + model, std::to_string(version),
                                               StoreRevision{2}, LeaseId{}}});
    }
};

WantedVersion versionOf(const std::string &model, std::uint64_t version)
{
    return {ModelId(model), version};
}

} // namespace

// Guards against an engine that is ordered to hold the weights of another service beside those of
// its own, for which its memory is too small.
TEST_CASE("A host process loads only the models of the service of its engine")
{
    Fixture it;
    const std::vector<WantedVersion> &loads = it.platform.manifestReads;

    SECTION("if the version of another service's model is read after the configuration")
    {
        it.readConfiguration();
        it.readVersion("label", 2);
        CHECK(loads == std::vector{versionOf("draft", 1)});
    }
    SECTION("if the version of another service's model is read before the configuration")
    {
        it.readVersion("label", 2);
        it.readConfiguration();
        CHECK(loads == std::vector{versionOf("draft", 1)});
    }
    SECTION("and their versions that are read before the configuration")
    {
        it.readVersion("draft", 2);
        CHECK(loads.empty());
        it.readConfiguration();
        CHECK(loads == std::vector{versionOf("draft", 2)});
    }
    SECTION("and their versions that are read after the configuration")
    {
        it.readConfiguration();
        it.readVersion("draft", 2);
        CHECK(loads == std::vector{versionOf("draft", 1), versionOf("draft", 2)});
    }
}
