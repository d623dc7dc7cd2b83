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

constexpr std::chrono::seconds RecoveryLimit{30};
constexpr std::chrono::milliseconds PollInterval{100};
constexpr Duration ConfigurationLimit{10'000'000}; // P7 of the design.

void sleepFor(Duration span);

/// Returns \a span in seconds, rounded to milliseconds.
double roundedSeconds(Duration span);

/// Runs the rows of the fault table on one fleet. The row functions are in faultrows.cpp, the code
/// that they share in faults.cpp.
class FaultRun
{
public:
    FaultRun(FleetOptions options, std::size_t callers, std::uint64_t seed)
        : m_fleet(std::move(options))
        , m_callerCount(callers)
        , m_seed(seed)
    {}

    int run(const std::string &rows);

private:
    /// A row of the table. \a inject injects a fault while the callers run, stores its
    /// measurements in \a m_results and returns false if a bound of the row is violated.
    struct Row
    {
        const char *name;
        bool (FaultRun::*inject)();
    };
    static std::span<const Row> rows();

    bool shortOutage() { return outage(std::chrono::seconds(10)); }
    bool longOutage() { return outage(std::chrono::seconds(30)); }
    bool outage(Duration length);
    bool pauseSlotOwner();
    bool pauseEntry();
    bool loseReplies();
    bool slowKeyValueService();
    bool listHostAsLeaving();
    bool stopHost() { return stopUnderLoad(m_fleet.options().hosts - 1); }
    bool stopSlotOwner() { return stopUnderLoad(m_probe.hostWithMostSlots()); }
    bool stopUnderLoad(std::size_t host);
    bool waitForRequests(std::size_t host);
    bool operatorRace();
    bool silenceStreams();
    bool sendPoisonRequests();

    bool prepare();
    bool runRow(const Row &row);
    bool waitForRecovery();
    bool stopAll();
    void logProgress(const std::string &text) const;
    bool check(bool holds, const std::string &what);

    OperatorReply sendCommand(std::size_t entry, const std::string &statement,
                              const OperationId &operation,
                              std::optional<Revision> decidedOn = std::nullopt,
                              const std::string &who = "bench");
    OperationId newOperationId();
    bool sendUntilAccepted(const std::string &statement, Duration limit = RecoveryLimit);
    bool measurePropagation(Revision revision, Duration accepted,
                            std::vector<Duration> &propagation);
    bool runRace(const std::array<std::string, 2> &statements, std::vector<Duration> &propagation);
    bool checkCommandAccepted();

    bool checkHostDrained(std::size_t host, Duration rowStart, Duration indication);
    bool sendBooking(SyncHttp &http, std::size_t entry, const std::string &key);
    std::string sendPoisonRequest(SyncHttp &http, std::size_t entry);

    Fleet m_fleet;
    FleetProbe m_probe{m_fleet};
    std::size_t m_callerCount;
    std::uint64_t m_seed;
    Duration m_start = monotonicNow();
    const Row *m_row = nullptr;
    Duration m_rowStart{0};
    boost::json::object m_results;
    boost::json::array m_failures;
    std::atomic<std::uint64_t> m_nextOperation = 1;
};

} // namespace godwit
