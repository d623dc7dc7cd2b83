#include "soak.h"

#include "soakcallers.h"

#include <godwit/base/random.h>

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <list>
#include <sstream>
#include <string_view>

namespace godwit {

namespace {

using Clock = MonotonicClock;

constexpr Duration PollInterval = std::chrono::milliseconds(50);
constexpr Duration StartupTime = std::chrono::milliseconds(2500);
/// Bounds of the interval between the starts of two faults and of the length of a fault. Faults may
/// overlap.
constexpr int MinPauseMs = 100;
constexpr int MaxPauseMs = 700;
constexpr int MinFaultMs = 100;
constexpr int MaxFaultMs = 2500;
/// Limit of the recovery time, from the end of all faults, that is checked with --timed. The fleet
/// has recovered when all engines serve the newest version and ServedShare of the last ProbeWindow
/// valid requests were served.
constexpr Duration RecoveryTarget = std::chrono::seconds(12);
/// The run ends as failed if the fleet has not recovered after this time.
constexpr Duration RecoveryLimit = std::chrono::seconds(60);
constexpr std::size_t ProbeWindow = 40; ///< Valid requests since the end of the faults.
constexpr double ServedShare = 0.9;
constexpr Duration LateRunTime = std::chrono::seconds(5);
constexpr int BurstLoadFactor = 8;
constexpr Duration SlowLink = std::chrono::milliseconds(150);

constexpr Duration MinSilence = std::chrono::milliseconds(500);
/// Added for each unit of the target, a number below MaxTarget.
constexpr Duration SilenceStep = std::chrono::milliseconds(4);
/// Of the servers that fall silent as an older version ends: a second or so.
constexpr Duration MinVersionEndSilence = std::chrono::milliseconds(1000);
constexpr Duration HalfMillisecond = std::chrono::microseconds(500); ///< As SilenceStep.
constexpr Duration OriginDelay = std::chrono::milliseconds(400);
/// Between two versions of a series.
constexpr Duration MinVersionGap = std::chrono::milliseconds(300);
constexpr Duration VersionGapStep = std::chrono::microseconds(5700); ///< As SilenceStep.
constexpr std::size_t MaxTarget = 1000;
constexpr std::size_t MaxCorruptPieces = 3; ///< By one fault.

constexpr std::array<std::string_view, 7> RetryAfterValues{"1",    "0.4", "6",   "0",
                                                           "1, 2", "-1",  "soon"};

/// Of a server that answers after a silence, when the requests that it has read were given up.
constexpr std::string_view LongRetryAfter = "6";

constexpr Duration ShortSilence = std::chrono::milliseconds(1200);
/// Longer than a silence and the backoff after it.
constexpr Duration StatedPause = std::chrono::milliseconds(6000);

class Soak
{
public:
    explicit Soak(SoakOptions options)
        : m_options(std::move(options))
        , m_random(m_options.seed)
        , m_kinds(selectKinds(m_options.faults))
        , m_fleet(m_io, m_options, m_record)
        , m_callers(m_io, m_fleet, m_options, m_record)
        , m_timer(m_io)
        , m_pollTimer(m_io)
        , m_plot(m_options.folder + "/soak.csv")
    {}

    int run();

private:
    struct FaultKind
    {
        const char *name;
        void (Soak::*begin)(std::size_t target);
        void (Soak::*end)(std::size_t target); ///< Null for faults that need no end.
    };
    static const std::vector<FaultKind> &faultKinds();
    /// The kinds that the options select.
    static std::vector<FaultKind> selectKinds(const std::string &parts);

    void schedule(boost::asio::steady_timer &timer, Duration delay, void (Soak::*step)());
    void poll();
    void nextFault();
    void endFault(const FaultKind &kind, std::size_t target);
    void recover();
    void checkRecovery();
    void drainCallers();
    void finish();
    double servedShare() const;
    void writePlotRow();
    int report() const;

    std::size_t process() { return m_random.below(m_fleet.processCount()); }

