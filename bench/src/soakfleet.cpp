#include "soakfleet.h"

#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

namespace godwit {

using standin::FleetEngineStandin;

namespace {

constexpr int ReservationRole = 0;
constexpr int EntryRole = 1;
constexpr int HostRole = 2;
constexpr int BookingRole = 3;
constexpr int OriginRole = 4;
constexpr std::uint16_t ReservationPort = 7000;
constexpr std::uint16_t CallerPort = 7001;
constexpr std::uint16_t ReadinessPort = 7002;
constexpr std::uint16_t PeerPort = 7003;
constexpr std::uint16_t MetricsPort = 7004;
constexpr std::size_t Zones = 2;
constexpr int LeaveSeconds = 8;
constexpr Duration RestartDelay = std::chrono::milliseconds(400);
constexpr Duration EngineDowntime = std::chrono::milliseconds(1500);
/// Time for which a draining backend server keeps serving after it has announced its end.
constexpr Duration DrainTime = std::chrono::milliseconds(2500);
/// Time after which a restored store has what its copy lacks.
constexpr Duration RewriteDelay = std::chrono::milliseconds(1500);
/// Time for which the record of a crashed backend server stays in the store.
constexpr Duration RecordExpiry = std::chrono::milliseconds(1000);
/// Times before the end of the older versions, in silenceAtVersionEnd().
constexpr Duration FirstSilence = std::chrono::milliseconds(3500);
constexpr std::size_t SilenceSpreadMs = 3000;
/// Time after that end at which hosts can fetch the version, and from then on to the next call.
constexpr Duration FetchDelay = std::chrono::seconds(1);
constexpr Duration LoadTime = std::chrono::seconds(4);
constexpr std::size_t MaxAddedRoutes = 3;
constexpr std::uint64_t MaxEngines = 1000; ///< Keeps the seeds of their proxies apart.

std::string zoneOf(std::size_t index)
{
    return "zone-" + std::to_string(index % Zones);
}

std::uint64_t wallMs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

} // namespace

SoakFleet::SoakFleet(boost::asio::io_context &io, SoakOptions options, SoakRecord &record)
    : m_io(io)
    , m_options(std::move(options))
    , m_record(record)
    , m_processes(m_options.folder)
    , m_store(io)
    , m_reservation(io)
    , m_originProxy(io, {})
{
    m_configuration.customers = {{"customer-0", {"key-0", "key-0b", "key-0c", "key-0d"}},
                                 {"customer-1", {"key-1"}}};
}

SoakFleet::~SoakFleet() = default;

// Concurrent soaks on one machine must not share addresses: their processes could not listen.
Result<void> SoakFleet::reserveAddresses()
{
    constexpr int FirstBlock = 20;
    constexpr int Blocks = 200;
    for (int i = 0; i < Blocks; ++i) {
        m_addressBlock = FirstBlock + (getpid() + i) % Blocks;
        const auto own = boost::asio::ip::make_address(address(ReservationRole, 0));
        boost::system::error_code ec;
        m_reservation.open(boost::asio::ip::tcp::v4(), ec);
        // Without reuse of addresses, only one process binds the port.
        m_reservation.bind({own, ReservationPort}, ec);
        if (!ec)
            return {};
        m_reservation.close();
    }
    return fail(ResultCode::ListenFailed, "all blocks of loopback addresses are in use");
}

std::string SoakFleet::address(int role, std::size_t index) const
{
    constexpr std::size_t PerBlock = 250;
    const std::size_t low = index % PerBlock + 1;
    const std::size_t high = index / PerBlock * 8 + static_cast<std::size_t>(role);
    return "127." + std::to_string(m_addressBlock) + '.' + std::to_string(high) + '.'
           + std::to_string(low);
}

HttpEndpoint SoakFleet::entry(std::size_t index) const
{
    return {address(EntryRole, index), CallerPort};
}

HttpEndpoint SoakFleet::readiness(std::size_t index) const
{
    return {address(EntryRole, index), ReadinessPort};
}

Result<void> SoakFleet::start()
{
    std::filesystem::create_directories(m_options.folder);
    BOOST_LEAF_CHECK(reserveAddresses());
    BOOST_LEAF_CHECK(startOrigin());
    for (std::size_t i = 0; i < m_options.hosts; ++i)
        BOOST_LEAF_CHECK(addEngine(std::string(standin::ModelService), i));
    for (std::size_t i = 0; i < m_options.bookingServers; ++i)
        BOOST_LEAF_CHECK(addEngine(std::string(standin::BookingService), i));
    publishConfiguration();
    for (std::size_t i = 0; i < m_options.entries; ++i)
        BOOST_LEAF_CHECK(addMember(true, i));
    for (std::size_t i = 0; i < m_options.hosts; ++i)
        BOOST_LEAF_CHECK(addMember(false, i));
    return {};
}

Result<void> SoakFleet::startOrigin()
{
    HttpServerOptions options;
    options.listen = {address(OriginRole, 0), 0};
    BOOST_LEAF_ASSIGN(m_origin,
                      HttpServer::listen(
                              m_io, options, [this](const HttpRequest &request, const auto &reply) {
                                  // The newest version and the one before it.
                                  reply->send(m_originFails ? HttpResponse{503, {}, {}}
                                                            : standin::originResponse(
                                                                    request, m_version - 1));
                              }));
    m_originProxy.setTarget(m_origin->endpoint());
    BOOST_LEAF_CHECK(m_originProxy.listen({address(OriginRole, 0), 0}));
    m_configuration.origin = toString(m_originProxy.endpoint());
    return {};
}

Result<void> SoakFleet::addEngine(const std::string &service, std::size_t index)
{
    const bool isModel = service == standin::ModelService;
    Engine &engine = m_engines.emplace_back();
    engine.listen = {address(isModel ? HostRole : BookingRole, index), 0};
    engine.service = service;
    engine.zone = zoneOf(index);
    engine.proxy = std::make_unique<TcpProxy>(m_io, HttpEndpoint(),
                                              m_options.seed * MaxEngines + m_engines.size());
    BOOST_LEAF_CHECK(engine.proxy->listen(engine.listen));
    if (isModel) {
        engine.version = m_version;
        for (std::uint32_t piece = 0; piece < standin::FleetPieceCount; ++piece)
            engine.staged[piece] = {standin::pieceBytes(m_version, piece), std::nullopt};
    }
    return startEngine(m_engines.size() - 1);
}

Result<void> SoakFleet::startEngine(std::size_t index)
{
    Engine &engine = m_engines[index];
    ++engine.generation;
    engine.isDraining = false;
    FleetEngineStandin::Options options;
    options.id = "e" + std::to_string(index) + '-' + std::to_string(engine.generation);
    options.service = engine.service;
    options.zone = engine.zone;
    options.listen = engine.listen;
    options.address = engine.proxy->endpoint();
    options.startTimeMs = wallMs();
    options.version = engine.version;
    options.stagedPieces = engine.staged;
    options.orderFault = engine.orderFault;
    engine.process = std::make_unique<FleetEngineStandin>(m_io, std::move(options), m_record.ledger,
                                                          [this, index] { publishRecord(index); });
    BOOST_LEAF_CHECK(engine.process->start());
    engine.listen = engine.process->endpoint();
    engine.proxy->setTarget(engine.listen);
    if (engine.hasLinkFault)
        recordLinkFault(engine);
    publishRecord(index);
    return {};
}

void SoakFleet::recordLinkFault(const Engine &engine)
{
    if (!engine.process)
        return;
    auto &faults = m_record.serverLinkFaults[engine.process->options().id];
    const TimePoint now = MonotonicClock::now();
    const bool isRecorded = !faults.empty() && faults.back().to == TimePoint::max();
    if (engine.hasLinkFault && !isRecorded)
        faults.push_back({now});
    else if (!engine.hasLinkFault && isRecorded)
        faults.back().to = now;
}

void SoakFleet::publishRecord(std::size_t index)
{
    const Engine &engine = m_engines[index];
    if (engine.process)
        m_store.put(engine.process->recordKey(), engine.process->recordJson(engine.isDraining));
}

void SoakFleet::recordStoreFault()
{
    const TimePoint now = MonotonicClock::now();
    m_record.storeFaults.push_back({now, now});
}

void SoakFleet::refuseStoreCalls(int calls)
{
    recordStoreFault();
    m_store.rejectNextCalls += calls;
}

void SoakFleet::compactStore()
{
    recordStoreFault();
    m_store.compact();
}

void SoakFleet::restoreStore()
{
    recordStoreFault();
    m_store.restore();
    schedule(m_rewriteTimer, RewriteDelay, [this] { rewriteStore(); });
}

void SoakFleet::rewriteStore()
{
    publishConfiguration();
    m_store.put(standin::VersionKey, standin::versionJson(m_version));
    std::set<std::string> running;
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
        if (!m_engines[i].process)
            continue;
        running.insert(m_engines[i].process->recordKey());
        publishRecord(i);
    }
    for (const std::string &key : m_store.keys(standin::ServerPrefix)) {
        if (!running.contains(key))
            m_store.remove(key);
    }
}

