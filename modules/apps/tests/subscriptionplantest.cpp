#include "subscriptionplan.h"

#include <catch2/catch.hpp>

using namespace godwit;
using namespace std::chrono_literals;

namespace {

const DeploymentId Assistant("assistant");
const DeploymentId Booking("booking");
const EngineGroup Grain{Assistant, ModelId("grain"), AdapterId()};

HostId hostName(std::size_t i)
{
    return HostId("h" + std::to_string(i));
}

/// A fleet with one load order for a model, as observed by one of its entry processes.
struct Fleet
{
    SubscriptionPlan plan{HostId("entry-0"), 32};
    std::vector<SubscriptionPlan::Host> hosts;
    std::shared_ptr<Configuration> configuration = std::make_shared<Configuration>();
    std::size_t enginesPerHost = 1;
    TimePoint now{1s};

    Fleet(std::size_t size, std::size_t enginesEach, std::size_t entries)
        : enginesPerHost(enginesEach)
    {
        LoadOrder order;
        order.deployment = Assistant;
        order.model = Grain.model;
        order.version = VersionId("v1");
        for (std::size_t i = 0; i < size; ++i) {
            hosts.push_back({hostName(i), {1}, true});
            order.hosts.push_back(hostName(i));
        }
        configuration->deployments[Assistant] = {};
        configuration->orders[OperationId("o")] = order;
        std::vector<HostId> names;
        for (std::size_t i = 0; i < entries; ++i)
            names.emplace_back("entry-" + std::to_string(i));
        plan.setEntries(names);
        plan.setConfiguration(configuration);
        plan.setHosts(hosts);
    }

    HostReport reportOf(const HostId &host) const
    {
        HostReport report;
        report.host = host;
        report.incarnation = {1};
        for (std::size_t i = 0; i < enginesPerHost; ++i)
            report.backends.emplace_back().backend =
                    BackendId(host.value() + '-' + std::to_string(i));
        return report;
    }

    void reportService(const HostId &host)
    {
        HostReport report = reportOf(host);
        report.backends.emplace_back().plain = true;
        report.backends.back().deployment = Booking;
        plan.onReport(report, now);
    }

    /// Delivers reports of all subscribed hosts until the subscriptions are stable. Returns the
    /// largest number of subscriptions that occurred.
    std::size_t settle()
    {
        std::size_t maxCount = 0;
        std::set<HostId> reported;
        for (bool isNew = true; isNew;) {
            isNew = false;
            const std::set<HostId> subscriptions = plan.subscriptions(now);
            maxCount = std::max(maxCount, subscriptions.size());
            for (const HostId &host : subscriptions) {
                if (reported.insert(host).second) {
                    plan.onReport(reportOf(host), now);
                    isNew = true;
                }
            }
            now += 10ms;
        }
        return maxCount;
    }

    std::size_t count() { return plan.subscriptions(now).size(); }
    bool wants(const HostId &host) { return plan.subscriptions(now).contains(host); }
};

} // namespace

// Guards against a number of report streams that grows with the fleet.
TEST_CASE("Subscriptions stay bounded when the fleet grows")
{
    SECTION("all hosts of a small fleet are used")
    {
        Fleet fleet(24, 1, 3);
        fleet.settle();
        CHECK(fleet.count() == 24);
    }
    SECTION("with one engine beside each host")
    {
        const std::size_t size = GENERATE(64U, 370U, 1000U);
        Fleet fleet(size, 1, size / 32);
        const std::size_t maxCount = fleet.settle();
        CHECK(fleet.count() >= 32);
        CHECK(fleet.count() <= 64);
        CHECK(maxCount <= 64 + SubscriptionPlan::MaxDiscoveries);
    }
    SECTION("with ten engines beside each host, as in the target size")
    {
        const std::size_t size = GENERATE(37U, 380U);
        Fleet fleet(size, 10, size * 10 / 32);
        fleet.settle();
        // The subset counts engines, not hosts.
        CHECK(fleet.count() >= 4);
        CHECK(fleet.count() <= 8);
    }
    SECTION("with few entry processes, each of which many hosts select")
    {
        Fleet fleet(380, 10, 2);
        fleet.settle();
        CHECK(fleet.count() <= 8);
    }
}

