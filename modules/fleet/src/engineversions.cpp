#include "engineversions.h"

#include <algorithm>
#include <utility>

namespace godwit {

EngineVersions::EngineVersions(std::string service)
    : m_service(std::move(service))
{}

std::vector<EngineVersions::Target>
EngineVersions::setConfiguration(const GatewayConfiguration &configuration)
{
    const std::set<ModelId> previous = std::exchange(m_ownModels, {});
    m_allModels.clear();
    for (const ServiceDescription &it : configuration.services) {
        if (!it.engine)
            continue;
        m_allModels.insert(it.engine->models.begin(), it.engine->models.end());
        if (it.name == m_service)
            m_ownModels.insert(it.engine->models.begin(), it.engine->models.end());
    }
    // Versions that were read before the first configuration have not been compared with one.
    if (!std::exchange(m_isConfigured, true)) {
        for (const auto &[model, named] : m_versions)
            requestLookup(model, std::nullopt);
    }
    std::vector<Target> targets;
    for (const ModelId &model : m_ownModels) {
        if (!previous.contains(model))
            targets.push_back(targetOf(model));
    }
    return targets;
}

std::optional<EngineVersions::Target>
EngineVersions::setVersion(const WantedVersion &wanted, const std::optional<VersionWindow> &window)
{
    NamedVersion &named = m_versions[wanted.model];
    if (wanted.version <= named.version)
        return std::nullopt;
    named = {wanted.version, window};
    if (m_ownModels.contains(wanted.model))
        return targetOf(wanted.model);
    if (m_isConfigured)
        requestLookup(wanted.model, window);
    return std::nullopt;
}

std::optional<Duration> EngineVersions::takeLookupPeriod()
{
    return std::exchange(m_lookupPeriod, std::nullopt);
}

EngineVersions::Target EngineVersions::targetOf(const ModelId &model) const
{
    const auto it = m_versions.find(model);
    if (it == m_versions.end())
        return {{model, FirstVersion}, std::nullopt};
    return {{model, it->second.version}, it->second.window};
}

void EngineVersions::requestLookup(const ModelId &model, const std::optional<VersionWindow> &window)
{
    const bool isUnknown = !m_allModels.contains(model);
    // Without a window, the version is not newer than the start of this process, at which the
    // configuration was read.
    if (m_ownModels.contains(model) || (!isUnknown && !window))
        return;
    const Duration period = isUnknown ? UnknownModelLookup : OtherServiceLookup;
    m_lookupPeriod = std::min(m_lookupPeriod.value_or(period), period);
}

} // namespace godwit
