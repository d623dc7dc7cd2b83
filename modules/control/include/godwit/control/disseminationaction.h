#pragma once

#include <godwit/base/ids.h>
#include <godwit/control/configurationpull.h>
#include <godwit/control/configurationpush.h>

#include <memory>
#include <variant>

namespace godwit {

/// Hold a watch on the document. Each value and each proof that it is unchanged goes to
/// ConfigurationDissemination::onWatch.
struct StartWatch
{};

/// Give the watch up.
struct StopWatch
{};

/// The document is in effect now.
struct PublishConfiguration
{
    std::shared_ptr<const Configuration> configuration;
};

struct SendConfigurationPush
{
    HostId to;
    std::shared_ptr<const ConfigurationPush> message;
};

struct SendConfigurationPull
{
    HostId to;
    ConfigurationPull message;
};

using DisseminationAction = std::variant<StartWatch, StopWatch, PublishConfiguration,
                                         SendConfigurationPush, SendConfigurationPull>;

} // namespace godwit
