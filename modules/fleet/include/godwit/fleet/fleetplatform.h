#pragma once

#include <godwit/base/result.h>
#include <godwit/gateway/backendrecord.h>
#include <godwit/gateway/callerprotocol.h>
#include <godwit/gateway/gatewayconfiguration.h>
#include <godwit/ports/httpclient.h>
#include <godwit/ports/keyvalueport.h>
#include <godwit/ports/scheduler.h>
#include <godwit/rollout/modelengineport.h>
#include <godwit/rollout/pieceoriginport.h>

#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace godwit {

/// A version of a model's weights that the operator wants on all engines.
struct WantedVersion
{
    ModelId model;
    std::uint64_t version = 0;

    friend bool operator==(const WantedVersion &, const WantedVersion &) = default;
};

/// How a process uses the key-value service.
struct FleetStoreOptions
{
    HttpEndpoint endpoint;
    Duration watchWait{0};  ///< Time after which a watch without events is answered.
    Duration watchPause{0}; ///< Between events and the next call of a watch.
};

/// Something that the operator has written; monostate stands for a key of no concern.
using OperatorRecord = std::variant<std::monostate, GatewayConfiguration, WantedVersion>;

/// Formats and calls of the operators' platform, as the processes of a fleet use them. Decides
/// nothing.
class FleetPlatform
{
public:
    FleetPlatform() = default;
    FleetPlatform(const FleetPlatform &) = delete;
    FleetPlatform &operator=(const FleetPlatform &) = delete;
    virtual ~FleetPlatform() = default;

    /// Key-value service of the platform.
    virtual std::unique_ptr<KeyValuePort> store(HttpClient &client, Scheduler &scheduler,
                                                const FleetStoreOptions &options) const = 0;

    /// Prefix of the keys that the operator writes.
    virtual std::string_view operatorPrefix() const = 0;
    /// Those of them that name versions of weights, and the one that holds the configuration.
    virtual std::string_view versionPrefix() const = 0;
    virtual std::string_view configurationKey() const = 0;
    virtual Result<OperatorRecord> decodeOperatorRecord(const KeyValueEntry &entry) const = 0;

    /// Prefix of the keys under which backend servers register.
    virtual std::string_view backendPrefix() const = 0;
    virtual BackendId backendOf(std::string_view key) const = 0;
    virtual Result<BackendRecord> decodeBackend(const KeyValueEntry &entry) const = 0;

    virtual const CallerProtocol &callerProtocol() const = 0;

    /// The engine beside a host process.
    virtual std::unique_ptr<ModelEnginePort> engine(HttpClient &client,
                                                    HttpEndpoint endpoint) const = 0;

    /// The origin of weights.
    virtual std::unique_ptr<PieceOriginPort> origin(HttpClient &client,
                                                    HttpEndpoint endpoint) const = 0;
};

} // namespace godwit
