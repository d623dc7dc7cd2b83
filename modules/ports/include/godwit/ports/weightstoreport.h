#pragma once

#include <godwit/ports/callhandle.h>
#include <godwit/ports/completion.h>
#include <godwit/ports/modelpin.h>

#include <memory>
#include <string>

namespace godwit {

/// The platform's weight store, which holds the manifest of each set of weights.
class WeightStorePort
{
public:
    WeightStorePort() = default;
    WeightStorePort(const WeightStorePort &) = delete;
    WeightStorePort &operator=(const WeightStorePort &) = delete;
    virtual ~WeightStorePort() = default;

    /// Reads the manifest of \a pin, at most 16 MB. The bytes are not verified here. Fails with
    /// NotFound. Reading has no effect, so any other error (2xxx) may be retried, after a delay if
    /// it is PlatformRefused.
    virtual std::shared_ptr<CallHandle> fetchManifest(const ModelPin &pin,
                                                      Completion<std::string> done) = 0;
};

} // namespace godwit