    void killProcess(std::size_t i) { m_fleet.killProcess(i % m_fleet.processCount()); }
    void stopProcess(std::size_t i) { m_fleet.stopProcess(i % m_fleet.processCount()); }
    void pauseProcess(std::size_t i) { m_fleet.pauseProcess(i % m_fleet.processCount()); }
    void resumeProcess(std::size_t i) { m_fleet.resumeProcess(i % m_fleet.processCount()); }
    void reloadProcess(std::size_t i) { m_fleet.reloadProcess(i % m_fleet.processCount()); }
    void killHalf(std::size_t i);
    void storeFault(std::size_t i, const LinkFault &fault)
    {
        m_fleet.setStoreFault(i % m_fleet.processCount(), fault);
    }
    void holdStore(std::size_t i) { storeFault(i, {.holdRequests = true, .holdReplies = true}); }
    void holdStoreReplies(std::size_t i) { storeFault(i, {.holdReplies = true}); }
    void slowStore(std::size_t i) { storeFault(i, {.delay = SlowLink}); }
    void refuseStore(std::size_t i)
    {
        storeFault(i, {.refuse = true});
        m_fleet.resetStore(i % m_fleet.processCount());
    }
    void clearStoreFault(std::size_t i) { storeFault(i, {}); }
    void holdAllStores(std::size_t)
    {
        setAllStoreFaults({.holdRequests = true, .holdReplies = true});
    }
    void clearAllStoreFaults(std::size_t) { setAllStoreFaults({}); }
    void setAllStoreFaults(const LinkFault &fault);
    void refuseCalls(std::size_t i) { m_fleet.refuseStoreCalls(static_cast<int>(i % 30)); }
    void compactStore(std::size_t) { m_fleet.compactStore(); }
    void copyStore(std::size_t) { m_fleet.copyStore(); }
    void restoreStore(std::size_t) { m_fleet.restoreStore(); }
    void engineFault(std::size_t i, const LinkFault &fault)
    {
        m_fleet.setEngineFault(i % m_fleet.engineCount(), fault);
    }
    void holdEngine(std::size_t i) { engineFault(i, {.holdRequests = true, .holdReplies = true}); }
    void holdEngineReplies(std::size_t i) { engineFault(i, {.holdReplies = true}); }
    void slowEngine(std::size_t i) { engineFault(i, {.delay = SlowLink}); }
    void clearEngineFault(std::size_t i) { engineFault(i, {}); }
    void resetEngine(std::size_t i) { m_fleet.resetEngine(i % m_fleet.engineCount()); }
    void crashEngine(std::size_t i) { m_fleet.crashEngine(i % m_fleet.engineCount()); }
    void drainEngine(std::size_t i) { m_fleet.drainEngine(i % m_fleet.engineCount()); }
    void leaveEngine(std::size_t i) { m_fleet.leaveEngine(i % m_fleet.engineCount()); }
    void pauseEngine(std::size_t i);
    void pauseAfterSilence(std::size_t i)
    {
        silenceEngine(i);
        m_fleet.setRetryAfter(i % m_fleet.engineCount(), std::string(LongRetryAfter));
    }
    void silenceThenPause(std::size_t i)
    {
        m_fleet.silenceThenPause(i % m_fleet.engineCount(), ShortSilence, StatedPause);
    }
    void resumeEngine(std::size_t i)
    {
        m_fleet.setRetryAfter(i % m_fleet.engineCount(), std::nullopt);
    }
    static Duration silence(std::size_t i)
    {
        return MinSilence + static_cast<int>(i) * SilenceStep;
    }
    static std::vector<std::uint32_t> somePieces(std::size_t i);
    void corruptEngine(std::size_t i)
    {
        m_fleet.corruptEngine(i % m_fleet.modelEngineCount(), somePieces(i));
    }
    void silenceEngine(std::size_t i)
    {
        m_fleet.silenceEngine(i % m_fleet.engineCount(), silence(i));
    }
    void silenceAtVersionEnd(std::size_t i)
    {
        m_fleet.silenceAtVersionEnd(i,
                                    MinVersionEndSilence + static_cast<int>(i) * HalfMillisecond);
    }
    void silenceAtOrder(std::size_t i)
    {
        m_fleet.setOrderFault(i % m_fleet.modelEngineCount(), {silence(i), {}});
    }
    void corruptAtOrder(std::size_t i)
    {
        m_fleet.setOrderFault(i % m_fleet.modelEngineCount(), {silence(i), somePieces(i)});
    }
    void crashAndCorruptAtOrder(std::size_t i)
    {
        corruptAtOrder(i);
        m_fleet.crashEngine(i % m_fleet.modelEngineCount());
    }
    void responseFault(std::size_t i, ResponseFault fault) { engineFault(i, {.responses = fault}); }
    void copyResponses(std::size_t i) { responseFault(i, ResponseFault::Copy); }
    void copyWithoutIds(std::size_t i) { responseFault(i, ResponseFault::CopyWithoutId); }
    void cutCopies(std::size_t i) { responseFault(i, ResponseFault::CutCopy); }
    void loseResponses(std::size_t i) { responseFault(i, ResponseFault::Loss); }
    void resetReused(std::size_t i) { engineFault(i, {.resetReused = true}); }
    void rejectRequests(std::size_t i)
    {
        m_fleet.setRejectInterval(i % m_fleet.engineCount(), 2 + i % 2);
    }
    void endRejections(std::size_t i) { m_fleet.setRejectInterval(i % m_fleet.engineCount(), 0); }
    void replaceEngine(std::size_t i) { m_fleet.replaceEngine(i % m_fleet.engineCount()); }
    void copyRejections(std::size_t i, ResponseFault fault)
    {
        responseFault(i, fault);
        replaceEngine(i);
        rejectRequests(i);
    }
    void copyOwnRejections(std::size_t i) { copyRejections(i, ResponseFault::Copy); }
    void copyUnidentifiedRejections(std::size_t i)
    {
        copyRejections(i, ResponseFault::CopyWithoutId);
    }
    void cutOwnRejections(std::size_t i) { copyRejections(i, ResponseFault::CutCopy); }
    void endCopiedRejections(std::size_t i)
    {
        clearEngineFault(i);
        endRejections(i);
    }
    void holdOrigin(std::size_t) { m_fleet.setOriginFault({.holdReplies = true}); }
    void refuseOrigin(std::size_t) { m_fleet.setOriginFault({.refuse = true}); }
    void slowOrigin(std::size_t) { m_fleet.setOriginFault({.delay = OriginDelay}); }
    void cutOrigin(std::size_t)
    {
        m_fleet.setOriginFault({.holdRequests = true, .holdReplies = true});
    }
    void failOrigin(std::size_t) { m_fleet.setOriginFailing(true); }
    void clearOriginFault(std::size_t)
    {
        m_fleet.setOriginFault({});
        m_fleet.setOriginFailing(false);
    }
    void publishVersion(std::size_t) { m_fleet.publishVersion(); }
    void publishVersions(std::size_t i)
    {
        m_fleet.publishVersions(2 + i % 4, MinVersionGap + static_cast<int>(i) * VersionGapStep);
    }
    void publishBesideOriginFault(std::size_t i)
    {
        publishVersions(i);
        constexpr void (Soak::*Faults[])(std::size_t) = {&Soak::holdOrigin, &Soak::refuseOrigin,
                                                         &Soak::slowOrigin, &Soak::cutOrigin,
                                                         &Soak::failOrigin};
        (this->*Faults[i % std::size(Faults)])(i);
    }
    void changeConfiguration(std::size_t) { m_fleet.changeConfiguration(); }
    void beginBurst(std::size_t) { m_callers.setLoadFactor(BurstLoadFactor); }
    void endBurst(std::size_t) { m_callers.setLoadFactor(1); }

