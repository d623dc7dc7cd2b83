#pragma once

#include "synchttp.h"

#include <godwit/base/random.h>

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace godwit {

/// Result of one request as its caller observed it, over all attempts.
struct CallerRecord
{
    std::string request;              ///< Id assigned by the entry process, if received.
    std::string key;                  ///< Idempotency key of a booking.
    std::vector<std::string> refused; ///< Ids of all attempts answered with `not_run`.
    std::string state;         ///< answered, not_run, ran, unknown, broken, or lost (no reply).
    std::string reason;        ///< Last error, if any.
    bool isMixed = false;      ///< The answer mixes versions or is for another request.
    bool isIncomplete = false; ///< The answer has missing or reordered events.
    double firstByteSeconds = 0;
    double seconds = 0;
};

/// Client threads that send completions and bookings to the entry processes until stopped. If the
/// connection breaks or the reply is an error, such as `not_run` or `unknown`, a caller retries
/// with the same idempotency key at another entry process, as a load balancer would.
class Callers
{
public:
    /// Starts \a count callers. The idempotency keys of their bookings start with \a keyPrefix.
    Callers(std::vector<HttpEndpoint> entries, std::size_t count, std::uint64_t seed,
            std::string keyPrefix = "booking");
    ~Callers();
    Callers(const Callers &) = delete;
    Callers &operator=(const Callers &) = delete;

    /// Stops sending, waits for the requests in progress and returns all records.
    std::vector<CallerRecord> stop();

    std::uint64_t sent() const { return m_sent; }

private:
    void run(std::size_t index, std::uint64_t seed);
    CallerRecord complete(SyncHttp &http, Random &random, std::size_t number);
    CallerRecord book(SyncHttp &http, Random &random, const std::string &key);

    std::vector<HttpEndpoint> m_entries;
    std::string m_keyPrefix;
    std::atomic<bool> m_stopping = false;
    std::atomic<std::uint64_t> m_sent = 0;
    std::mutex m_mutex;
    std::vector<CallerRecord> m_records;
    std::vector<std::thread> m_threads;
};

} // namespace godwit