void SoakFleet::removeEngine(std::size_t index, bool isRecordKept)
{
    Engine &engine = m_engines[index];
    const std::string key = engine.process->recordKey();
    keepStaged(engine);
    engine.process.reset();
    if (!isRecordKept) {
        m_store.remove(key);
        schedule(engine.timer, EngineDowntime, [this, index] { restartEngine(index); });
        return;
    }
    schedule(engine.timer, RecordExpiry, [this, index, key] {
        m_store.remove(key);
        schedule(m_engines[index].timer, EngineDowntime, [this, index] { restartEngine(index); });
    });
}

void SoakFleet::keepStaged(Engine &engine)
{
    engine.staged = engine.process->options().stagedPieces;
    engine.orderFault = engine.process->options().orderFault;
    // The next process keeps the staged pieces but serves no version until it has loaded them.
    engine.version = 0;
}

void SoakFleet::restartEngine(std::size_t index)
{
    const auto started = capture([&]() -> Result<bool> {
        BOOST_LEAF_CHECK(startEngine(index));
        return true;
    });
    if (const auto *error = std::get_if<Error>(&started)) {
        m_record.problems.push_back("bench: " + toString(*error));
        m_engines[index].process.reset();
    }
}

void SoakFleet::crashEngine(std::size_t engine)
{
    if (m_engines[engine].process && !m_engines[engine].isDraining)
        removeEngine(engine, true);
}

