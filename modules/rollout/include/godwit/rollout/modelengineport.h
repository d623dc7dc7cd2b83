#pragma once

#include <godwit/base/ids.h>
#include <godwit/gateway/backendrecord.h>
#include <godwit/ports/completion.h>
#include <godwit/weights/manifest.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace godwit {

/// What an engine says of itself.
struct EngineReport
{
    std::uint64_t bornMs = 0; ///< Unix time of its start.
    bool busy = false;        ///< It carries out an order.
    std::uint64_t orders = 0; ///< Accepted since its start.
    std::vector<ServedModel> models;
    std::optional<LayerRange> layers;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;

    friend bool operator==(const EngineReport &, const EngineReport &) = default;
};

/// Order to load the staged pieces of a version, after the requests that run have ended.
struct LoadOrder
{
    ModelId model;
    std::uint64_t version = 0;
    std::uint64_t expectedOrders = 0; ///< EngineReport::orders on which it was decided.

    friend bool operator==(const LoadOrder &, const LoadOrder &) = default;
};

/// The engine beside a host process: staging of pieces, orders and reports. Calls are made from the
/// engine's own machine.
class ModelEnginePort
{
public:
    ModelEnginePort() = default;
    ModelEnginePort(const ModelEnginePort &) = delete;
    ModelEnginePort &operator=(const ModelEnginePort &) = delete;
    virtual ~ModelEnginePort() = default;

    virtual void readReport(Completion<EngineReport> done) = 0;

    /// Pieces that are staged. The engine checks none of them.
    virtual void listStaged(const ModelId &model, Completion<std::set<ChunkIndex>> done) = 0;
    /// Fails with NotFound.
    virtual void readStaged(const ModelId &model, ChunkIndex piece,
                            Completion<std::string> done) = 0;
    virtual void stage(const ModelId &model, ChunkIndex piece, std::string bytes,
                       Completion<Done> done) = 0;

    /// Succeeds when the order has begun or is in effect. Fails with CompareFailed if the engine
    /// has accepted other orders or its state does not fit. After any other error the order may
    /// have begun.
    virtual void load(const LoadOrder &order, Completion<Done> done) = 0;
};

} // namespace godwit
