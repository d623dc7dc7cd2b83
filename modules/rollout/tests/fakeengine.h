#pragma once

#include <godwit/ports/scheduler.h>
#include <godwit/rollout/modelengineport.h>
#include <godwit/rollout/peertransport.h>
#include <godwit/rollout/pieceoriginport.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace godwit {

inline const ModelId TestModel("m");
constexpr std::uint32_t PieceBytes = 2048;
constexpr ChunkIndex PieceCount = 6;

inline std::string pieceOf(std::uint64_t version, ChunkIndex piece)
{
    std::string bytes(PieceBytes, 'p');
    const std::string mark = std::to_string(version) + '/' + std::to_string(piece);
    bytes.replace(0, mark.size(), mark);
    return bytes;
}

inline Manifest manifestOf(std::uint64_t version)
{
    Manifest manifest;
    manifest.deployment = DeploymentId("m");
    manifest.model = TestModel;
    manifest.version = VersionId(std::to_string(version));
    manifest.chunkBytes = PieceBytes;
    manifest.totalBytes = std::uint64_t{PieceBytes} * PieceCount;
    for (ChunkIndex i = 0; i < PieceCount; ++i)
        manifest.chunks.push_back(Digest::of(pieceOf(version, i)));
    return manifest;
}

/// Engine that answers each call a millisecond later, and takes 300 ms to load what is staged at
/// the time of the order.
class FakeEngine : public ModelEnginePort
{
public:
    explicit FakeEngine(Scheduler &scheduler)
        : m_scheduler(scheduler)
    {}

    std::map<ChunkIndex, std::string> staged;
    EngineReport report;
    std::vector<LoadOrder> orders;
    bool loadedWrongBytes = false; ///< An order was accepted while a staged piece was wrong.
    int ordersToRefuse = 0;

    void serve(std::uint64_t version) { report.models = {{TestModel, version}}; }

    void readReport(Completion<EngineReport> done) override
    {
        later([this, done] { done(report); });
    }
    void listStaged(const ModelId &, Completion<std::set<ChunkIndex>> done) override
    {
        later([this, done] {
            std::set<ChunkIndex> held;
            for (const auto &[piece, bytes] : staged)
                held.insert(piece);
            done(held);
        });
    }
    void readStaged(const ModelId &, ChunkIndex piece, Completion<std::string> done) override
    {
        later([this, piece, done] {
            if (staged.contains(piece))
                done(staged.at(piece));
            else
                done(Error{ResultCode::NotFound, "not staged"});
        });
    }
    void stage(const ModelId &, ChunkIndex piece, std::string bytes, Completion<Done> done) override
    {
        later([this, piece, bytes, done] {
            staged[piece] = bytes;
            done(Done());
        });
    }
    void load(const LoadOrder &order, Completion<Done> done) override
    {
        later([this, order, done] {
            if (ordersToRefuse > 0 || order.expectedOrders != report.orders || report.busy) {
                --ordersToRefuse;
                done(Error{ResultCode::CompareFailed, "refused"});
                return;
            }
            orders.push_back(order);
            ++report.orders;
            report.busy = true;
            for (ChunkIndex i = 0; i < PieceCount; ++i)
                loadedWrongBytes |= staged[i] != pieceOf(order.version, i);
            m_loading = m_scheduler.after(std::chrono::milliseconds(300), [this, order] {
                report.busy = false;
                serve(order.version);
            });
            done(Done());
        });
    }

private:
    void later(std::function<void()> function)
    {
        m_calls.push_back(m_scheduler.after(std::chrono::milliseconds(1), std::move(function)));
    }

    Scheduler &m_scheduler;
    std::vector<std::unique_ptr<Timer>> m_calls;
    std::unique_ptr<Timer> m_loading;
};

/// Origin that hands out each piece after 5 ms; `corrupt` pieces are spoilt once.
class FakeOrigin : public PieceOriginPort
{
public:
    explicit FakeOrigin(Scheduler &scheduler)
        : m_scheduler(scheduler)
    {}

    std::set<ChunkIndex> corrupt;
    int pieces = 0;
    int manifestFailures = 0;

    void readManifest(const ModelId &, std::uint64_t version, Completion<Manifest> done) override
    {
        later([this, version, done] {
            if (manifestFailures-- > 0)
                done(Error{ResultCode::PlatformUnreachable, "down"});
            else
                done(manifestOf(version));
        });
    }
    std::shared_ptr<CallHandle> readPiece(const ModelId &, std::uint64_t version, ChunkIndex piece,
                                          Completion<std::string> done) override
    {
        ++pieces;
        later([this, version, piece, done] {
            done(corrupt.erase(piece) > 0 ? std::string(PieceBytes, 'x') : pieceOf(version, piece));
        });
        return nullptr;
    }

private:
    void later(std::function<void()> function)
    {
        m_calls.push_back(m_scheduler.after(std::chrono::milliseconds(5), std::move(function)));
    }

    Scheduler &m_scheduler;
    std::vector<std::unique_ptr<Timer>> m_calls;
};

/// Transport of a host whose peers hold nothing; it keeps what they are sent.
class NoPeers : public PeerTransport
{
public:
    std::map<UploadId, ChunkBytes> served;
    std::map<UploadId, ResultCode> refused;

    std::shared_ptr<CallHandle> fetch(const HostId &, const Digest &, std::uint32_t,
                                      std::function<void()>, Completion<std::string> done) override
    {
        done(Error{ResultCode::NotSent, "no peers"});
        return nullptr;
    }
    void announce(const HostId &, const HaveUpdate &) override {}
    void serve(const ServeChunk &chunk, std::function<void(bool)> ended) override
    {
        served[chunk.upload] = chunk.bytes;
        ended(true);
    }
    void refuse(UploadId upload, ResultCode code) override { refused[upload] = code; }
};

} // namespace godwit