void SoakFleet::drainEngine(std::size_t index)
{
    Engine &engine = m_engines[index];
    if (!engine.process || engine.isDraining)
        return;
    engine.isDraining = true;
    publishRecord(index);
    schedule(engine.timer, DrainTime, [this, index] { removeEngine(index, false); });
}

void SoakFleet::leaveEngine(std::size_t index)
{
    Engine &engine = m_engines[index];
    // A timer of the engine is set while it drains.
    if (!engine.process || engine.timer)
        return;
    engine.process->setLeaving();
    schedule(engine.timer, DrainTime, [this, index] { removeEngine(index, false); });
}

void SoakFleet::replaceEngine(std::size_t index)
{
    Engine &engine = m_engines[index];
    // A timer of the engine is set while it is down or drains.
    if (!engine.process || engine.timer || engine.expiry)
        return;
    const std::string key = engine.process->recordKey();
    keepStaged(engine);
    engine.process.reset();
    restartEngine(index);
    schedule(engine.expiry, RecordExpiry, [this, key] { m_store.remove(key); });
}

void SoakFleet::setRejectInterval(std::size_t engine, std::size_t interval)
{
    if (m_engines[engine].process)
        m_engines[engine].process->setRejectInterval(interval);
}

void SoakFleet::setRetryAfter(std::size_t engine, const std::optional<std::string> &retryAfter)
{
    if (m_engines[engine].process)
        m_engines[engine].process->setRetryAfter(retryAfter);
}

void SoakFleet::corruptEngine(std::size_t index, const std::vector<std::uint32_t> &pieces)
{
    Engine &engine = m_engines[index];
    if (engine.process)
        engine.process->corrupt(pieces);
    else
        standin::corruptPieces(engine.staged, pieces);
}

void SoakFleet::silenceEngine(std::size_t engine, Duration length)
{
    if (m_engines[engine].process)
        m_engines[engine].process->fallSilent(length);
}

void SoakFleet::silenceThenPause(std::size_t index, Duration silence, Duration pause)
{
    if (!m_engines[index].process)
        return;
    m_engines[index].process->pauseUntil(MonotonicClock::now() + pause);
    m_engines[index].process->fallSilent(silence);
}

void SoakFleet::setOrderFault(std::size_t index, const FleetEngineStandin::OrderFault &fault)
{
    Engine &engine = m_engines[index];
    if (engine.process)
        engine.process->setOrderFault(fault);
    else
        engine.orderFault = fault;
}

void SoakFleet::setEngineFault(std::size_t engine, const LinkFault &fault)
{
    m_engines[engine].proxy->setFault(fault);
    m_engines[engine].hasLinkFault = fault != LinkFault();
    recordLinkFault(m_engines[engine]);
}

void SoakFleet::resetEngine(std::size_t engine)
{
    m_engines[engine].proxy->resetConnections();
    if (m_engines[engine].process) {
        const TimePoint now = MonotonicClock::now();
        // In front, since a fault that has not ended must remain the last one.
        auto &faults = m_record.serverLinkFaults[m_engines[engine].process->options().id];
        faults.insert(faults.begin(), {now, now});
    }
}

