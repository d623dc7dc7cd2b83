#pragma once

#include <godwit/base/time.h>
#include <godwit/ports/completion.h>
#include <godwit/ports/watchevent.h>

#include <functional>
#include <vector>

namespace godwit {

/// Callbacks of a watch: onStarted once, onEvents any number of times, onEnd exactly once.
struct WatchHandlers
{
    std::function<void(StoreRevision current)> onStarted;

    /// Events ascending by revision. The writes of one transaction arrive together.
    std::function<void(const std::vector<WatchEvent> &events)> onEvents;

    Completion<Done> onEnd;
    /// A call of the watch begins. Adapters whose watch is one endless call leave it out.
    std::function<void()> onAsked = {};
    /// All writes that the service had accepted at \a asked have been reported. Adapters of
    /// services that do not confirm their watches leave it out.
    std::function<void(StoreRevision current, TimePoint asked)> onConfirmed = {};
};

} // namespace godwit
