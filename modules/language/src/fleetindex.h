#pragma once

#include <godwit/language/fleetview.h>

#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace godwit {

/// Lookup tables for a FleetView, which must outlive the index.
class FleetIndex
{
public:
    explicit FleetIndex(const FleetView &view);

    const FleetView &view() const { return m_view; }
    const Configuration &configuration() const { return *m_view.configuration; }

    /// Returns nullptr if no process on \a host is known.
    const MemberView *member(const HostId &host) const;
    ZoneId zone(const HostId &host) const;
    RegionId region(const HostId &host) const;

    const std::vector<const BackendView *> &backends(const HostId &host) const;
    const BackendView *backend(const BackendId &id) const;

    /// Engines of \a host that \a deployment may use. A load order applies to all of them.
    std::vector<const BackendView *> engines(const HostId &host,
                                             const DeploymentId &deployment) const;

    /// True if \a host has an engine for \a order and all of them serve \a version.
    bool isReady(const HostId &host, const LoadOrder &order, const VersionId &version) const;

    /// Returns an empty id if the model of \a load is not in the configuration.
    DeploymentId deploymentOf(const LoadView &load) const;

    /// The load order that assigns the model and adapter of \a load to \a host; empty if there is
    /// none.
    OperationId orderOf(const HostId &host, const LoadView &load) const;

private:
    const FleetView &m_view;
    std::map<HostId, const MemberView *> m_members;
    std::map<HostId, std::vector<const BackendView *>> m_backends;
};

/// Version that \a order assigns to \a host; nullopt if the order is cancelled or does not include
/// the host.
std::optional<VersionId> wantedVersion(const LoadOrder &order, const HostId &host);

/// The load on \a backend of \a version of the model and adapter of \a order, or nullptr.
const LoadView *findLoad(const BackendView &backend, const LoadOrder &order,
                         const VersionId &version);

/// True if \a backend serves \a version of the model and adapter of \a order.
bool serves(const BackendView &backend, const LoadOrder &order, const VersionId &version);

/// JSON name of an enum value.
template <typename Enum>
std::string nameOf(Enum value)
{
    for (const auto &[candidate, name] : JsonNames<Enum>::table) {
        if (candidate == value)
            return std::string(name);
    }
    return {};
}

/// Formats a UTC time such as 2026-12-04T03:20:09Z; times outside the years 1970 to 9999 as the
/// plain number.
std::string utcTime(std::int64_t millisecondsSince1970);

} // namespace godwit
