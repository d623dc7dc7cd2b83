#pragma once

#include <godwit/base/random.h>
#include <godwit/ports/scheduler.h>
#include <godwit/rollout/peertransport.h>
#include <godwit/rollout/weightoriginport.h>
#include <godwit/weights/participant.h>

#include <deque>
#include <memory>
#include <optional>
#include <vector>

namespace godwit {

/// Reads manifests from the origin or from peers, and serves them to peers. Not thread-safe.
///
/// The origin accepts a few connections and its link is as slow as that of a host, so only some
/// hosts read a manifest from it; the others get it from them (see manifestSource()).
class ManifestExchange
{
public:
    ManifestExchange(Participant self, Scheduler &scheduler, PeerTransport &peers);
    ~ManifestExchange();
    ManifestExchange(const ManifestExchange &) = delete;
    ManifestExchange &operator=(const ManifestExchange &) = delete;

    void setOrigin(std::shared_ptr<WeightOriginPort> origin) { m_origin = std::move(origin); }
    void setParticipants(std::vector<Participant> participants);

    /// Reads the manifest of \a version of \a model once. \a attempt counts the earlier failures
    /// and selects another source after each of them. An error from the origin is
    /// reported as it is; from a peer, as NotSent.
    void read(const ModelId &model, std::uint64_t version, std::uint32_t attempt,
              Completion<Manifest> done);

    /// Serves \a manifest to peers from now on, those that already wait for it included.
    void publish(const ModelId &model, std::uint64_t version,
                 std::shared_ptr<const Manifest> manifest);

    /// A peer requests a manifest. It is answered when the manifest is published.
    void onRequest(ManifestRequest request);

private:
    struct Published
    {
        ModelId model;
        std::uint64_t version = 0;
        std::shared_ptr<const Manifest> manifest;
    };
    struct Waiting
    {
        ManifestRequest request;
        TimePoint expiresAt;
    };

    /// Reads from the origin until two successive reads agree. A corrupt manifest would otherwise
    /// spread to all hosts that read it from this one.
    void readFromOrigin(const ModelId &model, std::uint64_t version, std::optional<Digest> previous,
                        Completion<Manifest> done);

    Participant m_self;
    Scheduler &m_scheduler;
    PeerTransport &m_peers;
    std::shared_ptr<WeightOriginPort> m_origin;
    std::vector<Participant> m_participants;
    std::deque<Published> m_published; ///< Oldest first.
    std::vector<Waiting> m_waiting;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace godwit
