#pragma once

#include "soakfleet.h"

#include <godwit/base/random.h>
#include <godwit/ports/httpclient.h>

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <string>
#include <vector>

namespace godwit {

/// Clients of a soak. Each sends one request after the other to entry processes, over connections
/// that are kept until the process closes them, and notes what it saw.
class SoakCallers
{
public:
    SoakCallers(boost::asio::io_context &io, const SoakFleet &fleet, SoakOptions options,
                SoakRecord &record);
    ~SoakCallers();

    void start();

    /// Requests in progress come to an end; no more are sent.
    void stop() { m_isStopped = true; }
    bool isIdle() const { return m_inProgress == 0; }

    /// Clients wait this much shorter between their requests.
    void setPressure(int pressure) { m_pressure = pressure; }

private:
    struct Caller
    {
        Caller(Random seeded, std::size_t index)
            : random(seeded)
            , number(index)
        {}

        Random random;
        std::size_t number = 0;
        std::uint64_t sent = 0;
        SoakOutcome outcome;
        std::shared_ptr<CallHandle> call;
        std::unique_ptr<boost::asio::steady_timer> timer;    ///< Until the next request.
        std::unique_ptr<boost::asio::steady_timer> patience; ///< Of a client that gives up.
        Duration retryAfter{0};
    };

    void send(Caller &caller);
    void choose(Caller &caller);
    void headed(Caller &caller, int status, const HttpHeaders &headers);
    void ended(Caller &caller, bool isComplete);
    void wait(Caller &caller, Duration pause);

    boost::asio::io_context &m_io;
    const SoakFleet &m_fleet;
    SoakOptions m_options;
    SoakRecord &m_record;
    HttpClient m_client;
    std::vector<std::unique_ptr<Caller>> m_callers;
    std::size_t m_inProgress = 0;
    int m_pressure = 1;
    bool m_isStopped = false;
};

} // namespace godwit
