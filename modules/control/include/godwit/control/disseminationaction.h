#pragma once

#include <godwit/base/ids.h>
#include <godwit/control/configurationpull.h>
#include <godwit/control/configurationpush.h>

#include <memory>
#include <variant>

namespace godwit {

/// Watch the document in the key-value service. Pass each value and each confirmation that it is
/// unchanged to ConfigurationDissemination::onWatch().
struct StartWatch
{};

/// Stop the watch.
struct StopWatch
{};

/// Put the document into effect in this process.
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
