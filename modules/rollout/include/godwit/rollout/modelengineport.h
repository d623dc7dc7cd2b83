#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/time.h>
#include <godwit/gateway/backendrecord.h>
#include <godwit/ports/completion.h>
#include <godwit/weights/manifest.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace godwit {

/// Status reported by an engine.
struct EngineReport
{
    std::uint64_t startTimeMs = 0;    ///< Unix time at which the engine started.
    bool busy = false;                ///< An order is being executed.
    std::uint64_t acceptedOrders = 0; ///< Orders accepted since the start.
    std::vector<ServedModel> models;
    std::optional<LayerRange> layers;
    std::uint32_t runningRequests = 0;
    std::uint32_t queuedRequests = 0;

    friend bool operator==(const EngineReport &, const EngineReport &) = default;
};

/// Whether the engine serves a version of \a model that is newer than \a version.
bool servesNewerVersion(const EngineReport &report, const ModelId &model, std::uint64_t version);

/// The layers of \a version of \a model, which has \a layerCount of them, that the engine holds;
/// empty if none. An engine that does not report layers holds all or none.
LayerRange heldLayers(const EngineReport &report, const ModelId &model, std::uint64_t version,
                      std::uint32_t layerCount);

/// How an engine answers an order that fits its state.
enum class OrderAcceptance {
    Begun,    ///< It has taken the staged chunks of the layers that it does not hold yet.
    InEffect, ///< It held the layers already; nothing has begun.
};

/// Orders the engine to load the staged chunks of a version. Unless it already holds other layers
/// of that version, the engine first waits for its running requests.
struct EngineLoadOrder
{
    ModelId model;
    std::uint64_t version = 0;
    std::uint64_t expectedAcceptedOrders = 0; ///< Of the EngineReport it is based on.
    /// Layers that the engine holds afterwards; none: all. It loads those that it does not hold
    /// yet.
    std::optional<LayerRange> layers;
    /// The order is based on facts that are outdated after this time and is not sent then.
    std::optional<TimePoint> sendBefore;

    friend bool operator==(const EngineLoadOrder &, const EngineLoadOrder &) = default;
};

/// The engine on the machine of a host process: staging of chunks, load orders and status reports.
class ModelEnginePort
{
public:
    ModelEnginePort() = default;
    ModelEnginePort(const ModelEnginePort &) = delete;
    ModelEnginePort &operator=(const ModelEnginePort &) = delete;
    virtual ~ModelEnginePort() = default;

    virtual void readReport(Completion<EngineReport> done) = 0;

    /// Lists the staged chunks. The engine does not verify them.
    virtual void listStaged(const ModelId &model, Completion<std::set<ChunkIndex>> done) = 0;
    /// Reads a chunk that should have \a size bytes. Fails with NotFound if it is not staged, and
    /// with PlatformBadReply if the response cannot be read or is much longer.
    virtual void readStaged(const ModelId &model, ChunkIndex chunk, std::uint32_t size,
                            Completion<std::string> done) = 0;
    virtual void stage(const ModelId &model, ChunkIndex chunk, std::string bytes,
                       Completion<Done> done) = 0;

    /// Fails with CompareFailed if the
    /// engine has accepted other orders since or its state does not allow the order, and with
    /// NotSent after EngineLoadOrder::sendBefore. After any other error the order may nevertheless
    /// have been accepted.
    virtual void load(const EngineLoadOrder &order, Completion<OrderAcceptance> done) = 0;
};

} // namespace godwit
