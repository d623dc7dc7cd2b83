#pragma once

#include <godwit/ports/completion.h>
#include <godwit/ports/engineevent.h>
#include <godwit/ports/engineusage.h>

#include <functional>

namespace godwit {

/// Callbacks of a streamed response. onEvent runs any number of times with consecutive positions,
/// then onEnd runs exactly once.
struct EngineStreamHandlers
{
    std::function<void(EngineEvent)> onEvent;
    Completion<EngineUsage> onEnd;
};

} // namespace godwit
