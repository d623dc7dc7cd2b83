#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/json.h>
#include <godwit/base/result.h>
#include <godwit/control/adapter.h>
#include <godwit/control/deployment.h>
#include <godwit/control/loadorder.h>
#include <godwit/control/model.h>
#include <godwit/control/operationrecord.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace godwit {

/// Phases of a request that a backend server processes.
enum class BackendRole { Mixed, Prefill, Decode };

/// The configuration document, stored under `/godwit/config` and distributed to every process. It
/// is immutable: each command produces a new document with the next revision.
struct Configuration // NOLINT(clang-analyzer-core.uninitialized.Assign): false alarm in capture()
{
    /// Below the 1 MB limit for values of the key-value service, to leave room for its framing.
    static constexpr std::size_t MaxBytes = 1'000'000;
    /// Entries in the operation log. At 14,000 changes a day, a resent operation is recognized for
    /// 25 minutes.
    static constexpr std::size_t MaxOperations = 256;
    /// Number of cancelled orders that remain in the document for operators.
    static constexpr std::size_t MaxFinishedOrders = 32;

    std::uint32_t format = 1; ///< Format version; a reader rejects versions it does not know.
    Revision revision;        ///< 0 for the empty document, which is never stored.
    std::map<DeploymentId, Deployment> deployments;
    std::map<ModelId, Model> models;
    std::map<AdapterId, Adapter> adapters;
    std::map<OperationId, LoadOrder> orders;
    std::map<BackendId, BackendRole> roles; ///< Roles other than Mixed, which is the default.
    std::set<HostId> drained; ///< Hosts that receive no new requests and no placements.
    std::map<OperationId, OperationRecord> operations;
    Revision logFrom;            ///< Operations up to this revision have been dropped from the log.
    std::int64_t logHorizon = 0; ///< Latest `when` of the operations dropped from the log.

    friend bool operator==(const Configuration &, const Configuration &) = default;
};

/// Parses a stored or received document. Fails with ConfigurationMalformed if the text is not a
/// document, has an unsupported format version, is inconsistent or exceeds MaxBytes; the caller
/// then keeps its last valid document.
Result<Configuration> parseConfiguration(std::string_view text);

/// Checks the references inside \a configuration. Fails with ConfigurationMalformed.
Result<void> validate(const Configuration &configuration);

template <>
struct JsonNames<BackendRole>
{
    static constexpr std::array<std::pair<BackendRole, std::string_view>, 3> table{
            {{BackendRole::Mixed, "mixed"},
             {BackendRole::Prefill, "prefill"},
             {BackendRole::Decode, "decode"}}};
};

template <>
struct JsonFields<Configuration>
{
    static constexpr auto table = std::tuple{field("format", &Configuration::format),
                                             field("revision", &Configuration::revision),
                                             field("deployments", &Configuration::deployments),
                                             field("models", &Configuration::models),
                                             field("adapters", &Configuration::adapters),
                                             field("orders", &Configuration::orders),
                                             field("roles", &Configuration::roles),
                                             field("drained", &Configuration::drained),
                                             field("operations", &Configuration::operations),
                                             field("log_from", &Configuration::logFrom),
                                             field("log_horizon", &Configuration::logHorizon)};
};

} // namespace godwit
