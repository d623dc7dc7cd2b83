#pragma once

#include <godwit/base/ids.h>
#include <godwit/control/configurationpull.h>
#include <godwit/control/configurationpush.h>
#include <godwit/control/gossipmessage.h>

#include <functional>
#include <memory>

namespace godwit {

/// Periodic event on which the state machines check their timers.
struct TimerTick
{};

/// A call that the core itself made has completed.
struct CallCompleted
{
    std::function<void()> continuation;
};

struct GossipArrived
{
    GossipMessage message;
};

struct ConfigurationPushArrived
{
    HostId from;
    ConfigurationPush push;
};

struct ConfigurationPullArrived
{
    HostId from;
    ConfigurationPull pull;
};

/// A graceful shutdown of the process was requested.
struct ShutdownRequested
{};

} // namespace godwit
