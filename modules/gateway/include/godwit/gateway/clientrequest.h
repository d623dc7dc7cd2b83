#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/time.h>
#include <godwit/ports/httpheaders.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace godwit {

/// Parsed request of a client.
struct ClientRequest
{
    RequestId id; ///< Chosen by the client for this attempt.
    std::string method;
    std::string target; ///< Path and query.
    std::string host;
    std::string body;
    HttpHeaders headers;                   ///< Passed on to the backend server unchanged.
    std::string key;                       ///< API key of the customer; empty if there is none.
    std::optional<Duration> clientTimeout; ///< How long the client waits from its request on.
    ModelId model;                         ///< Empty if the request is not for a model.
    /// Ids of the parts of the prompt, in order. The last one belongs to this request alone.
    std::vector<std::string> promptParts;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxOutputTokens = 0;
    std::optional<std::uint32_t> expectedOutputTokens; ///< Estimate of the client.
    std::optional<std::string> lastEventId;            ///< Event after which the stream resumes.

    std::string_view path() const { return std::string_view(target).substr(0, target.find('?')); }

    friend bool operator==(const ClientRequest &, const ClientRequest &) = default;
};

} // namespace godwit
