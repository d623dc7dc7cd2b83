#pragma once

#include <godwit/base/random.h>
#include <godwit/base/time.h>
#include <godwit/control/hostlisting.h>
#include <godwit/control/membershipaction.h>
#include <godwit/control/placementhost.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace godwit {

/// What live traffic says about a member.
enum class TrafficEvidence {
    Heard,  ///< A frame arrived.
    Silent, ///< The heartbeat timeout of the session passed, or a connection failed.
};

/// Membership of one process: probes, indirect probes, suspicion that the suspect can refute, and
/// updates that ride on every message.
///
/// The cost per member is constant: one probe per period, a bounded number of updates per message
/// and a comparison of bucket hashes at a low rate. Views of two processes may differ for some
/// seconds; nothing in the configuration or in the author records depends on their agreement.
class Membership
{
public:
    struct Settings
    {
        Duration probePeriod = std::chrono::seconds(1);
        /// Several round trips between the most distant zones (20 ms).
        Duration ackTimeout = std::chrono::milliseconds(300);
        /// For the answers of the indirect probes; a suspect of silent traffic is unusable at once.
        Duration indirectTimeout = std::chrono::milliseconds(400);
        std::size_t indirectProbes = 3;
        /// The suspect is told by the next probe and has several probes to refute.
        Duration suspicion = std::chrono::milliseconds(2500);
        Duration suspectProbePeriod = std::chrono::milliseconds(500);
        std::size_t maxUpdates = 8;       ///< Updates per message.
        std::uint32_t transmitFactor = 2; ///< Each update is sent this times log2(members) times.
        Duration syncPeriod = std::chrono::seconds(30); ///< Anti-entropy; jittered by half.
        Duration firstSyncDelay = std::chrono::seconds(3);
        Duration rejoinPeriod = std::chrono::seconds(5);   ///< Probe of one dead member; jittered.
        Duration deadRetention = std::chrono::minutes(30); ///< Longer than partitions of minutes.
        Duration recentTrafficWindow =
                std::chrono::milliseconds(1500); ///< Traffic that outweighs suspicion.
        /// A process that was not scheduled for so long does not judge others by its timers.
        Duration pauseLimit = std::chrono::seconds(1);
        /// Members that come back together become usable at this interval on average.
        Duration recoveryInterval = std::chrono::milliseconds(250);
        Duration maxRecoveryDelay = std::chrono::seconds(30);
        double flapLimit = 3; ///< Recent returns above which a member is held back.
        Duration flapHalfLife = std::chrono::seconds(60);
        Duration flapHoldDown = std::chrono::seconds(10);
        Duration maxFlapHoldDown = std::chrono::seconds(120);
    };

    Membership(Member self, Settings settings, Random random);

    /// Starts probing and greets \a seeds (addresses).
    std::vector<MembershipAction> start(TimePoint now, const std::vector<std::string> &seeds);

    std::vector<MembershipAction> onMessage(TimePoint now, const GossipMessage &message);

    /// Hosts that are listed and unknown are probed; those listed as leaving are marked. Absence
    /// from the list is no evidence, since the list lags.
    std::vector<MembershipAction> onHostList(TimePoint now, const std::vector<HostListing> &list);

    std::vector<MembershipAction> onTraffic(TimePoint now, const HostId &host,
                                            TrafficEvidence evidence);

    /// Announces that this process leaves, at once to all members with recent traffic.
    std::vector<MembershipAction> leave(TimePoint now);

    std::vector<MembershipAction> onTimer(TimePoint now);
    TimePoint nextTimer() const;

    /// True if new work may be sent to \a host: alive, not held back, and its traffic not silent.
    bool isUsable(TimePoint now, const HostId &host) const;

    const Member *find(const HostId &host) const;
    const Member &self() const { return m_self; }

    /// Incarnation at the start of this process. Unlike that of self(), it does not change when the
    /// process refutes a suspicion, so it can tell the process from others at the same machine.
    Incarnation startIncarnation() const { return m_startIncarnation; }

