#pragma once

#include <godwit/fleet/fleetplatform.h>
#include <godwit/gateway/gatewayconfiguration.h>
#include <godwit/gateway/loadschedule.h>

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace godwit {

/// Decides which versions of weights the engine of a host is to hold: those of the models of the
/// service that the engine belongs to. Its memory may be too small for a model of another service.
///
/// The operator names versions of all models, and the configuration says which models a service
/// has. Either may be read first. Versions of other models are kept, because a later configuration
/// may give their model to the service.
class EngineVersions
{
public:
    /// A version to load. Without a window it may have been wanted for a long time.
    struct Target
    {
        WantedVersion wanted;
        std::optional<VersionWindow> window;

        friend bool operator==(const Target &, const Target &) = default;
    };

    /// Version of a model that is wanted before the operator has named one.
    static constexpr std::uint64_t FirstVersion = 1;
    /// A configuration that lists the model nowhere is likely to be outdated.
    static constexpr Duration UnknownModelLookup = std::chrono::seconds(5);
    /// Most versions of models of other services are none of this engine, but a newer configuration
    /// may have moved the model to its service. All hosts of the service read the configuration
    /// then; 76 that do so at once take the links between regions for seconds.
    static constexpr Duration OtherServiceLookup = std::chrono::seconds(60);

    /// \a service is the name of the service that the engine belongs to.
    explicit EngineVersions(std::string service);

    /// Replaces the configuration. Returns the versions to load of the models that are new to the
    /// service.
    std::vector<Target> setConfiguration(const GatewayConfiguration &configuration);

    /// Adds a version that the operator wants. Returns it if the engine is to load it.
    std::optional<Target> setVersion(const WantedVersion &wanted,
                                     const std::optional<VersionWindow> &window);

    /// Returns the time within which the configuration is to be read again, because the one that is
    /// known may lack the model of a version. Returns it once.
    std::optional<Duration> takeLookupPeriod();

private:
    struct NamedVersion
    {
        std::uint64_t version = 0;
        std::optional<VersionWindow> window;
    };

    Target targetOf(const ModelId &model) const;
    void requestLookup(const ModelId &model, const std::optional<VersionWindow> &window);

    std::string m_service;
    bool m_isConfigured = false;
    std::set<ModelId> m_ownModels;
    std::set<ModelId> m_allModels; ///< Of all services of the configuration.
    std::map<ModelId, NamedVersion> m_versions;
    std::optional<Duration> m_lookupPeriod;
};

} // namespace godwit