// Guards against an entry process that serves nothing because all hosts of its subset are lost.
TEST_CASE("Hosts outside the subset take over")
{
    Fleet fleet(100, 10, 31);
    fleet.settle();
    const std::set<HostId> first = fleet.plan.subscriptions(fleet.now);

    SECTION("when the subset fails or leaves")
    {
        SECTION("according to the membership")
        {
            for (auto &host : fleet.hosts)
                host.usable = !first.contains(host.id);
            fleet.plan.setHosts(fleet.hosts);
        }
        SECTION("according to the hosts' reports")
        {
            for (const HostId &host : first) {
                HostReport report = fleet.reportOf(host);
                report.leaving = true;
                fleet.plan.onReport(report, fleet.now);
            }
        }
        SECTION("by an operator's drain")
        {
            auto drained = std::make_shared<Configuration>(*fleet.configuration);
            drained->drained.insert(first.begin(), first.end());
            fleet.plan.setConfiguration(drained);
        }
        fleet.settle();
        std::size_t others = 0;
        for (const HostId &host : fleet.plan.subscriptions(fleet.now))
            others += first.contains(host) ? 0 : 1;
        CHECK(others >= 4);
    }

    // Guards against streams that stay open to hosts that get no requests.
    SECTION("and hosts that leave are not subscribed to")
    {
        for (const HostId &host : first) {
            HostReport report = fleet.reportOf(host);
            report.leaving = true;
            fleet.plan.onReport(report, fleet.now);
        }
        for (const HostId &host : first)
            CHECK_FALSE(fleet.wants(host));
    }

    SECTION("when none of the subset may run a request, and only as long as requests need them")
    {
        fleet.plan.onEnginesNeeded(Grain, fleet.now);
        const std::size_t widened = fleet.count();
        CHECK(widened > first.size());
        CHECK(widened <= 2 * std::max<std::size_t>(first.size(), 4));
        // Many requests that fail at the same time add hosts only once.
        fleet.plan.onEnginesNeeded(Grain, fleet.now + 10ms);
        CHECK(fleet.count() == widened);
        fleet.plan.onEnginesNeeded(Grain, fleet.now + SubscriptionPlan::ExtraHostsInterval);
        CHECK(fleet.count() > widened);
        fleet.now +=
                SubscriptionPlan::ExtraHostsInterval + SubscriptionPlan::ExtraHostsRetention + 1s;
        CHECK(fleet.plan.subscriptions(fleet.now) == first);
    }

    // Guards against streams to all hosts from each entry process while a model is loaded nowhere.
    SECTION("in turn, if none serves the model yet")
    {
        std::set<HostId> tried;
        for (int i = 0; i < 10; ++i) {
            fleet.plan.onEnginesNeeded(Grain, fleet.now);
            const std::set<HostId> subscriptions = fleet.plan.subscriptions(fleet.now);
            CHECK(subscriptions.size() <= first.size() + SubscriptionPlan::MaxExtraHosts);
            tried.insert(subscriptions.begin(), subscriptions.end());
            fleet.now += SubscriptionPlan::ExtraHostsInterval;
        }
        CHECK(tried.size() == 100);
    }

    SECTION("but not for a model that no order names")
    {
        fleet.plan.onEnginesNeeded({Assistant, ModelId("other"), AdapterId()}, fleet.now);
        CHECK(fleet.plan.subscriptions(fleet.now) == first);
    }
}

