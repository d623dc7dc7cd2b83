#pragma once

#include "fleetprobe.h"

#include <godwit/language/operatorreply.h>

#include <boost/json.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace godwit {

constexpr std::chrono::seconds SettleLimit{30};
constexpr std::chrono::milliseconds PollInterval{100};
constexpr Duration ConfigurationLimit{10'000'000}; // P7 of the design.

void sleepFor(Duration span);

/// \a span in seconds, to the millisecond.
double rounded(Duration span);

/// Rows of faults on one fleet, and what all of them need.
class Faults
{
public:
    Faults(FleetOptions options, std::size_t callers, std::uint64_t seed)
        : m_fleet(std::move(options))
        , m_callerCount(callers)
        , m_seed(seed)
    {}

    int run(const std::string &rows);

private:
    /// Injects a fault while the callers run, fills \a m_figures and returns false if a bound of
    /// the row does not hold.
    struct Row
    {
        const char *name;
        bool (Faults::*inject)();
    };
    static std::span<const Row> rows();

    bool shortOutage() { return outage(std::chrono::seconds(10)); }
    bool longOutage() { return outage(std::chrono::seconds(30)); }
    bool outage(Duration length);
    bool pauseOwner();
    bool pauseEntry();
    bool repliesLost();
    bool slowService();
    bool listedLeaving();
    bool hostStops() { return stopsUnderLoad(m_fleet.options().hosts - 1); }
    bool ownerStops() { return stopsUnderLoad(m_probe.busiestOwner()); }
    bool stopsUnderLoad(std::size_t host);
    bool waitForWork(std::size_t host);
    bool operatorRace();
    bool silentStreams();
    bool poison();

    bool prepare();
    bool runRow(const Row &row);
    bool settle();
    bool stopAll();
    void say(const std::string &text) const;
    bool check(bool holds, const std::string &what);

    OperatorReply ask(std::size_t entry, const std::string &statement, const OperationId &operation,
                      std::optional<Revision> decidedOn = std::nullopt,
                      const std::string &who = "bench");
    OperationId newOperation();
    bool commandUntilAccepted(const std::string &statement, Duration limit = SettleLimit);
    bool measureSpread(Revision revision, Duration accepted, std::vector<Duration> &spread);
    bool raceOnce(const std::array<std::string, 2> &statements, std::vector<Duration> &spread);
    bool configurationWorks();

    bool checkLastRun(std::size_t host, Duration rowStart, Duration indication);
    bool isBooked(SyncHttp &http, std::size_t entry, const std::string &key);
    std::string poisonOnce(SyncHttp &http, std::size_t entry);

    Fleet m_fleet;
    FleetProbe m_probe{m_fleet};
    std::size_t m_callerCount;
    std::uint64_t m_seed;
    Duration m_start = monotonicNow();
    const Row *m_row = nullptr;
    Duration m_rowStart{0};
    boost::json::object m_figures;
    boost::json::array m_failures;
    std::atomic<std::uint64_t> m_nextOperation = 1;
};

} // namespace godwit