    SoakOptions m_options;
    Random m_random;
    std::vector<FaultKind> m_kinds;
    boost::asio::io_context m_io;
    SoakRecord m_record;
    SoakFleet m_fleet;
    SoakCallers m_callers;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_pollTimer;
    std::list<boost::asio::steady_timer> m_faultTimers;
    std::ofstream m_plot;
    TimePoint m_start = Clock::now();
    TimePoint m_faultsEnd;
    TimePoint m_faultsCleared;
    double m_recoverySeconds = -1;
    std::size_t m_faults = 0;
    std::size_t m_lastPlotSecond = 0;
};

const std::vector<Soak::FaultKind> &Soak::faultKinds()
{
    static const std::vector<FaultKind> all{
            {"kill a process", &Soak::killProcess, nullptr},
            {"kill half of the processes", &Soak::killHalf, nullptr},
            {"stop a process", &Soak::stopProcess, nullptr},
            {"pause a process", &Soak::pauseProcess, &Soak::resumeProcess},
            {"reload settings", &Soak::reloadProcess, nullptr},
            {"hold all traffic of one process to the store", &Soak::holdStore,
             &Soak::clearStoreFault},
            {"hold replies of the store to one process", &Soak::holdStoreReplies,
             &Soak::clearStoreFault},
            {"slow the store for one process", &Soak::slowStore, &Soak::clearStoreFault},
            {"refuse connections of one process to the store", &Soak::refuseStore,
             &Soak::clearStoreFault},
            {"hold all traffic to the store", &Soak::holdAllStores, &Soak::clearAllStoreFaults},
            {"refuse calls to the store", &Soak::refuseCalls, nullptr},
            {"compact the history of the store", &Soak::compactStore, nullptr},
            {"copy the store, and restore it", &Soak::copyStore, &Soak::restoreStore},
            {"hold all traffic to a backend server", &Soak::holdEngine, &Soak::clearEngineFault},
            {"hold replies of a backend server", &Soak::holdEngineReplies, &Soak::clearEngineFault},
            {"slow a backend server", &Soak::slowEngine, &Soak::clearEngineFault},
            {"reset connections of a backend server", &Soak::resetEngine, nullptr},
            {"crash a backend server", &Soak::crashEngine, nullptr},
            {"drain a backend server", &Soak::drainEngine, nullptr},
            {"let a backend server leave, stated only in its responses", &Soak::leaveEngine,
             nullptr},
            {"let a backend server want no requests", &Soak::pauseEngine, &Soak::resumeEngine},
            {"let a backend server fall silent and want no requests afterwards",
             &Soak::pauseAfterSilence, &Soak::resumeEngine},
            {"let a backend server fall silent and state until when it wants no requests",
             &Soak::silenceThenPause, nullptr},
            {"let staged pieces turn corrupt", &Soak::corruptEngine, nullptr},
            {"let a backend server fall silent", &Soak::silenceEngine, nullptr},
            {"let backend servers fall silent before older versions end",
             &Soak::silenceAtVersionEnd, nullptr},
            {"let a backend server fall silent at its next load order", &Soak::silenceAtOrder,
             nullptr},
            {"let a backend server fall silent and staged pieces turn corrupt at its next load"
             " order",
             &Soak::corruptAtOrder, nullptr},
            {"crash a backend server, let it fall silent and staged pieces turn corrupt at its"
             " next load order",
             &Soak::crashAndCorruptAtOrder, nullptr},
            {"repeat responses of a backend server", &Soak::copyResponses, &Soak::clearEngineFault},
            {"repeat responses of a backend server without their ids", &Soak::copyWithoutIds,
             &Soak::clearEngineFault},
            {"repeat parts of responses of a backend server", &Soak::cutCopies,
             &Soak::clearEngineFault},
            {"lose responses of a backend server", &Soak::loseResponses, &Soak::clearEngineFault},
            {"reset connections of a backend server that are used again", &Soak::resetReused,
             &Soak::clearEngineFault},
            {"let a backend server reject requests", &Soak::rejectRequests, &Soak::endRejections},
            {"replace a backend server at its address", &Soak::replaceEngine, nullptr},
            {"replace a backend server at its address, let it reject requests and repeat its"
             " responses",
             &Soak::copyOwnRejections, &Soak::endCopiedRejections},
            {"replace a backend server at its address, let it reject requests and repeat its"
             " responses without their ids",
             &Soak::copyUnidentifiedRejections, &Soak::endCopiedRejections},
            {"replace a backend server at its address, let it reject requests and repeat parts of"
             " its responses",
             &Soak::cutOwnRejections, &Soak::endCopiedRejections},
            {"hold replies of the origin", &Soak::holdOrigin, &Soak::clearOriginFault},
            {"publish a version", &Soak::publishVersion, nullptr},
            {"change the configuration", &Soak::changeConfiguration, nullptr},
            {"raise the request rate", &Soak::beginBurst, &Soak::endBurst},
            {"publish several versions", &Soak::publishVersions, nullptr},
            {"publish several versions beside a fault of the origin",
             &Soak::publishBesideOriginFault, &Soak::clearOriginFault},
    };
    return all;
}

std::vector<Soak::FaultKind> Soak::selectKinds(const std::string &parts)
{
    std::vector<FaultKind> selected;
    std::istringstream stream(parts);
    std::vector<std::string> names;
    for (std::string name; std::getline(stream, name, ',');)
        names.push_back(name);
    for (const FaultKind &kind : faultKinds()) {
        const auto isPart = [&kind](const std::string &name) {
            return std::string_view(kind.name).find(name) != std::string_view::npos;
        };
        if (names.empty() || std::ranges::any_of(names, isPart))
            selected.push_back(kind);
    }
    return selected;
}

void Soak::killHalf(std::size_t i)
{
    for (std::size_t n = 0; n < m_fleet.processCount() / 2; ++n)
        killProcess(i + 2 * n);
}

std::vector<std::uint32_t> Soak::somePieces(std::size_t i)
{
    std::vector<std::uint32_t> pieces;
    for (std::size_t n = 0; n <= i % MaxCorruptPieces; ++n)
        pieces.push_back((i + 7 * n) % standin::FleetPieceCount);
    return pieces;
}

void Soak::pauseEngine(std::size_t i)
{
    m_fleet.setRetryAfter(i % m_fleet.engineCount(),
                          std::string(RetryAfterValues[i % RetryAfterValues.size()]));
}

void Soak::setAllStoreFaults(const LinkFault &fault)
{
    for (std::size_t i = 0; i < m_fleet.processCount(); ++i)
        m_fleet.setStoreFault(i, fault);
}

void Soak::schedule(boost::asio::steady_timer &timer, Duration delay, void (Soak::*step)())
{
    timer.expires_after(delay);
    timer.async_wait([this, step](const boost::system::error_code &ec) {
        if (!ec)
            (this->*step)();
    });
}

int Soak::run()
{
    const auto started = capture([this]() -> Result<bool> {
        BOOST_LEAF_CHECK(m_fleet.start());
        return true;
    });
    if (const auto *error = std::get_if<Error>(&started)) {
        std::cerr << "godwit-bench: " << toString(*error) << '\n';
        return 1;
    }
    if (m_kinds.empty()) {
        std::cerr << "godwit-bench: no kind of fault contains \"" << m_options.faults << "\"\n";
        return 1;
    }
    m_plot << "second,requests,served,refused,other,runs\n";
    m_callers.start();
    poll();
    m_faultsEnd = m_start + StartupTime + fromSeconds(m_options.seconds);
    schedule(m_timer, StartupTime, &Soak::nextFault);
    m_io.run();
    return report();
}

void Soak::poll()
{
    m_fleet.checkProcesses();
    writePlotRow();
    schedule(m_pollTimer, PollInterval, &Soak::poll);
}

void Soak::nextFault()
{
    if (Clock::now() >= m_faultsEnd) {
        recover();
        return;
    }
    const FaultKind &kind = m_kinds[m_random.below(m_kinds.size())];
    const std::size_t target = m_random.below(MaxTarget);
    const auto length =
            std::chrono::milliseconds(MinFaultMs + m_random.below(MaxFaultMs - MinFaultMs));
    std::cerr << toSeconds(Clock::now() - m_start) << " s: " << kind.name << " (" << target << ", "
              << length.count() << " ms)\n";
    ++m_faults;
    (this->*kind.begin)(target);
    if (kind.end) {
        m_faultTimers.emplace_back(m_io, length)
                .async_wait([this, &kind, target](const boost::system::error_code &ec) {
                    if (!ec)
                        endFault(kind, target);
                });
    }
    schedule(m_timer,
             std::chrono::milliseconds(MinPauseMs + m_random.below(MaxPauseMs - MinPauseMs)),
             &Soak::nextFault);
}

void Soak::endFault(const FaultKind &kind, std::size_t target)
{
    (this->*kind.end)(target);
}

void Soak::recover()
{
    m_faultTimers.clear();
    m_callers.setLoadFactor(1);
    m_fleet.clearFaults();
    m_faultsCleared = Clock::now();
    std::cerr << toSeconds(m_faultsCleared - m_start) << " s: all faults have ended\n";
    checkRecovery();
}

double Soak::servedShare() const
{
    std::size_t n = 0;
    std::size_t served = 0;
    for (auto it = m_record.outcomes.rbegin();
         it != m_record.outcomes.rend() && n < ProbeWindow && it->sent > m_faultsCleared; ++it) {
        const bool isValid = it->attempt.route.empty() && !it->customer.empty() && !it->isCancelled
                             && !m_record.revokedKeys.contains(it->attempt.key);
        n += isValid;
        served += isValid && it->status == 200 && it->isComplete;
    }
    return n < ProbeWindow ? 0 : static_cast<double>(served) / static_cast<double>(n);
}

void Soak::checkRecovery()
{
    const Duration passed = Clock::now() - m_faultsCleared;
    if (m_fleet.allEnginesCurrent() && servedShare() >= ServedShare) {
        m_recoverySeconds = toSeconds(passed);
    } else if (passed < RecoveryLimit) {
        schedule(m_timer, PollInterval, &Soak::checkRecovery);
        return;
    }
    if (m_recoverySeconds < 0)
        m_record.problems.emplace_back("the fleet did not recover within the limit");
    else if (m_options.timed && m_recoverySeconds > toSeconds(RecoveryTarget))
        m_record.problems.push_back("recovery took " + std::to_string(m_recoverySeconds) + " s");
    m_callers.stop();
    schedule(m_timer, PollInterval, &Soak::drainCallers);
}

void Soak::drainCallers()
{
    if (!m_callers.isIdle()) {
        schedule(m_timer, PollInterval, &Soak::drainCallers);
        return;
    }
    // Waits for late runs, since a refused request must not run later either.
    schedule(m_timer, LateRunTime, &Soak::finish);
}

void Soak::finish()
{
    m_io.stop();
}

void Soak::writePlotRow()
{
    const auto second = static_cast<std::size_t>(toSeconds(Clock::now() - m_start));
    if (second <= m_lastPlotSecond)
        return;
    m_lastPlotSecond = second;
    std::size_t served = 0;
    std::size_t refused = 0;
    for (const SoakOutcome &it : m_record.outcomes) {
        served += it.status == 200 && it.isComplete;
        refused += isRefusal(it.status);
    }
    const std::size_t n = m_record.outcomes.size();
    m_plot << second << ',' << n << ',' << served << ',' << refused << ',' << n - served - refused
           << ',' << m_record.ledger.runs.size() << '\n';
    std::cerr << second << " s: " << n << " requests, " << served << " served, " << refused
              << " refused, " << m_faults << " faults\n";
}

int Soak::report() const
{
    const std::vector<std::string> broken = findViolations(m_record);
    for (const std::string &it : broken)
        std::cerr << "broken: " << it << '\n';
    std::size_t served = 0;
    std::size_t refused = 0;
    for (const SoakOutcome &it : m_record.outcomes) {
        served += it.status == 200 && it.isComplete;
        refused += isRefusal(it.status);
    }
    std::cout << boost::json::object{{"seed", m_options.seed},
                                     {"processes", m_fleet.processCount()},
                                     {"faults", m_faults},
                                     {"requests", m_record.outcomes.size()},
                                     {"served", served},
                                     {"refused", refused},
                                     {"runs", m_record.ledger.runs.size()},
                                     {"orders", m_record.ledger.orders},
                                     {"recovery_s", m_recoverySeconds},
                                     {"broken", broken.size()},
                                     {"folder", m_options.folder}}
              << '\n';
    return broken.empty() ? 0 : 1;
}

} // namespace

int runSoak(SoakOptions options)
{
    return Soak(std::move(options)).run();
}

} // namespace godwit