// Guards against requests that cannot reach the owner of their slot.
TEST_CASE("Hosts of plain services are subscribed to")
{
    Fleet fleet(100, 10, 31);
    fleet.settle();
    std::vector<HostId> others;
    for (const auto &host : fleet.hosts) {
        if (!fleet.wants(host.id))
            others.push_back(host.id);
    }
    fleet.configuration->deployments[Booking].options.kind = DeploymentKind::Service;
    fleet.plan.setConfiguration(fleet.configuration);

    SECTION("if their report shows the service")
    {
        fleet.reportService(others[0]);
        CHECK(fleet.wants(others[0]));
        CHECK_FALSE(fleet.wants(others[1]));
    }
    SECTION("if the deployment allows them, before they report")
    {
        fleet.configuration->deployments[Booking].allowedHosts.insert(others[0]);
        fleet.plan.setConfiguration(fleet.configuration);
        CHECK(fleet.wants(others[0]));
    }
    SECTION("if they own a slot or succeed its owner")
    {
        HostReport report = fleet.reportOf(others[5]);
        SlotEntry slot;
        slot.journal.host = others[0];
        slot.successors = {others[1], others[2]};
        report.slots[Booking].slots = {slot};
        fleet.plan.onReport(report, fleet.now);
        for (std::size_t i = 0; i < 3; ++i)
            CHECK(fleet.wants(others[i]));
        CHECK_FALSE(fleet.wants(others[3]));
    }
}

TEST_CASE("Hosts are subscribed to for a purpose")
{
    Fleet fleet(100, 10, 31);

    // Guards against a version change that stalls because its author gets no reports of its hosts.
    SECTION("hosts of a version change that this process supervises")
    {
        fleet.settle();
        fleet.plan.setSupervised({hostName(0), hostName(1), HostId("unknown")});
        CHECK(fleet.wants(hostName(0)));
        CHECK(fleet.wants(hostName(1)));
        CHECK_FALSE(fleet.wants(HostId("unknown")));
    }

    // Guards against answers to operators that are based on stale reports.
    SECTION("all hosts for some time after a query")
    {
        fleet.settle();
        fleet.now += 60s;
        fleet.plan.onOperatorQuery(fleet.now);
        CHECK_FALSE(fleet.plan.isComplete());
        CHECK(fleet.count() == 100);
        fleet.settle();
        CHECK(fleet.plan.isComplete());
        fleet.now += SubscriptionPlan::QuerySubscriptionPeriod + 1s;
        CHECK(fleet.count() < 20);
    }

    // Guards against hosts that are never discovered because others do not respond.
    SECTION("unknown hosts until their first report, even if some do not respond")
    {
        fleet.plan.setConfiguration(std::make_shared<Configuration>());
        const std::set<HostId> silent = fleet.plan.subscriptions(fleet.now);
        CHECK(silent.size() == SubscriptionPlan::MaxDiscoveries);
        fleet.now += SubscriptionPlan::DiscoveryTimeout;
        const std::set<HostId> next = fleet.plan.subscriptions(fleet.now);
        CHECK(next.size() == SubscriptionPlan::MaxDiscoveries);
        for (const HostId &host : next)
            CHECK_FALSE(silent.contains(host));
    }

    // Guards against a host that is never used again after a partition, because only traffic from
    // it makes it usable.
    SECTION("a host that stopped responding until its traffic is received again")
    {
        fleet.settle();
        fleet.hosts[0].usable = false;
        fleet.plan.setHosts(fleet.hosts);
        CHECK(fleet.wants(hostName(0)));
        fleet.now += SubscriptionPlan::DiscoveryTimeout;
        CHECK_FALSE(fleet.wants(hostName(0)));
        fleet.now += SubscriptionPlan::DiscoveryRetryInterval - SubscriptionPlan::DiscoveryTimeout;
        CHECK(fleet.wants(hostName(0)));
    }

    SECTION("a host that was replaced until its first report")
    {
        fleet.settle();
        for (auto &host : fleet.hosts)
            host.incarnation = {2};
        fleet.plan.setHosts(fleet.hosts);
        CHECK(fleet.count() >= SubscriptionPlan::MaxDiscoveries);
    }
}
