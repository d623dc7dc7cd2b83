#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/json.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace godwit {

/// Body of `POST /v1/commands`.
struct OperatorRequest
{
    std::string statement;
    OperationId operation; ///< Chosen by the client; a resend uses the same id.
    std::string who;
    std::int64_t when = 0; ///< Wall clock of the client at the first send, ms since 1970.
    std::optional<Revision> decidedOn;
    bool dryRun = false;

    friend bool operator==(const OperatorRequest &, const OperatorRequest &) = default;
};

/// Parses a body. Fails with OperatorRequestInvalid, also if `statement`, `operation`, `who` or
/// `when` is missing.
Result<OperatorRequest> parseOperatorRequest(std::string_view body);

template <>
struct JsonFields<OperatorRequest>
{
    static constexpr auto table = std::tuple{field("statement", &OperatorRequest::statement),
                                             field("operation", &OperatorRequest::operation),
                                             field("who", &OperatorRequest::who),
                                             field("when", &OperatorRequest::when),
                                             field("decided_on", &OperatorRequest::decidedOn),
                                             field("dry_run", &OperatorRequest::dryRun)};
};

} // namespace godwit
