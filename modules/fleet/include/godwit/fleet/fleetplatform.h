#pragma once

#include <godwit/base/result.h>
#include <godwit/gateway/backendrecord.h>
#include <godwit/gateway/callerprotocol.h>
#include <godwit/gateway/gatewayconfiguration.h>
#include <godwit/ports/httpclient.h>
#include <godwit/ports/keyvalueport.h>
#include <godwit/ports/scheduler.h>
#include <godwit/rollout/modelengineport.h>
#include <godwit/rollout/weightoriginport.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace godwit {

/// The version of a model's weights that the operator wants all engines to serve.
struct WantedVersion
{
    ModelId model;
    std::uint64_t version = 0;

    friend bool operator==(const WantedVersion &, const WantedVersion &) = default;
};

/// A request of the operator to send nothing more to the backend servers of a zone, in force for as
/// long as its key exists.
struct ZoneEvacuation
{
    ZoneId zone;

    friend bool operator==(const ZoneEvacuation &, const ZoneEvacuation &) = default;
};

/// Options with which a process uses the key-value service.
struct FleetStoreOptions
{
    HttpEndpoint endpoint;
    /// Returns the time after which the next watch call returns without events.
    std::function<Duration()> longPollTimeout;
    Duration longPollGrace{0}; ///< Added to it; the connection counts as silent afterwards.
    Duration batchDelay{0};    ///< Between a watch call with events and the next one.
    /// The newest era that the service has stated, shared by all clients of one process.
    SharedStoreEra newestEra = makeSharedStoreEra();
    /// Called for each call that is sent, with its kind as a word for metrics.
    std::function<void(std::string_view kind)> onCall = [](std::string_view) {};
};

/// A record written by the operator; monostate stands for a key that is not used.
using OperatorRecord =
        std::variant<std::monostate, GatewayConfiguration, WantedVersion, ZoneEvacuation>;

/// Formats and calls of the operators' platform that the processes of a fleet use. Contains no
/// policy.
class FleetPlatform
{
public:
    FleetPlatform() = default;
    FleetPlatform(const FleetPlatform &) = delete;
    FleetPlatform &operator=(const FleetPlatform &) = delete;
    virtual ~FleetPlatform() = default;

    /// Creates a client of the platform's key-value service.
    virtual std::unique_ptr<KeyValuePort> createStore(HttpClient &client, Scheduler &scheduler,
                                                      const FleetStoreOptions &options) const = 0;

    /// Prefix of the keys that the operator writes.
    virtual std::string_view operatorPrefix() const = 0;
    /// Prefix of the operator's keys that hold wanted versions, and the key of the configuration.
    virtual std::string_view versionPrefix() const = 0;
    virtual std::string_view configurationKey() const = 0;
    virtual Result<OperatorRecord> decodeOperatorRecord(const KeyValueEntry &entry) const = 0;
    /// The evacuation that the operator requests by the presence of \a key, if it is such a key.
    virtual std::optional<ZoneEvacuation> evacuationFromKey(std::string_view key) const = 0;

    /// Prefix of the keys under which backend servers register.
    virtual std::string_view backendPrefix() const = 0;
    /// Returns an empty id if \a key does not begin with the prefix.
    virtual BackendId backendIdFromKey(std::string_view key) const = 0;
    virtual Result<BackendRecord> decodeBackend(const KeyValueEntry &entry) const = 0;

    virtual const CallerProtocol &callerProtocol() const = 0;

    /// Creates a client of the engine on the machine of a host process.
    virtual std::unique_ptr<ModelEnginePort> createEngine(HttpClient &client,
                                                          HttpEndpoint endpoint) const = 0;

    /// Creates a client of the origin of weights.
    virtual std::unique_ptr<WeightOriginPort> createOrigin(HttpClient &client,
                                                           HttpEndpoint endpoint) const = 0;
};

} // namespace godwit
