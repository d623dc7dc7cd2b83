#pragma once

#include <godwit/ports/cacheevent.h>
#include <godwit/ports/callhandle.h>
#include <godwit/ports/completion.h>
#include <godwit/ports/enginecall.h>
#include <godwit/ports/engineload.h>
#include <godwit/ports/engineorder.h>
#include <godwit/ports/enginestate.h>
#include <godwit/ports/enginestreamhandlers.h>

#include <cstdint>
#include <memory>
#include <string>

namespace godwit {

/// Interface to one model engine. Used only by the host process on the same machine as the engine.
///
/// Errors of all calls: PlatformUnreachable (not sent, no effect), PlatformTimeout,
/// PlatformReplyLost, PlatformFailed and PlatformBadReply (may have taken effect), PlatformRejected
/// (invalid, no effect). After a timeout a request may still be running, and an order may still be
/// carried out later. readState() shows which orders were carried out.
class EnginePort
{
public:
    EnginePort() = default;
    EnginePort(const EnginePort &) = delete;
    EnginePort &operator=(const EnginePort &) = delete;
    virtual ~EnginePort() = default;

    /// Runs a request and streams the response from EngineCall::resumePosition on. cancel() closes
    /// the connection, which makes the engine stop generating; pause() stops the engine from
    /// sending by TCP flow control.
    ///
    /// Fails without effect with EngineBusy (no capacity, or the role does not allow the request)
    /// and NotFound (the pin is not loaded). Fails with ReplyMixed, after closing the connection,
    /// if an event names a model, adapter, version, engine or request that differs from the call or
    /// the previous events, or if its position is not the next one; such an event is not delivered.
    virtual std::shared_ptr<CallHandle> run(EngineCall call, EngineStreamHandlers handlers) = 0;

    /// Sends an order. A Load completes with the id of the load; the bytes are then sent with
    /// putWeights(). Other orders complete with an empty string once they have been carried out.
    /// Fails without effect with OrderStale (outdated fencing number, if the engine checks it) and
    /// EngineBusy (requests are running on the weights that the order replaces).
    virtual void order(const EngineOrder &order, Completion<std::string> done) = 0;

    /// Sends \a bytes of a load at \a offset. Ranges may be sent in any order, and sending the same
    /// bytes again is harmless. Completes with the number of bytes that the engine has received so
    /// far. Fails with NotFound if the load was abandoned or the engine was restarted.
    virtual std::shared_ptr<CallHandle> putWeights(std::string load, std::uint64_t offset,
                                                   std::string bytes,
                                                   Completion<std::uint64_t> done) = 0;

    /// Makes the engine verify the digest of all bytes and start to serve the weights. Fails
    /// without effect with WeightsRefused (bytes missing or corrupt; the load is abandoned),
    /// EngineBusy and NotFound.
    virtual void finishLoad(std::string load, Completion<EngineState> done) = 0;

    /// Cancels a load and frees its memory.
    virtual void abandonLoad(std::string load, Completion<Done> done) = 0;

    /// Reads the current state, which is never outdated.
    virtual void readState(Completion<EngineState> done) = 0;

    /// Reads the load report, which lags behind the state. Fails with NotFound if the engine does
    /// not report load.
    virtual void readLoad(Completion<EngineLoad> done) = 0;

    /// Reads the cache events from sequence number \a from on. They are delayed and may have gaps.
    virtual void readCacheEvents(std::uint64_t from, Completion<CacheEvents> done) = 0;

    /// Exports the KV cache up to \a block. Only engines that have loaded the same pin accept the
    /// exported bytes. Fails with NotFound if the block is not cached.
    virtual std::shared_ptr<CallHandle> exportCache(const ModelPin &pin, std::string block,
                                                    Completion<std::string> done) = 0;

    /// Imports an exported KV cache. Fails with NotFound if its pin is not loaded.
    virtual std::shared_ptr<CallHandle> importCache(std::string bytes, Completion<Done> done) = 0;
};

} // namespace godwit
