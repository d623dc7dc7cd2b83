#pragma once

#include <godwit/base/random.h>
#include <godwit/base/time.h>
#include <godwit/control/certainty.h>
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
/// In each zone the live member with the highest rendezvous rank watches the key-value service. A
/// new revision is pushed to a few members as a delta. A member that learns of a newer revision by
/// gossip pulls it. Only stored documents are disseminated, so every received document is
/// confirmed. The applied and the confirmed revision never decrease, and only whole documents are
/// published.
class ConfigurationDissemination
{
public:
    struct Settings
    {
        std::size_t fanOut = 3; ///< Push targets: one in any zone, the others in the own zone.
        /// Larger deltas are only announced, so that each member pulls them once.
        std::size_t maxPushBytes = 8192;
        std::size_t maxHistory = 64; ///< Deltas kept for pulls.
        std::size_t maxHistoryBytes = 262144;
        /// Upper limit of a random delay, in which a push may still arrive.
        Duration pullDelay = std::chrono::milliseconds(200);
        Duration pullTimeout = std::chrono::seconds(1);
        /// Time to wait for the replies of the first peers.
        Duration startTimeout = std::chrono::seconds(1);
        std::size_t startPeers = 3;
        /// A watch confirms the document every 5 s, and gossip takes up to 10 s to reach 930
        /// members.
        Duration staleAfter = std::chrono::seconds(20);
        /// Revisions further ahead than this are rejected as corrupt. It equals 70 days of changes
        /// at the target fleet size.
        std::uint64_t maxRevisionJump = 1'000'000;
    };

    ConfigurationDissemination(HostId self, ZoneId zone, Settings settings, Random random);

    /// \a live lists the live members including this process; \a known is the number of all known
    /// members, including dead ones.
    std::vector<DisseminationAction> onMembers(TimePoint now, std::vector<HostLocation> live,
                                               std::size_t known);

    /// Handles a result of the watch: a value, a confirmation that nothing has changed (the store
    /// revision of the last value with an empty value), or a failure.
    std::vector<DisseminationAction> onWatch(TimePoint now, const StorageReply &reply);

    /// Handles a document that a ConfigurationWriter of this process has read or written.
    std::vector<DisseminationAction> onStored(TimePoint now,
                                              std::shared_ptr<const Configuration> configuration);

    std::vector<DisseminationAction> onGossip(TimePoint now, const HostId &from,
                                              const ConfigurationGossip &gossip);
    std::vector<DisseminationAction> onPush(TimePoint now, const HostId &from,
                                            const ConfigurationPush &push);
    std::vector<DisseminationAction> onPull(TimePoint now, const HostId &from,
                                            const ConfigurationPull &pull);
    std::vector<DisseminationAction> onTimer(TimePoint now);

    /// Time at which onTimer() is due; empty if no timer is set.
    std::optional<TimePoint> nextTimer() const;

    /// State to attach to the next gossip message.
    ConfigurationGossip gossip(TimePoint now) const;

    Staleness staleness(TimePoint now) const;
    ConfigurationStatus status(TimePoint now) const;

    bool isWatching() const { return m_watching; }
    Revision applied() const { return m_current ? m_current->revision : Revision{}; }
    Revision confirmed() const { return m_confirmed; }

    /// Document in effect, or null.
    const std::shared_ptr<const Configuration> &current() const { return m_current; }

    /// Number of documents from the service or from peers that were rejected, and the reason of the
    /// last rejection.
    std::uint64_t rejectedDocuments() const { return m_rejected; }
    const Error &lastRejection() const { return m_lastRejection; }

private:
    using Actions = std::vector<DisseminationAction>;

    bool isPlausible(Revision revision) const;
    void reject(Error error);
    void recordProof(TimePoint at);
    /// A document. If it was received as deltas to m_current, also the deltas and its JSON value.
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
    std::vector<HostLocation> m_live;
    std::size_t m_known = 0;
    bool m_watching = false;
    std::shared_ptr<const Configuration> m_current;
    boost::json::value m_json; ///< m_current as JSON, the base of deltas.
    Revision m_confirmed;
    /// Consecutive deltas; the last one leads to m_current.
    std::deque<ConfigurationDelta> m_history;
    std::deque<std::size_t> m_historyBytes;
    std::size_t m_historyTotal = 0;

    bool m_starting = true;
    std::optional<TimePoint> m_startDeadline;
    std::uint32_t m_peersAsked = 0;
    std::uint32_t m_peersAnswered = 0;
    /// Newest document received from the first peers.
    std::shared_ptr<const Configuration> m_candidate;

    Revision m_pullRevision;
    /// Members that have m_pullRevision, the most recently heard last.
    std::vector<HostId> m_pullSources;
    std::optional<TimePoint> m_nextPull;

    /// Time at which the service last confirmed the newest revision to any process.
    std::optional<TimePoint> m_lastProof;
    bool m_provedSinceStart = false;
    /// Store revision of the last value from the watch.
    std::uint64_t m_watchedStoredRevision = 0;
    std::uint64_t m_rejected = 0;
    Error m_lastRejection;
};

} // namespace godwit
