#pragma once

#include <godwit/ports/scheduler.h>
#include <godwit/rollout/modelengineport.h>
#include <godwit/rollout/peertransport.h>
#include <godwit/rollout/weightoriginport.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace godwit {

inline const ModelId TestModel("m");
constexpr std::uint32_t TestChunkBytes = 2048;
constexpr ChunkIndex TestChunkCount = 6;

/// Versions with equal chunks, which all hold the same padding.
constexpr std::uint64_t EqualPairVersion = 11; ///< Chunks 1 and 4.
constexpr std::uint64_t AllEqualVersion = 12;
constexpr std::uint64_t OtherPairVersion = 13; ///< Chunks 0 and 5.

inline bool hasPadding(std::uint64_t version, ChunkIndex chunk)
{
    switch (version) {
    case EqualPairVersion:
        return chunk == 1 || chunk == 4;
    case AllEqualVersion:
        return true;
    case OtherPairVersion:
        return chunk == 0 || chunk == 5;
    default:
        return false;
    }
}

inline std::string testChunk(std::uint64_t version, ChunkIndex chunk)
{
    std::string bytes(TestChunkBytes, 'p');
    const std::string label = hasPadding(version, chunk)
                                      ? "0"
                                      : std::to_string(version) + '/' + std::to_string(chunk);
    bytes.replace(0, label.size(), label);
    return bytes;
}

inline Manifest testManifest(std::uint64_t version)
{
    Manifest manifest;
    manifest.deployment = DeploymentId("m");
    manifest.model = TestModel;
    manifest.version = VersionId(std::to_string(version));
    manifest.chunkBytes = TestChunkBytes;
    manifest.totalBytes = std::uint64_t{TestChunkBytes} * TestChunkCount;
    for (ChunkIndex i = 0; i < TestChunkCount; ++i)
        manifest.chunks.push_back(Digest::of(testChunk(version, i)));
    return manifest;
}

/// Fake engine that responds to each call after 1 ms and takes 300 ms to load the chunks that were
/// staged when it accepted the order. A call without a response for ClientTimeout fails, but is
/// carried out nevertheless.
class FakeEngine : public ModelEnginePort
{
public:
    static constexpr Duration ClientTimeout = std::chrono::milliseconds(1500);

    explicit FakeEngine(Scheduler &scheduler)
        : m_scheduler(scheduler)
    {}

    std::map<ChunkIndex, std::string> staged;
    EngineReport report;
    std::vector<EngineLoadOrder> orders;
    bool loadedWrongBytes = false; ///< An order was accepted while a staged chunk was wrong.
    /// An order was accepted for a chunk that had been corrupt for longer than the operators
    /// tolerate.
    bool loadedLongCorrupt = false;
    /// All layers were loaded, so that requests could run, and one of them from such a chunk.
    bool servedLongCorrupt = false;
    bool loadedOtherVersion = false; ///< A layer was loaded from a chunk of another version.
    int ordersToRefuse = 0;
    int orderResponsesToLose = 0;                     ///< Of orders that are accepted.
    Duration readTime = std::chrono::milliseconds(1); ///< Of a staged chunk.
    Duration listTime = std::chrono::milliseconds(1); ///< Of the list of staged chunks.
    std::vector<ChunkIndex> reads;                    ///< Staged chunks that were read.
    Duration orderDelay{0};     ///< Time for which orders wait before they are sent.
    Duration silenceOnOrder{0}; ///< Begins when the next order arrives, before it is accepted.
    Duration orderHold{0}; ///< The next order is accepted after this time; other calls overtake it.
    std::function<void()> onOrder;     ///< Called when the next order arrives.
    bool ignoresPartialOrders = false; ///< Accepts orders for some layers but does not load them.
    bool reloadsWhole = false;  ///< Loads a version again that it serves, if it reports no layers.
    bool ignoresRanges = false; ///< Loads all layers with each order.
    std::uint32_t layerCount = 0; ///< Of the model; must divide TestChunkCount. 0: not reported.

    void serve(std::uint64_t version) { report.models = {{TestModel, version}}; }

    void corrupt(ChunkIndex chunk)
    {
        staged[chunk] = std::string(TestChunkBytes, 'r');
        m_corruptSince[chunk] = m_scheduler.now();
    }

    /// Whether a layer that the engine holds was loaded from a chunk that had been corrupt for
    /// longer than the operators tolerate.
    bool holdsLongCorrupt() const { return !m_corruptLayers.empty(); }

    /// Starts again without layers; the staged chunks are kept. Orders that it has not accepted are
    /// lost.
    void restart()
    {
        const std::uint64_t startTimeMs = report.startTimeMs + 1;
        report = EngineReport{};
        report.startTimeMs = startTimeMs;
        m_loading.reset();
        m_corruptLayers.clear();
    }

