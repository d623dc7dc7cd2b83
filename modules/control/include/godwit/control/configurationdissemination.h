#pragma once

#include <godwit/base/random.h>
#include <godwit/base/time.h>
#include <godwit/control/configurationstatus.h>
#include <godwit/control/disseminationaction.h>
#include <godwit/control/placementhost.h>
#include <godwit/control/staleness.h>
#include <godwit/control/storagereply.h>

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace godwit {

/// Dissemination of the configuration document in one process.
///
/// In each zone the live member with the highest rendezvous rank holds the watch. A new revision is
/// pushed to a few members as a delta and repaired by pulls when a newer revision is heard of.
/// Only documents that are stored enter the spread, so that every received document is confirmed.
/// The applied and the confirmed revision never go back, and only whole documents are published.
class ConfigurationDissemination
{
public:
    struct Settings
    {
        std::size_t fanOut = 3;          ///< One of them anywhere, the others in the own zone.
        std::size_t maxPushBytes = 8192; ///< Larger deltas are announced and pulled once.
        std::size_t maxHistory = 64;     ///< Deltas kept for pulls.
        std::size_t maxHistoryBytes = 262144;
        Duration pullDelay = std::chrono::milliseconds(200); ///< Pushes arrive meanwhile; jittered.
        Duration pullTimeout = std::chrono::seconds(1);
        Duration startTimeout = std::chrono::seconds(1); ///< For the answers of the first peers.
        std::size_t startPeers = 3;
        /// A watch gives a proof every 5 s, and gossip takes up to 10 s to carry it to 930 members.
        Duration staleAfter = std::chrono::seconds(20);
        /// A claim further ahead than this is garbage; it is 70 days of changes at the target size.
        std::uint64_t maxRevisionJump = 1'000'000;
    };

    ConfigurationDissemination(HostId self, ZoneId zone, Settings settings, Random random);

    /// \a live are the live members including this process; \a known counts all that are known,
    /// dead ones included.
    std::vector<DisseminationAction> onMembers(TimePoint now, std::vector<PlacementHost> live,
                                               std::size_t known);

    /// A value from the watch, a proof of no change (the stored revision of the last value and an
    /// empty value), or a failure.
    std::vector<DisseminationAction> onWatch(TimePoint now, const StorageReply &reply);

    /// A document that a writer of this process has read or written.
    std::vector<DisseminationAction> onStored(TimePoint now,
                                              std::shared_ptr<const Configuration> configuration);

    std::vector<DisseminationAction> onGossip(TimePoint now, const HostId &from,
                                              const ConfigurationGossip &gossip);
    std::vector<DisseminationAction> onPush(TimePoint now, const HostId &from,
                                            const ConfigurationPush &push);
    std::vector<DisseminationAction> onPull(TimePoint now, const HostId &from,
                                            const ConfigurationPull &pull);
    std::vector<DisseminationAction> onTimer(TimePoint now);

    /// When onTimer() is due, if at all.
    std::optional<TimePoint> nextTimer() const;

    /// For the next probe or ack.
    ConfigurationGossip gossip(TimePoint now) const;

    Staleness staleness(TimePoint now) const;
    ConfigurationStatus status(TimePoint now) const;

    bool isWatching() const { return m_watching; }
    Revision applied() const { return m_current ? m_current->revision : Revision{}; }
    Revision confirmed() const { return m_confirmed; }

    /// The document in effect, or null.
    const std::shared_ptr<const Configuration> &current() const { return m_current; }

    /// Documents from the service or from peers that were refused, and the reason of the last one.
    std::uint64_t rejectedDocuments() const { return m_rejected; }
    const Error &lastRejection() const { return m_lastRejection; }

private:
    using Actions = std::vector<DisseminationAction>;

    bool isPlausible(Revision revision) const;
    void reject(Error error);
    void recordProof(TimePoint at);
    /// A document and, if it came as deltas on m_current, these and its JSON value.
    struct ReceivedDocument
    {
        std::shared_ptr<const Configuration> document;
        std::vector<ConfigurationDelta> deltas;
        boost::json::value json;
    };

    ReceivedDocument decodePush(const ConfigurationPush &push);
    void applyDocument(ReceivedDocument received, const HostId &from, Actions &actions);
    void appendToHistory(ConfigurationDelta delta);
    void push(const HostId &from, const ConfigurationDelta *delta, Actions &actions);
    const ConfigurationDelta *updateHistory(ReceivedDocument &received);
    void schedulePull(TimePoint now, Revision revision, const HostId &from);
    void sendPull(TimePoint now, Actions &actions);
    void finishStart(Actions &actions);
    void startPulls(TimePoint now, Actions &actions);
    std::vector<HostId> pushTargets(const HostId &except);

    HostId m_self;
    ZoneId m_zone;
    Settings m_settings;
    Random m_random;
    std::vector<PlacementHost> m_live;
    std::size_t m_known = 0;
    bool m_watching = false;
    std::shared_ptr<const Configuration> m_current;
    boost::json::value m_json; ///< m_current as JSON, for deltas.
    Revision m_confirmed;
    std::deque<ConfigurationDelta> m_history; ///< A chain that ends at m_current.
    std::deque<std::size_t> m_historyBytes;
    std::size_t m_historyTotal = 0;

    bool m_starting = true;
    std::optional<TimePoint> m_startDeadline;
    std::uint32_t m_peersAsked = 0;
    std::uint32_t m_peersAnswered = 0;
    std::shared_ptr<const Configuration> m_candidate; ///< Newest document of the first peers.

    Revision m_pullRevision;
    std::vector<HostId> m_pullSources; ///< Members that have m_pullRevision, latest last.
    std::optional<TimePoint> m_nextPull;

    std::optional<TimePoint> m_lastProof; ///< Last proof by the service, at any process.
    bool m_provedSinceStart = false;
    std::uint64_t m_watchedStoredRevision =
            0; ///< Stored revision of the last value from the watch.
    std::uint64_t m_rejected = 0;
    Error m_lastRejection;
};

} // namespace godwit
