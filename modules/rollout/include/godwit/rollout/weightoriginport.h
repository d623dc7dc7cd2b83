#pragma once

#include <godwit/base/ids.h>
#include <godwit/ports/callhandle.h>
#include <godwit/ports/completion.h>
#include <godwit/weights/manifest.h>

#include <memory>
#include <string>

namespace godwit {

/// The origin server of model weights, read chunk by chunk. All hosts share its limited bandwidth
/// and number of connections, and the bytes that it returns may be corrupt.
class WeightOriginPort
{
public:
    WeightOriginPort() = default;
    WeightOriginPort(const WeightOriginPort &) = delete;
    WeightOriginPort &operator=(const WeightOriginPort &) = delete;
    virtual ~WeightOriginPort() = default;

    /// Fails with NotFound if the origin no longer provides the version.
    virtual void readManifest(const ModelId &model, std::uint64_t version,
                              Completion<Manifest> done) = 0;

    /// Reads a chunk that should have \a size bytes. Fails with PlatformBadReply if the response is
    /// much longer.
    virtual std::shared_ptr<CallHandle> readChunk(const ModelId &model, std::uint64_t version,
                                                  ChunkIndex chunk, std::uint32_t size,
                                                  Completion<std::string> done) = 0;
};

} // namespace godwit
