#include "fleetindex.h"
#include "listing.h"

#include <godwit/language/dryrun.h>

#include <algorithm>
#include <set>

namespace godwit {

namespace {

constexpr std::size_t MaxDifferenceLength = 200; // keeps a row within a few terminal lines

std::string truncated(std::string text)
{
    if (text.size() > MaxDifferenceLength) {
        text.resize(MaxDifferenceLength);
        text += "...";
    }
    return text;
}

/// Lists the fields that differ between two JSON objects as "name: old -> new".
std::string difference(const boost::json::value &before, const boost::json::value &after)
{
    if (!before.is_object() || !after.is_object())
        return boost::json::serialize(before) + " -> " + boost::json::serialize(after);
    std::string text;
    for (const auto &item : after.get_object()) {
        const auto *old = before.get_object().if_contains(item.key());
        if (old && *old == item.value())
            continue;
        text += (text.empty() ? "" : "; ") + std::string(item.key()) + ": ";
        text += difference(old ? *old : boost::json::value(), item.value());
    }
    return text;
}

/// Builds the result of a dry run by comparing the configuration with the next one.
class DryRunTable
{
public:
    DryRunTable(const FleetIndex &index, const Configuration &next)
        : m_index(index)
        , m_next(next)
    {}

    ReplyTable build() &&
    {
        const Configuration &current = m_index.configuration();
        compareMaps("deployment", current.deployments, m_next.deployments);
        compareMaps("model", current.models, m_next.models);
        compareMaps("adapter", current.adapters, m_next.adapters);
        compareMaps("order", current.orders, m_next.orders);
        compareMaps("backend", current.roles, m_next.roles);
        compareDrainedHosts();
        for (const auto &[id, order] : m_next.orders)
            addOrder(id, order);
        return std::move(m_table);
    }

private:
    void addRow(std::string change, std::string object, Cell host, Cell version, Cell bytes,
                Cell seconds, std::string detail)
    {
        m_table.rows.push_back({std::move(change), std::move(object), std::move(host),
                                std::move(version), std::move(bytes), std::move(seconds),
                                std::move(detail)});
    }

    void addChange(std::string change, std::string object, std::string detail)
    {
        addRow(std::move(change), std::move(object), {}, {}, {}, {}, truncated(std::move(detail)));
    }

    template <typename Map>
    void compareMaps(const std::string &kind, const Map &before, const Map &after)
    {
        for (const auto &[id, value] : after) {
            const auto it = before.find(id);
            if (it == before.end())
                addChange("create", kind + '/' + id.value(), toJsonText(value));
            else if (it->second != value)
                addChange("change", kind + '/' + id.value(),
                          difference(toJson(it->second), toJson(value)));
        }
        for (const auto &[id, value] : before) {
            if (!after.contains(id))
                addChange("remove", kind + '/' + id.value(), toJsonText(value));
        }
    }

    void compareDrainedHosts()
    {
        for (const HostId &host : m_next.drained) {
            if (!m_index.configuration().drained.contains(host))
                addChange("drain", "host/" + host.value(),
                          "receives no new requests and no placements");
        }
        for (const HostId &host : m_index.configuration().drained) {
            if (!m_next.drained.contains(host))
                addChange("return", "host/" + host.value(), "may receive requests and placements");
        }
    }

    void addOrder(const OperationId &id, const LoadOrder &order)
    {
        const auto before = m_index.configuration().orders.find(id);
        if (before != m_index.configuration().orders.end() && before->second == order)
            return;
        std::vector<HostId> loading;
        for (const HostId &host : order.hosts)
            addHost(id, order, host, loading);
        if (!loading.empty())
            addEstimate(id, order, loading);
    }

    void addHost(const OperationId &id, const LoadOrder &order, const HostId &host,
                 std::vector<HostId> &loading)
    {
        const std::string object = "order/" + id.value();
        const auto wanted = wantedVersion(order, host);
        if (!wanted) {
            addRow("unload", object, idCell(host), idCell(order.version), {}, {}, zoneText(host));
            return;
        }
        // A host whose rolling step has not begun loads the target version later.
        if (m_index.isReady(host, order, order.version))
            return;
        loading.push_back(host);
        addRow(*wanted == order.version ? "load" : "load_later", object, idCell(host),
               idCell(order.version), numberCell(bytesFor(order, host)), {}, zoneText(host));
    }

    std::string zoneText(const HostId &host) const { return "zone " + m_index.zone(host).value(); }

    /// Bytes transferred to \a host: the version and, for an adapter, its base version unless all
    /// engines serve that already.
    std::uint64_t bytesFor(const LoadOrder &order, const HostId &host) const
    {
        if (order.adapter.empty())
            return bytesOf(m_next.models, order.model, order.version);
        const auto adapter = m_next.adapters.find(order.adapter);
        if (adapter == m_next.adapters.end())
            return 0;
        const VersionId &base = adapter->second.baseVersion;
        LoadOrder baseOrder = order;
        baseOrder.adapter = AdapterId();
        const bool present = m_index.isReady(host, baseOrder, base);
        return bytesOf(m_next.adapters, order.adapter, order.version)
               + (present ? 0 : bytesOf(m_next.models, order.model, base));
    }

    template <typename Map>
    static std::uint64_t bytesOf(const Map &map, const typename Map::key_type &id,
                                 const VersionId &version)
    {
        const auto it = map.find(id);
        if (it == map.end())
            return 0;
        const auto found = it->second.versions.find(version);
        return found == it->second.versions.end() ? 0 : found->second.bytes;
    }

    void addEstimate(const OperationId &id, const LoadOrder &order,
                     const std::vector<HostId> &loading)
    {
        std::uint64_t total = 0;
        std::uint64_t largest = 0;
        std::set<RegionId> regions;
        for (const HostId &host : loading) {
            const std::uint64_t bytes = bytesFor(order, host);
            total += bytes;
            largest = std::max(largest, bytes);
            regions.insert(m_index.region(host));
        }
        const std::size_t hostsPerStep =
                order.state == OrderState::Rolling ? order.rollingStep : loading.size();
        const std::size_t steps = (loading.size() + hostsPerStep - 1) / hostsPerStep;
        const double seconds =
                transferSeconds(largest, regions.size()) * static_cast<double>(steps);
        addRow("estimate", "order/" + id.value(), {}, idCell(order.version), numberCell(total),
               seconds > 0 ? Cell(seconds) : Cell(),
               std::to_string(loading.size()) + " hosts in " + std::to_string(steps)
                       + " steps; lower bound, excluding load time in the engine");
    }

    double transferSeconds(std::uint64_t bytes, std::size_t regionCount) const
    {
        const LinkRates &links = m_index.view().links;
        const auto seconds = [bytes](std::uint64_t bitsPerSecond) {
            return bitsPerSecond == 0
                           ? 0.0
                           : 8.0 * static_cast<double>(bytes) / static_cast<double>(bitsPerSecond);
        };
        const double local = std::max(seconds(links.origin), seconds(links.download));
        return regionCount > 1 ? std::max(local, seconds(links.interRegion)) : local;
    }

    const FleetIndex &m_index;
    const Configuration &m_next;
    ReplyTable m_table{{"change", "object", "host", "version", "bytes", "seconds", "detail"}, {}};
};

} // namespace

Result<ReplyTable> dryRun(const FleetView &view, const Command &command,
                          const CommandContext &context)
{
    BOOST_LEAF_AUTO(next, applyCommand(*view.configuration, command, context));
    const FleetIndex index(view);
    return DryRunTable(index, next).build();
}

} // namespace godwit