bool SoakFleet::allEnginesCurrent() const
{
    return std::ranges::all_of(m_engines, [this](const Engine &it) {
        return it.process
               && (it.service != standin::ModelService || it.process->servedVersion() == m_version);
    });
}

void SoakFleet::publishVersion()
{
    m_store.put(standin::VersionKey, standin::versionJson(++m_version));
    m_record.versionTimes.try_emplace(m_version, MonotonicClock::now());
}

void SoakFleet::publishVersions(std::size_t count, Duration gap)
{
    publishVersion();
    if (count > 1)
        schedule(m_seriesTimer, gap, [this, count, gap] { publishVersions(count - 1, gap); });
}

void SoakFleet::silenceAtVersionEnd(std::size_t target, Duration length)
{
    if (m_versionTimer)
        return;
    publishVersion();
    setOriginFault({.holdReplies = true});
    for (std::size_t i = 0; i < modelEngineCount(); ++i) {
        const std::size_t spread = target * (i + 1) % SilenceSpreadMs;
        schedule(m_engines[i].versionEnd,
                 VersionChangeLimit - FirstSilence + std::chrono::milliseconds(spread),
                 [this, i, length] {
                     if (m_engines[i].process)
                         m_engines[i].process->silenceAtNextRun(length);
                 });
    }
    schedule(m_versionTimer, VersionChangeLimit + FetchDelay, [this] {
        setOriginFault({});
        schedule(m_versionTimer, LoadTime, [] {});
    });
}

void SoakFleet::publishConfiguration()
{
    m_store.put(standin::ConfigurationKey, standin::configurationJson(m_configuration));
}

void SoakFleet::changeConfiguration()
{
    auto &routes = m_configuration.addedRoutes;
    if (routes.size() == MaxAddedRoutes)
        routes.erase(routes.begin());
    else
        routes.insert("added-" + std::to_string(m_configuration.version));
    m_configuration.version += 3;
    auto &keys = m_configuration.customers.front().keys;
    const std::string revoked = keys.size() > 1 ? keys.back() : "";
    if (!revoked.empty())
        keys.pop_back();
    publishConfiguration();
    if (!revoked.empty())
        m_record.revokedKeys[revoked] = MonotonicClock::now();
}

std::string SoakFleet::settingsText(const Member &member) const
{
    const std::string own = address(member.isEntry ? EntryRole : HostRole, member.index);
    const std::string zone = zoneOf(member.index);
    std::ostringstream text;
    text << "role = \"" << (member.isEntry ? "entry" : "host") << "\"\nhost = \"" << member.name
         << "\"\nzone = \"" << zone << "\"\nregion = \"region-" << zone << "\"\nstore = \""
         << toString(member.store->endpoint()) << "\"\n";
    for (std::size_t i = 0; i < Zones; ++i)
        text << "[[zones]]\nid = \"" << zoneOf(i) << "\"\nregion = \"region-" << zoneOf(i)
             << "\"\n";
    text << "[listen]\npeers = \"" << own << ':' << PeerPort << "\"\nmetrics = \"" << own << ':'
         << MetricsPort << "\"\n";
    if (member.isEntry)
        text << "callers = \"" << own << ':' << CallerPort << "\"\nreadiness = \"" << own << ':'
             << ReadinessPort << "\"\n";
    text << "[bounds]\nleave_s = " << LeaveSeconds
         << "\nversion_change_ms = " << toMilliseconds(VersionChangeLimit)
         << "\nretry_slack = 100\n";
    if (!member.isEntry)
        text << "[engine]\nendpoint = \"" << toString(m_engines[member.index].listen)
             << "\"\nservice = \"" << standin::ModelService << "\"\n";
    return text.str();
}

Result<void> SoakFleet::addMember(bool isEntry, std::size_t index)
{
    Member &member = m_members.emplace_back();
    member.name = (isEntry ? "entry-" : "host-") + std::to_string(index);
    member.isEntry = isEntry;
    member.index = index;
    member.store = std::make_unique<TcpProxy>(m_io, m_store.endpoint());
    BOOST_LEAF_CHECK(member.store->listen({address(isEntry ? EntryRole : HostRole, index), 0}));
    startMember(m_members.size() - 1);
    return {};
}

void SoakFleet::startMember(std::size_t index)
{
    Member &member = m_members[index];
    const std::string file = m_options.folder + '/' + member.name + ".toml";
    std::ofstream(file) << settingsText(member);
    member.isExpected = false;
    member.isStopping = false;
    endPause(member);
    member.pauses = 0;
    if (member.isEntry)
        m_record.entryStarts.emplace_back(member.index, MonotonicClock::now());
    const auto started = capture([&] {
        return m_processes.start(member.name, m_options.programs + "/modules/apps/godwitd",
                                 {"--fleet", "--settings=" + file});
    });
    if (const auto *error = std::get_if<Error>(&started))
        m_record.problems.push_back("bench: " + toString(*error));
}