    void readReport(Completion<EngineReport> done) override
    {
        respond<EngineReport>(done, [this] { return report; });
    }
    void listStaged(const ModelId &, Completion<std::set<ChunkIndex>> done) override
    {
        const auto list = [this] {
            std::set<ChunkIndex> indexes;
            for (const auto &[chunk, bytes] : staged)
                indexes.insert(chunk);
            return indexes;
        };
        respond<std::set<ChunkIndex>>(done, list, listTime);
    }
    void readStaged(const ModelId &, ChunkIndex chunk, std::uint32_t size,
                    Completion<std::string> done) override
    {
        reads.push_back(chunk);
        const auto it = staged.find(chunk);
        Outcome<std::string> bytes = Error{ResultCode::NotFound, "not staged"};
        if (it != staged.end())
            bytes = it->second;
        if (it != staged.end() && it->second.size() > size)
            bytes = Error{ResultCode::PlatformBadReply, "too long"};
        respond<std::string>(
                done, [bytes] { return bytes; }, readTime);
    }
    void stage(const ModelId &, ChunkIndex chunk, std::string bytes, Completion<Done> done) override
    {
        respond<Done>(done, [this, chunk, bytes] {
            staged[chunk] = bytes;
            m_corruptSince.erase(chunk);
            return Done();
        });
    }
    void load(const EngineLoadOrder &order, Completion<OrderAcceptance> done) override
    {
        const TimePoint sentAt = m_scheduler.now() + std::exchange(orderDelay, Duration(0));
        if (order.sendBefore && sentAt > *order.sendBefore) {
            respond<OrderAcceptance>(done, [] { return Error{ResultCode::NotSent, "too late"}; });
            return;
        }
        if (const auto function = std::exchange(onOrder, nullptr))
            function();
        if (silenceOnOrder > Duration::zero())
            m_silentUntil = m_scheduler.now() + std::exchange(silenceOnOrder, Duration(0));
        const Duration delay = std::exchange(orderHold, Duration(0)) + std::chrono::milliseconds(1);
        const auto deliver = [this, order,
                              receiver = report.startTimeMs]() -> Outcome<OrderAcceptance> {
            // An order that has not been accepted ends with the connection to its process.
            if (receiver != report.startTimeMs)
                return Error{ResultCode::PlatformReplyLost, "connection reset"};
            return accept(order);
        };
        respond<OrderAcceptance>(done, deliver, delay);
    }

private:
    /// Chunks may turn corrupt this long before the engine takes them.
    static constexpr Duration ToleratedCorruption = std::chrono::seconds(3);

    Outcome<OrderAcceptance> accept(const EngineLoadOrder &order)
    {
        if (ordersToRefuse > 0 || order.expectedAcceptedOrders != report.acceptedOrders
            || report.busy) {
            --ordersToRefuse;
            return Error{ResultCode::CompareFailed, "refused"};
        }
        const LayerRange all{0, std::max(layerCount, 1U), order.version};
        const LayerRange wanted = ignoresRanges ? all : order.layers.value_or(all);
        const bool isWhole =
                std::ranges::find(report.models, ServedModel{order.model, order.version})
                        != report.models.end()
                && layerCount == 0 && !reloadsWhole;
        if (isWhole || (!ignoresRanges && report.layers == wanted))
            return OrderAcceptance::InEffect;
        orders.push_back(order);
        ++report.acceptedOrders;
        report.busy = true;
        if (!order.layers || !ignoresPartialOrders)
            takeChunks(wanted);
        m_loading = m_scheduler.after(std::chrono::milliseconds(300), [this, order, wanted, all] {
            report.busy = false;
            if (order.layers && ignoresPartialOrders)
                return;
            serve(order.version);
            if (layerCount > 0)
                report.layers = wanted;
            servedLongCorrupt |= wanted == all && holdsLongCorrupt();
        });
        if (orderResponsesToLose-- > 0)
            return Error{ResultCode::PlatformReplyLost, "connection reset"};
        return OrderAcceptance::Begun;
    }

    /// Takes the chunks of the layers in \a wanted that the engine does not hold yet, and drops the
    /// layers outside of it.
    void takeChunks(const LayerRange &wanted)
    {
        const bool keepsLayers =
                !ignoresRanges && report.layers && report.layers->version == wanted.version;
        const LayerRange held = keepsLayers ? *report.layers : LayerRange{};
        const ChunkIndex perLayer = TestChunkCount / std::max(layerCount, 1U);
        std::erase_if(m_corruptLayers, [&](std::uint32_t it) {
            return !contains(held, it) || !contains(wanted, it);
        });
        for (std::uint32_t layer = wanted.first; layer < wanted.end; ++layer) {
            if (contains(held, layer))
                continue;
            for (ChunkIndex i = layer * perLayer; i < (layer + 1) * perLayer; ++i) {
                loadedWrongBytes |= staged[i] != testChunk(wanted.version, i);
                loadedOtherVersion |= !staged[i].empty() && !m_corruptSince.contains(i)
                                      && staged[i] != testChunk(wanted.version, i);
                if (m_corruptSince.contains(i)
                    && m_scheduler.now() - m_corruptSince[i] > ToleratedCorruption)
                    m_corruptLayers.insert(layer);
            }
        }
        loadedLongCorrupt |= holdsLongCorrupt();
    }

