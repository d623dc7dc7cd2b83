#include "manifestexchange.h"

#include "manifestsource.h"

#include <algorithm>

namespace godwit {

namespace {

/// Manifests that are kept for peers: those of the wanted version and of earlier ones that new
/// hosts may still load.
constexpr std::size_t MaxPublished = 4;
constexpr std::size_t MaxWaiting = 64;
/// Longer than a peer waits for its answer.
constexpr Duration MaxWaitingTime = std::chrono::seconds(2);

std::string manifestKey(const ModelId &model, std::uint64_t version)
{
    return model.value() + '/' + std::to_string(version);
}

} // namespace

ManifestExchange::ManifestExchange(Participant self, Scheduler &scheduler, PeerTransport &peers)
    : m_self(std::move(self))
    , m_scheduler(scheduler)
    , m_peers(peers)
{}

ManifestExchange::~ManifestExchange() = default;

void ManifestExchange::setParticipants(std::vector<Participant> participants)
{
    m_participants = std::move(participants);
}

void ManifestExchange::read(const ModelId &model, std::uint64_t version, std::uint32_t attempt,
                            Completion<Manifest> done)
{
    const auto source =
            manifestSource(m_participants, m_self, manifestKey(model, version), attempt);
    if (!source) {
        readFromOrigin(model, version, std::nullopt, std::move(done));
        return;
    }
    m_peers.fetchManifest(*source, model, version,
                          [done = std::move(done)](const Outcome<Manifest> &outcome) {
                              if (const auto *error = std::get_if<Error>(&outcome))
                                  done(Error{ResultCode::NotSent, error->detail});
                              else
                                  done(std::get<0>(outcome));
                          });
}

void ManifestExchange::readFromOrigin(const ModelId &model, std::uint64_t version,
                                      std::optional<Digest> previous, Completion<Manifest> done)
{
    m_origin->readManifest(model, version,
                           [this, alive = std::weak_ptr(m_alive), model, version, previous,
                            done = std::move(done)](const Outcome<Manifest> &outcome) {
                               if (alive.expired())
                                   return;
                               const auto *manifest = std::get_if<Manifest>(&outcome);
                               if (!manifest || manifest->digest() == previous)
                                   done(outcome);
                               else
                                   readFromOrigin(model, version, manifest->digest(), done);
                           });
}

void ManifestExchange::publish(const ModelId &model, std::uint64_t version,
                               std::shared_ptr<const Manifest> manifest)
{
    std::erase_if(m_published,
                  [&](const Published &it) { return it.model == model && it.version == version; });
    m_published.push_back({model, version, manifest});
    if (m_published.size() > MaxPublished)
        m_published.pop_front();
    std::vector<Waiting> waiting = std::exchange(m_waiting, {});
    for (Waiting &it : waiting) {
        if (it.request.model == model && it.request.version == version)
            it.request.reply(manifest);
        else
            m_waiting.push_back(std::move(it));
    }
}

void ManifestExchange::onRequest(ManifestRequest request)
{
    const auto known = std::ranges::find_if(m_published, [&](const Published &it) {
        return it.model == request.model && it.version == request.version;
    });
    if (known != m_published.end()) {
        request.reply(known->manifest);
        return;
    }
    const TimePoint now = m_scheduler.now();
    std::erase_if(m_waiting, [now](const Waiting &it) { return it.expiresAt <= now; });
    if (m_waiting.size() >= MaxWaiting) {
        request.reply(nullptr);
        return;
    }
    m_waiting.push_back({std::move(request), now + MaxWaitingTime});
}

} // namespace godwit
