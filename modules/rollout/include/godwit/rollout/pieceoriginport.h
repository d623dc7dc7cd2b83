#pragma once

#include <godwit/base/ids.h>
#include <godwit/ports/callhandle.h>
#include <godwit/ports/completion.h>
#include <godwit/weights/manifest.h>

#include <memory>
#include <string>

namespace godwit {

/// The origin of weights, read piece by piece. Its rate and its connections are limited and shared
/// by all hosts, and its bytes may be corrupt.
class PieceOriginPort
{
public:
    PieceOriginPort() = default;
    PieceOriginPort(const PieceOriginPort &) = delete;
    PieceOriginPort &operator=(const PieceOriginPort &) = delete;
    virtual ~PieceOriginPort() = default;

    /// Fails with NotFound if the version is no longer handed out.
    virtual void readManifest(const ModelId &model, std::uint64_t version,
                              Completion<Manifest> done) = 0;

    virtual std::shared_ptr<CallHandle> readPiece(const ModelId &model, std::uint64_t version,
                                                  ChunkIndex piece,
                                                  Completion<std::string> done) = 0;
};

} // namespace godwit