    static bool contains(const LayerRange &range, std::uint32_t layer)
    {
        return layer >= range.first && layer < range.end;
    }

    template <typename T>
    void respond(Completion<T> done, std::function<Outcome<T>()> carryOut,
                 Duration delay = std::chrono::milliseconds(1))
    {
        const TimePoint now = m_scheduler.now();
        const Duration wait = std::max(delay, m_silentUntil - now);
        if (wait <= ClientTimeout) {
            m_calls.push_back(m_scheduler.after(wait, [done, carryOut] { done(carryOut()); }));
            return;
        }
        m_calls.push_back(m_scheduler.after(ClientTimeout, [done] {
            done(Error{ResultCode::PlatformTimeout, "timed out"});
        }));
        m_calls.push_back(m_scheduler.after(wait, [carryOut] { carryOut(); }));
    }

    Scheduler &m_scheduler;
    std::map<ChunkIndex, TimePoint> m_corruptSince;
    std::set<std::uint32_t> m_corruptLayers; ///< Held, and loaded from long corrupt chunks.
    TimePoint m_silentUntil{};
    std::vector<std::unique_ptr<Timer>> m_calls;
    std::unique_ptr<Timer> m_loading;
};

/// Fake origin. The first read of each chunk in `corruptOnce` returns
/// wrong bytes.
class FakeOrigin : public WeightOriginPort
{
public:
    explicit FakeOrigin(Scheduler &scheduler)
        : m_scheduler(scheduler)
    {}

    std::set<ChunkIndex> corruptOnce;
    int chunkReads = 0;
    int manifestFailures = 0;
    std::uint64_t oldestVersion = 0; ///< Older ones are no longer provided.
    bool isAway = false;             ///< Refuses all connections.
    Duration responseTime = std::chrono::milliseconds(5);
    std::map<std::uint64_t, int> readsByVersion; ///< Chunks that were provided.

    void readManifest(const ModelId &, std::uint64_t version, Completion<Manifest> done) override
    {
        respondLater([this, version, done] {
            if (const auto error = refusal(version))
                done(*error);
            else if (manifestFailures-- > 0)
                done(Error{ResultCode::PlatformUnreachable, "down"});
            else
                done(testManifest(version));
        });
    }
    std::shared_ptr<CallHandle> readChunk(const ModelId &, std::uint64_t version, ChunkIndex chunk,
                                          std::uint32_t, Completion<std::string> done) override
    {
        ++chunkReads;
        respondLater([this, version, chunk, done] {
            if (const auto error = refusal(version)) {
                done(*error);
                return;
            }
            ++readsByVersion[version];
            done(corruptOnce.erase(chunk) > 0 ? std::string(TestChunkBytes, 'x')
                                              : testChunk(version, chunk));
        });
        return nullptr;
    }

private:
    std::optional<Error> refusal(std::uint64_t version) const
    {
        if (isAway)
            return Error{ResultCode::PlatformUnreachable, "down"};
        if (version < oldestVersion)
            return Error{ResultCode::NotFound, "too old"};
        return std::nullopt;
    }

    void respondLater(std::function<void()> function)
    {
        m_calls.push_back(m_scheduler.after(responseTime, std::move(function)));
    }

    Scheduler &m_scheduler;
    std::vector<std::unique_ptr<Timer>> m_calls;
};

/// Transport of a host whose peers hold no chunks. Records the responses to their requests.
class NullPeerTransport : public PeerTransport
{
public:
    std::map<UploadId, ChunkBytes> served;
    std::map<UploadId, ResultCode> refused;
    std::set<HostId> announcedTo;

    std::shared_ptr<CallHandle> fetch(const HostId &, const Digest &, std::uint32_t,
                                      std::function<void()>, Completion<std::string> done) override
    {
        done(Error{ResultCode::NotSent, "no peers"});
        return nullptr;
    }
    void fetchManifest(const HostId &, const ModelId &, std::uint64_t,
                       Completion<Manifest> done) override
    {
        done(Error{ResultCode::NotSent, "no peers"});
    }
    void announce(const HostId &peer, const HaveUpdate &) override { announcedTo.insert(peer); }
    void serve(const ServeChunk &chunk, std::function<void(bool)> onFinished) override
    {
        served[chunk.upload] = chunk.bytes;
        onFinished(true);
    }
    void refuse(UploadId upload, ResultCode code) override { refused[upload] = code; }
};

} // namespace godwit
