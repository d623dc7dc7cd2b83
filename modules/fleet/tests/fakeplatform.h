#pragma once

#include "virtualscheduler.h"

#include <godwit/fleet/fleetplatform.h>

#include <sstream>
#include <stdexcept>

namespace godwit {

/// Store with one watch. The test completes its calls.
class FakeStore : public KeyValuePort
{
public:
    Completion<KeyValueList> listDone;
    WatchHandlers handlers;
    std::function<void()> onWatch = [] {}; ///< Called at the start of each watch call.
    int watchCalls = 0;
    Completion<std::optional<KeyValueEntry>> getDone;
    int getCalls = 0;

    StoreEra currentEra;

    void completeList(std::uint64_t revision, std::vector<KeyValueEntry> entries)
    {
        const auto done = listDone;
        done(KeyValueList{{currentEra, StoreRevision{revision}}, std::move(entries)});
    }

    /// The service comes back from a copy with \a entries.
    void restore(std::uint64_t revision, std::vector<KeyValueEntry> entries)
    {
        ++currentEra.value;
        handlers.onEnd(Error{ResultCode::StoreRestored, "another era"});
        completeList(revision, std::move(entries));
    }

    StoreEra era() const override { return currentEra; }

    void get(std::string, Completion<std::optional<KeyValueEntry>> done) override
    {
        ++getCalls;
        getDone = std::move(done);
    }
    void list(std::string, Completion<KeyValueList> done) override { listDone = std::move(done); }
    void compareAndSwap(std::string, StoreRevision, std::string, LeaseId,
                        Completion<StoreRevision>) override
    {}
    void deleteKey(std::string, StoreRevision, Completion<Done>) override {}
    void grantLease(Duration, Completion<LeaseId>) override {}
    void keepLeaseAlive(LeaseId, Completion<Duration>) override {}
    void revokeLease(LeaseId, Completion<Done>) override {}
    std::shared_ptr<CallHandle> watch(std::string, StorePosition, WatchHandlers given) override
    {
        ++watchCalls;
        onWatch();
        handlers = std::move(given);
        handlers.onPollStarted();
        return nullptr;
    }
};

/// Platform whose backend records consist of the word "ready" or "draining", optionally followed by
/// the start time and the number of slots, and whose version records consist of the version number.
/// The backend record "throws" makes the decoder throw, and so does a version record that is no
/// number.
class FakePlatform : public FleetPlatform
{
public:
    std::unique_ptr<KeyValuePort> createStore(HttpClient &, Scheduler &,
                                              const FleetStoreOptions &) const override
    {
        return nullptr;
    }
    std::string_view operatorPrefix() const override { return "op/"; }
    std::string_view versionPrefix() const override { return "op/version/"; }
    std::string_view configurationKey() const override { return "op/config"; }
    Result<OperatorRecord> decodeOperatorRecord(const KeyValueEntry &entry) const override
    {
        if (entry.key == "op/config") {
            GatewayConfiguration configuration;
            configuration.version = std::stoull(entry.value);
            return OperatorRecord(std::move(configuration));
        }
        if (const auto evacuation = evacuationFromKey(entry.key))
            return OperatorRecord(*evacuation);
        if (!entry.key.starts_with("op/version/"))
            return OperatorRecord();
        return OperatorRecord(WantedVersion{ModelId("m"), std::stoull(entry.value)});
    }
    std::optional<ZoneEvacuation> evacuationFromKey(std::string_view key) const override
    {
        constexpr std::string_view Prefix = "op/evacuate/";
        if (!key.starts_with(Prefix))
            return std::nullopt;
        return ZoneEvacuation{ZoneId(std::string(key.substr(Prefix.size())))};
    }
    std::string_view backendPrefix() const override { return "servers/"; }
    BackendId backendIdFromKey(std::string_view key) const override
    {
        return BackendId(std::string(key.substr(backendPrefix().size())));
    }
    Result<BackendRecord> decodeBackend(const KeyValueEntry &entry) const override
    {
        if (entry.value == "throws")
            throw std::length_error("record too long");
        std::istringstream words(entry.value);
        std::string state;
        BackendRecord record;
        words >> state >> record.startTimeMs >> record.slots;
        if (state != "ready" && state != "draining")
            return fail(ResultCode::MessageMalformed, "unknown state");
        record.id = backendIdFromKey(entry.key);
        record.draining = state == "draining";
        return record;
    }
    const CallerProtocol &callerProtocol() const override { std::abort(); }
    std::unique_ptr<ModelEnginePort> createEngine(HttpClient &, HttpEndpoint) const override
    {
        return nullptr;
    }
    std::unique_ptr<WeightOriginPort> createOrigin(HttpClient &, HttpEndpoint) const override
    {
        return nullptr;
    }
};

struct FeedFixture
{
    VirtualScheduler scheduler;
    FakeStore store;
    FakePlatform platform;
    TimePoint callStart;       ///< Of the last watch call.
    TimePoint failedCallStart; ///< Of the last watch call that failed.

    FeedFixture()
    {
        store.onWatch = [this] { callStart = scheduler.now(); };
    }

    /// Makes the current call to the store fail, and waits until it is repeated.
    void failCall()
    {
        failedCallStart = callStart;
        store.handlers.onEnd(Error{ResultCode::PlatformRefused, "busy"});
        const int before = store.watchCalls;
        while (store.watchCalls == before)
            scheduler.advance(std::chrono::milliseconds(10));
    }
};

} // namespace godwit
