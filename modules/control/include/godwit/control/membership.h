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

/// Observation about a member from request traffic.
enum class TrafficEvidence {
    Heard,  ///< A frame was received.
    Silent, ///< The heartbeat of the session timed out, or a connection failed.
};

/// Member table and failure detector of one process, in the manner of SWIM: probes, indirect
/// probes, suspicion that the suspect can refute, and updates that are piggybacked on every
/// message.
///
/// The cost per member is constant: one probe per period, a bounded number of updates per message
/// and a comparison of bucket hashes at a low rate. The tables of two processes may differ for some
/// seconds; neither the configuration nor the author records depend on their agreement.
class Membership
{
public:
    struct Settings
    {
        Duration probePeriod = std::chrono::seconds(1);
        /// Several times the round trip between the most distant zones (20 ms).
        Duration ackTimeout = std::chrono::milliseconds(300);
        /// Time to wait for the replies to indirect probes. It does not delay routing, since a
        /// member whose traffic is silent is unusable at once.
        Duration indirectTimeout = std::chrono::milliseconds(400);
        std::size_t indirectProbes = 3;
        /// Long enough for the suspect to learn of the suspicion by the next probe and to refute it
        /// in reply to one of several probes.
        Duration suspicion = std::chrono::milliseconds(2500);
        Duration suspectProbePeriod = std::chrono::milliseconds(500);
        std::size_t maxUpdates = 8; ///< Updates per message.
        /// Each update is sent this factor times log2(members) times.
        std::uint32_t transmitFactor = 2;
        /// Period of anti-entropy, with a jitter of half the period.
        Duration syncPeriod = std::chrono::seconds(30);
        Duration firstSyncDelay = std::chrono::seconds(3);
        /// Period of the probe of one dead member, with jitter.
        Duration rejoinPeriod = std::chrono::seconds(5);
        /// Longer than partitions, which last minutes.
        Duration deadRetention = std::chrono::minutes(30);
        /// Traffic within this time outweighs a suspicion.
        Duration recentTrafficWindow = std::chrono::milliseconds(1500);
        /// A process that was paused for longer than this discards its running probes and extends
        /// its suspicions, because its timers say nothing about other members.
        Duration pauseLimit = std::chrono::seconds(1);
        /// Average interval at which members that recover together become usable.
        Duration recoveryInterval = std::chrono::milliseconds(250);
        Duration maxRecoveryDelay = std::chrono::seconds(30);
        /// Number of recent recoveries above which a member is put into hold-down.
        double flapLimit = 3;
        Duration flapHalfLife = std::chrono::seconds(60);
        Duration flapHoldDown = std::chrono::seconds(10);
        Duration maxFlapHoldDown = std::chrono::seconds(120);
    };

    Membership(Member self, Settings settings, Random random);

    /// Starts probing and sends a probe to each address in \a seeds.
    std::vector<MembershipAction> start(TimePoint now, const std::vector<std::string> &seeds);

    std::vector<MembershipAction> onMessage(TimePoint now, const GossipMessage &message);

    /// Probes listed hosts that are unknown and marks those that are listed as leaving. Absence
    /// from the list is ignored, since the list may be out of date.
    std::vector<MembershipAction> onHostList(TimePoint now, const std::vector<HostListing> &list);

    std::vector<MembershipAction> onTraffic(TimePoint now, const HostId &host,
                                            TrafficEvidence evidence);

    /// Announces that this process is leaving, directly to all members with recent traffic and to
    /// some others.
    std::vector<MembershipAction> leave(TimePoint now);

    std::vector<MembershipAction> onTimer(TimePoint now);
    TimePoint nextTimer() const;

    /// True if new requests may be sent to \a host: it is alive or has recent traffic, is not in
    /// hold-down, and its traffic is not silent.
    bool isUsable(TimePoint now, const HostId &host) const;

    const Member *find(const HostId &host) const;
    const Member &self() const { return m_self; }

    /// Incarnation at the start of this process. Unlike that of self(), it does not change when the
    /// process refutes a suspicion, so it identifies the process among others on the same host.
    Incarnation startIncarnation() const { return m_startIncarnation; }

    /// Members that are alive or suspect, including this process unless it is leaving.
    std::vector<HostLocation> live() const;

    /// As live(), restricted to one role.
    std::vector<HostLocation> live(ProcessRole role) const;

    /// All known members, including dead ones and this process.
    std::vector<Member> all() const;

    /// Number of members in all().
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
        /// Number of times that the update about the host is still to be sent.
        std::size_t remainingTransmits;
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
    Incarnation m_startIncarnation; ///< Incarnation before any refutation.
    Settings m_settings;
    Random m_random;
    std::map<HostId, Entry> m_members; ///< All known members except this process.
    std::map<std::string, HostId> m_byAddress;
    std::vector<QueuedUpdate> m_updateQueue; ///< Updates that are still to be sent.
    std::vector<HostId> m_probeRound; ///< Remaining probe targets of the current round, shuffled.
    std::vector<Probe> m_probes;
    std::map<std::uint64_t, Relay> m_relays;
    std::vector<HostId> m_suspects;
    std::uint64_t m_sequence = 0;
    std::vector<std::string> m_seeds;
    TimePoint m_lastTimer;
    TimePoint m_nextProbe;
    TimePoint m_nextSync;
    TimePoint m_nextRejoin;
    std::vector<TimePoint> m_recoveries; ///< Times of recent recoveries, oldest first.
    bool m_joined = false;               ///< The whole member table has been received once.
};

} // namespace godwit
