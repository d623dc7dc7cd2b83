#pragma once

#include <godwit/base/time.h>
#include <godwit/ports/completion.h>
#include <godwit/ports/watchevent.h>

#include <functional>
#include <vector>

namespace godwit {

/// Callbacks of a watch: onStarted once, onEvents any number of times, and onEnd exactly once.
struct WatchHandlers
{
    std::function<void(StoreRevision current)> onStarted;

    /// Called with events in ascending order of revisions. The writes of one transaction are
    /// delivered in one call.
    std::function<void(const std::vector<WatchEvent> &events)> onEvents;

    Completion<Done> onEnd;
    /// Called when a watch that polls the service sends a request. Adapters that use one endless
    /// call do not call it.
    std::function<void()> onPollStarted = {};
    /// Called when the service answered only at the end of the wait that the request allowed: no
    /// watched key was written before \a time.
    std::function<void(TimePoint time)> onQuietUntil = {};
    /// Called when all writes that the service had accepted at \a requestTime have been reported.
    /// Adapters of services that do not confirm their watches do not call it.
    std::function<void(StoreRevision current, TimePoint requestTime)> onConfirmed = {};
};

} // namespace godwit
