#pragma once

#include "controlevents.h"
#include "controlio.h"

#include <godwit/control/configurationspread.h>
#include <godwit/control/membership.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace godwit {

/// Membership and configuration of one process: carries out the actions of Membership and
/// ConfigurationDissemination. Used on the control thread only.
class ClusterAgent
{
public:
    struct Listener
    {
        std::function<void(std::shared_ptr<const Configuration>)> onConfiguration;
        std::function<void(const Member &, bool replaced)> onMember;
    };

    ClusterAgent(const DaemonSettings &settings, ControlIo &io, Listener listener);

    void start(TimePoint now);
    void tick(TimePoint now);
    void handle(GossipArrived event, TimePoint now);
    void handle(const ConfigurationPushArrived &event, TimePoint now);
    void handle(const ConfigurationPullArrived &event, TimePoint now);

    /// Applies a configuration that a writer of this process has read or written.
    void onConfigurationStored(std::shared_ptr<const Configuration> configuration, TimePoint now);

    void recordTraffic(const HostId &host, TrafficEvidence evidence, TimePoint now);

    /// Announces to the cluster that this process leaves.
    void leave(TimePoint now);

    const Membership &membership() const { return m_membership; }
    const ConfigurationDissemination &dissemination() const { return m_dissemination; }

    /// Region of \a zone according to the settings; the name of the zone if it is not listed.
    RegionId regionOf(const ZoneId &zone) const;

    /// Peer endpoint of \a host, if the host is known.
    std::optional<Endpoint> endpointOf(const HostId &host) const;

private:
    void run(const std::vector<MembershipAction> &actions);
    void run(const std::vector<DisseminationAction> &actions);
    void execute(const SendGossip &action);
    void execute(const MemberChanged &action);
    void execute(const StartWatch &action);
    void execute(const StopWatch &action);
    void execute(const PublishConfiguration &action);
    void execute(const SendConfigurationPush &action);
    void execute(const SendConfigurationPull &action);
    void membersChanged(TimePoint now);
    void pollHostList(TimePoint now);
    void startWatch();
    void readDocument();
    void watchEnded();
    void documentRead(const Outcome<std::optional<KeyValueEntry>> &outcome);

    const DaemonSettings &m_settings;
    ControlIo &m_io;
    Listener m_listener;
    Membership m_membership;
    ConfigurationDissemination m_dissemination;
    bool m_membersDirty = false;
    bool m_hostListPending = false;
    TimePoint m_nextHostList;
    bool m_watching = false;
    bool m_watchActive = false;
    std::uint64_t m_watchGeneration = 0;
    TimePoint m_nextWatch;
    TimePoint m_nextVerification;
    bool m_readPending = false;
    std::shared_ptr<CallHandle> m_watch;
};

/// Parses the "IP:PORT" form of Member::address.
std::optional<Endpoint> parsePeerAddress(const std::string &address);

} // namespace godwit
