#pragma once

#include "soakfleet.h"

#include <godwit/base/random.h>
#include <godwit/ports/httpclient.h>

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <string>
#include <vector>

namespace godwit {

/// Clients of a soak. Each sends requests one at a time to random entry processes, over connections
/// that stay open until the process closes them, and records the outcomes.
class SoakCallers
{
public:
    SoakCallers(boost::asio::io_context &io, const SoakFleet &fleet, SoakOptions options,
                SoakRecord &record);
    ~SoakCallers();

    void start();

    /// Sends no more requests; those in progress complete.
    void stop() { m_isStopped = true; }
    bool isIdle() const { return m_inProgress == 0; }

    /// Divides the minimum pause between the requests of a client by \a loadFactor.
    void setLoadFactor(int loadFactor) { m_loadFactor = loadFactor; }

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
        std::unique_ptr<boost::asio::steady_timer> timer;       ///< Until the next request.
        std::unique_ptr<boost::asio::steady_timer> cancelTimer; ///< To cancel the request.
        Duration retryAfter{0};
    };

    void send(Caller &caller);
    void chooseRequest(Caller &caller);
    void onResponseHeader(Caller &caller, int status, const HttpHeaders &headers);
    void onResponseEnd(Caller &caller, bool isComplete);
    void scheduleNext(Caller &caller, Duration pause);

    boost::asio::io_context &m_io;
    const SoakFleet &m_fleet;
    SoakOptions m_options;
    SoakRecord &m_record;
    HttpClient m_client;
    std::vector<std::unique_ptr<Caller>> m_callers;
    std::size_t m_inProgress = 0;
    int m_loadFactor = 1;
    bool m_isStopped = false;
};

} // namespace godwit