    /// Members that are alive or suspect, including this process unless it leaves.
    std::vector<PlacementHost> live() const;

    /// As live(), of one role.
    std::vector<PlacementHost> live(ProcessRole role) const;

    /// All members that are known, dead ones included, and this process.
    std::vector<Member> all() const;

    /// All members that are known, dead ones included, and this process.
    std::size_t known() const { return m_members.size() + 1; }

private:
    using Actions = std::vector<MembershipAction>;

    struct Entry
    {
        Member member;
        std::optional<TimePoint> suspectUntil;
        TimePoint nextSuspectProbe;
        bool suspectedHere = false;
        std::optional<TimePoint> deadSince;
        std::optional<TimePoint> lastHeard;
        std::optional<TimePoint> silentSince;
        TimePoint usableAt;
        double flapPenalty = 0;
        TimePoint flapPenaltyAt;
    };

    struct QueuedUpdate
    {
        HostId host;
        std::size_t remainingTransmits; ///< Left for the update about it.
    };

    struct Probe
    {
        HostId target;
        std::uint64_t sequence;
        TimePoint deadline;
        bool indirect = false;
    };

    struct Relay
    {
        std::string origin;
        std::uint64_t originSequence;
        TimePoint deadline;
    };

    GossipMessage makeMessage(GossipKind kind, const HostId &to);
    void send(Actions &actions, const std::string &address, GossipMessage message);
    void merge(TimePoint now, const Member &update, Actions &actions);
    void mergeSelf(const Member &update);
    void addMember(TimePoint now, const Member &update, Actions &actions);
    void replaceAtAddress(TimePoint now, const Member &update, Actions &actions);
    void recordRecovery(TimePoint now, Entry &entry);
    void setStatus(TimePoint now, Entry &entry, MemberStatus status);
    void queueUpdate(const Entry &entry);
    std::size_t transmitLimit() const;
    void startProbe(TimePoint now, const HostId &target, Actions &actions);
    void probeNext(TimePoint now, Actions &actions);
    void onProbeTimeout(TimePoint now, const Probe &probe, Actions &actions);
    void sendIndirectProbes(TimePoint now, Entry &target, Actions &actions);
    void checkProbes(TimePoint now, Actions &actions);
    void checkSuspects(TimePoint now, Actions &actions);
    void maintainDeadMembers(TimePoint now, Actions &actions);
    void shiftTimers(Duration gap);
    void onAck(TimePoint now, const GossipMessage &message, Actions &actions);
    void onSyncRequest(const GossipMessage &message, Actions &actions);
    void onSyncReply(const GossipMessage &message, Actions &actions);
    void startSync(Actions &actions);
    std::vector<std::uint64_t> bucketHashes() const;
    std::vector<Member> membersOf(const std::vector<std::uint32_t> &buckets) const;
    std::vector<HostId> randomMembers(std::size_t count, const HostId &except);
    TimePoint jittered(TimePoint now, Duration period);

    Member m_self;
    Incarnation m_startIncarnation; ///< Before any refutation.
    Settings m_settings;
    Random m_random;
    std::map<HostId, Entry> m_members; ///< Without this process.
    std::map<std::string, HostId> m_byAddress;
    std::vector<QueuedUpdate> m_updateQueue; ///< Updates left to send.
    std::vector<HostId> m_probeRound;        ///< Shuffled targets of the current round.
    std::vector<Probe> m_probes;
    std::map<std::uint64_t, Relay> m_relays;
    std::vector<HostId> m_suspects;
    std::uint64_t m_sequence = 0;
    std::vector<std::string> m_seeds;
    TimePoint m_lastTimer;
    TimePoint m_nextProbe;
    TimePoint m_nextSync;
    TimePoint m_nextRejoin;
    std::vector<TimePoint> m_recoveries; ///< Recent returns, oldest first.
    bool m_joined = false;               ///< The whole table has been received once.
};

} // namespace godwit
