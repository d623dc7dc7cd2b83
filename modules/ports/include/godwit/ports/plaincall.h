#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/time.h>
#include <godwit/ports/httpheaders.h>

#include <string>

namespace godwit {

/// A call to a plain service, forwarded as the caller sent it.
struct PlainCall
{
    std::string method = "POST";
    std::string target = "/"; ///< Path and query.
    HttpHeaders headers;      ///< Without Host, Content-Length and hop-by-hop fields.
    std::string body;
    IdempotencyKey key;                          ///< Sent as Idempotency-Key unless empty.
    Duration timeout = std::chrono::seconds(30); ///< Longest time without a byte from the service.
};

} // namespace godwit
