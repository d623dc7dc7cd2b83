#include <godwit/control/configuration.h>

#include <algorithm>

namespace godwit {

namespace {

constexpr std::uint32_t KnownFormat = 1;

boost::leaf::error_id malformed(const std::string &detail)
{
    return fail(ResultCode::ConfigurationMalformed, detail);
}

/// Converts JSON errors to ConfigurationMalformed, so that callers can distinguish an invalid
/// document from an invalid command.
Result<Configuration> decode(std::string_view text)
{
    const auto outcome = capture([&] { return parseJson<Configuration>(text); });
    if (!succeeded(outcome))
        return malformed(std::get<1>(outcome).detail);
    return std::get<0>(outcome);
}

Result<void> validateAdapter(const Configuration &configuration, const AdapterId &id,
                             const Adapter &adapter)
{
    const auto model = configuration.models.find(adapter.model);
    if (model == configuration.models.end()
        || !model->second.versions.contains(adapter.baseVersion))
        return malformed("adapter " + id.value() + " refers to an unknown base version");
    return {};
}

Result<void> validateOrder(const Configuration &configuration, const OperationId &id,
                           const LoadOrder &order)
{
    if (!configuration.deployments.contains(order.deployment)
        || !configuration.models.contains(order.model)
        || (!order.adapter.empty() && !configuration.adapters.contains(order.adapter)))
        return malformed("order " + id.value() + " refers to an unknown object");
    if (order.steppedHosts > order.hosts.size() || order.rollingStep == 0)
        return malformed("order " + id.value() + " has an invalid rolling step");
    return {};
}

} // namespace

Result<void> validate(const Configuration &configuration)
{
    for (const auto &[id, model] : configuration.models) {
        if (!configuration.deployments.contains(model.deployment))
            return malformed("model " + id.value() + " refers to an unknown deployment");
    }
    for (const auto &[id, adapter] : configuration.adapters)
        BOOST_LEAF_CHECK(validateAdapter(configuration, id, adapter));
    for (const auto &[id, order] : configuration.orders)
        BOOST_LEAF_CHECK(validateOrder(configuration, id, order));
    for (const auto &[id, record] : configuration.operations) {
        if (record.revision > configuration.revision)
            return malformed("operation " + id.value()
                             + " has a higher revision than the document");
    }
    return {};
}

Result<Configuration> parseConfiguration(std::string_view text)
{
    if (text.size() > Configuration::MaxBytes)
        return malformed("the document is too large: " + std::to_string(text.size()) + " bytes");
    BOOST_LEAF_AUTO(configuration, decode(text));
    if (configuration.format != KnownFormat)
        return malformed("format " + std::to_string(configuration.format) + " is not supported");
    if (configuration.revision == Revision{})
        return malformed("the document has no revision");
    BOOST_LEAF_CHECK(validate(configuration));
    return configuration;
}

bool isAllowed(const Deployment &deployment, const HostId &host)
{
    if (deployment.deniedHosts.contains(host))
        return false;
    return deployment.anyHost || deployment.allowedHosts.contains(host);
}

bool isAllowed(const Deployment &deployment, const HostId &host, const BackendId &backend)
{
    if (deployment.deniedHosts.contains(host) || deployment.deniedBackends.contains(backend))
        return false;
    return deployment.anyHost || deployment.allowedHosts.contains(host)
           || deployment.allowedBackends.contains(backend);
}

} // namespace godwit
