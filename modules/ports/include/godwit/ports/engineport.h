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

/// One model engine. Only the host process beside the engine uses this port.
///
/// Errors of all calls: PlatformUnreachable (not sent, no effect), PlatformTimeout,
/// PlatformReplyLost, PlatformFailed and PlatformBadReply (may have taken effect), PlatformRejected
/// (invalid, no effect). A timeout says nothing about what the engine does: a request may still
/// run, an order may still be obeyed. readState() shows which orders were obeyed.
class EnginePort
{
public:
    EnginePort() = default;
    EnginePort(const EnginePort &) = delete;
    EnginePort &operator=(const EnginePort &) = delete;
    virtual ~EnginePort() = default;

    /// Runs a request and streams the response from EngineCall::resumePosition on. cancel() closes
    /// the connection, upon which the engine stops; pause() holds the engine back.
    ///
    /// Fails without effect with EngineBusy (no room, or the role does not allow it) and NotFound
    /// (the pin is not loaded). Fails with ReplyMixed, after closing the connection, if an event
    /// names another model, adapter, version, engine or request than the call and the events before
    /// it, or if its position is not the next; no such event is delivered.
    virtual std::shared_ptr<CallHandle> run(EngineCall call, EngineStreamHandlers handlers) = 0;

    /// Gives an order. A Load completes with the id of the load, whose bytes follow by
    /// putWeights(); other orders complete with an empty text when they are done. Fails without
    /// effect with OrderStale (fencing number, if the engine checks it) and EngineBusy (requests
    /// run on what the order replaces).
    virtual void order(const EngineOrder &order, Completion<std::string> done) = 0;

    /// Passes bytes of a load at \a offset, in any order; the engine takes \a bytes over. Equal
    /// bytes may be passed again. Completes with the bytes received so far. Fails with NotFound if
    /// the load has been abandoned or the engine was restarted.
    virtual std::shared_ptr<CallHandle> putWeights(std::string load, std::uint64_t offset,
                                                   std::string bytes,
                                                   Completion<std::uint64_t> done) = 0;

    /// Lets the engine verify the digest of all bytes and start to serve them. Fails without effect
    /// with WeightsRefused (bytes missing or corrupt; the load is abandoned), EngineBusy and
    /// NotFound.
    virtual void finishLoad(std::string load, Completion<EngineState> done) = 0;

    /// Abandons a load and frees its bytes.
    virtual void abandonLoad(std::string load, Completion<Done> done) = 0;

    /// Reads the current state, without lag.
    virtual void readState(Completion<EngineState> done) = 0;

    /// Reads the lagging load report. Fails with NotFound if the engine does not report load.
    virtual void readLoad(Completion<EngineLoad> done) = 0;

    /// Reads the cache events from sequence \a from on. They are late and may have gaps.
    virtual void readCacheEvents(std::uint64_t from, Completion<CacheEvents> done) = 0;

    /// Reads the KV cache up to \a block in a form that only engines with the same loaded pin
    /// accept. Fails with NotFound if the block is not cached.
    virtual std::shared_ptr<CallHandle> exportCache(const ModelPin &pin, std::string block,
                                                    Completion<std::string> done) = 0;

    /// Stores an exported KV cache. Fails with NotFound if its pin is not loaded.
    virtual std::shared_ptr<CallHandle> importCache(std::string bytes, Completion<Done> done) = 0;
};

} // namespace godwit