void SoakFleet::killProcess(std::size_t index)
{
    Member &member = m_members[index];
    member.isExpected = true;
    member.isStopping = false;
    m_processes.signal(member.name, SIGKILL);
}

void SoakFleet::stopProcess(std::size_t index)
{
    Member &member = m_members[index];
    if (member.isExpected || member.pauses > 0 || !m_processes.isRunning(member.name))
        return;
    member.isExpected = true;
    member.isStopping = true;
    member.stopAt = MonotonicClock::now();
    m_processes.signal(member.name, SIGTERM);
}

void SoakFleet::pauseProcess(std::size_t index)
{
    Member &member = m_members[index];
    if (++member.pauses == 1 && member.isEntry)
        m_record.entryPauses[member.index].push_back({MonotonicClock::now()});
    member.isStopping = false;
    m_processes.signal(member.name, SIGSTOP);
}

void SoakFleet::resumeProcess(std::size_t index)
{
    Member &member = m_members[index];
    if (member.pauses == 0 || --member.pauses > 0)
        return;
    m_processes.signal(member.name, SIGCONT);
    endPause(member);
}

void SoakFleet::endPause(const Member &member)
{
    const auto pauses = m_record.entryPauses.find(member.index);
    if (member.isEntry && pauses != m_record.entryPauses.end())
        pauses->second.back().to = std::min(pauses->second.back().to, MonotonicClock::now());
}

void SoakFleet::reloadProcess(std::size_t index)
{
    const Member &member = m_members[index];
    std::ofstream(m_options.folder + '/' + member.name + ".toml")
            << settingsText(member) << "# written again\n";
    m_processes.signal(member.name, SIGHUP);
}

void SoakFleet::setStoreFault(std::size_t process, const LinkFault &fault)
{
    // Both ends of a fault count.
    recordStoreFault();
    m_members[process].store->setFault(fault);
}

void SoakFleet::resetStore(std::size_t process)
{
    recordStoreFault();
    m_members[process].store->resetConnections();
}

void SoakFleet::checkProcesses()
{
    for (std::size_t i = 0; i < m_members.size(); ++i) {
        Member &member = m_members[i];
        if (member.restart)
            continue;
        if (!m_processes.isRunning(member.name)) {
            handleMemberExit(i);
            continue;
        }
        const Duration stopping = MonotonicClock::now() - member.stopAt;
        // The platform also kills a process that does not exit in time.
        if (member.isStopping && stopping > std::chrono::seconds(LeaveSeconds)) {
            m_record.problems.push_back(member.name + " did not exit in time after SIGTERM");
            killProcess(i);
        }
    }
}

void SoakFleet::handleMemberExit(std::size_t index)
{
    Member &member = m_members[index];
    const int status = m_processes.status(member.name);
    const bool isClean = WIFEXITED(status) && WEXITSTATUS(status) == 0;
    if (!member.isExpected || (member.isStopping && !isClean))
        m_record.problems.push_back(member.name + " exited with wait status "
                                    + std::to_string(status));
    schedule(member.restart, RestartDelay, [this, index] { startMember(index); });
}

void SoakFleet::clearFaults()
{
    for (std::size_t i = 0; i < m_members.size(); ++i) {
        m_members[i].store->setFault({});
        while (m_members[i].pauses > 0)
            resumeProcess(i);
    }
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
        setEngineFault(i, {});
        setRetryAfter(i, std::nullopt);
        setRejectInterval(i, 0);
        m_engines[i].orderFault.reset();
        if (m_engines[i].process) {
            m_engines[i].process->setOrderFault(std::nullopt);
            m_engines[i].process->endSilence();
        }
    }
    m_originProxy.setFault({});
    m_originFails = false;
    m_seriesTimer.reset();
    m_store.rejectNextCalls = 0;
}

void SoakFleet::schedule(std::unique_ptr<boost::asio::steady_timer> &timer, Duration delay,
                         std::function<void()> step)
{
    timer = std::make_unique<boost::asio::steady_timer>(m_io, delay);
    timer->async_wait([&timer, own = timer.get(),
                       step = std::move(step)](const boost::system::error_code &ec) {
        // A timer may have expired just before it was replaced.
        if (ec || timer.get() != own)
            return;
        const auto ended = std::move(timer);
        step();
    });
}

} // namespace godwit
