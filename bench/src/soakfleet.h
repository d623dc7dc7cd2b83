#pragma once

#include "processgroup.h"
#include "soakrecord.h"
#include "tcpproxy.h"

#include <godwit/standin/fleetstorestandin.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace godwit {

/// Size, duration and folders of a soak.
struct SoakOptions
{
    std::string programs; ///< Build folder with godwitd.
    std::string folder;   ///< For settings and logs.
    std::size_t entries = 3;
    std::size_t hosts = 4;
    std::size_t bookingServers = 2; ///< Backend servers of the booking service.
    std::size_t callers = 16;
    double bookingShare = 0.25; ///< Of the requests of the callers.
    double seconds = 30;        ///< Period in which faults are started.
    std::uint64_t seed = 1;
    std::string faults; ///< Only kinds of faults whose names contain this; all if empty.
    bool timed = false; ///< Whether the recovery time is checked as well.
};

/// Entry and host processes of `godwitd --fleet` on loopback addresses, with in-process stand-ins
/// for the store, the backend servers and the weights origin. Each process connects to the store
/// through a TcpProxy of its own. The origin and each backend server are reached through their
/// proxies too, except that a host process connects to its own engine directly.
class SoakFleet
{
public:
    SoakFleet(boost::asio::io_context &io, SoakOptions options, SoakRecord &record);
    ~SoakFleet();

    Result<void> start();

    std::size_t processCount() const { return m_members.size(); }
    std::size_t engineCount() const { return m_engines.size(); }
    std::size_t modelEngineCount() const { return m_options.hosts; } ///< The first of all engines.
    HttpEndpoint entry(std::size_t index) const;
    HttpEndpoint readiness(std::size_t index) const;
    const standin::FleetConfiguration &configuration() const { return m_configuration; }

    void killProcess(std::size_t index); ///< SIGKILL; restarted after RestartDelay.
    void stopProcess(std::size_t index); ///< SIGTERM; restarted after it has exited.
    void pauseProcess(std::size_t index);
    void resumeProcess(std::size_t index);
    void reloadProcess(std::size_t index);
    void setStoreFault(std::size_t process, const LinkFault &fault);
    void resetStore(std::size_t process);
    void refuseStoreCalls(int calls);
    void compactStore();
    void copyStore() { m_store.copy(); }
    /// The store comes back from the last copy. What it lacks is written again after RewriteDelay.
    void restoreStore();
    void setEngineFault(std::size_t engine, const LinkFault &fault);
    void resetEngine(std::size_t engine);
    void crashEngine(std::size_t engine); ///< Replaced by a new process later.
    void drainEngine(std::size_t engine); ///< Announces its end first, then is replaced.
    /// Like drainEngine(), but only its responses state it; its record stays as it is.
    void leaveEngine(std::size_t engine);
    /// Another process listens at the address of the engine at once. The record of the earlier one
    /// stays for a while.
    void replaceEngine(std::size_t engine);
    void setRejectInterval(std::size_t engine, std::size_t interval);
    /// Turns requests at \a engine away with \a retryAfter until it is reset or replaced.
    void setRetryAfter(std::size_t engine, const std::optional<std::string> &retryAfter);
    /// The server falls silent for \a silence and turns requests away with the remaining time of
    /// \a pause, which begins now.
    void silenceThenPause(std::size_t engine, Duration silence, Duration pause);
    /// Changes a byte of some staged pieces, also while the engine is down.
    void corruptEngine(std::size_t engine, const std::vector<std::uint32_t> &pieces);
    void silenceEngine(std::size_t engine, Duration length);
    /// Applies \a fault to the next load order, also if the engine restarts before.
    void setOrderFault(std::size_t engine, const standin::FleetEngineStandin::OrderFault &fault);
    void setOriginFault(const LinkFault &fault) { m_originProxy.setFault(fault); }
    /// The origin answers each request with 503.
    void setOriginFailing(bool fails) { m_originFails = fails; }
    void publishVersion();
    /// Publishes \a count versions, \a gap apart. Ends an earlier series.
    void publishVersions(std::size_t count, Duration gap);
    /// Publishes a version that no host can fetch until its predecessors have ended. Each engine
    /// falls silent for \a length as it starts a request in the last seconds before that, at a time
    /// that depends on \a target. Does nothing while an earlier call is in effect.
    void silenceAtVersionEnd(std::size_t target, Duration length);
    void changeConfiguration(); ///< Adds or removes a route and may revoke a key.

    /// Ends all faults and resumes paused processes. Processes and engines that are down restart by
    /// their timers.
    void clearFaults();

    /// Whether all engines serve the newest version.
    bool allEnginesCurrent() const;

    /// Records unexpected exits, restarts exited processes and kills those that do not stop in
    /// time. Must be called frequently.
    void checkProcesses();

private:
    struct Member
    {
        std::string name;
        bool isEntry = false;
        std::size_t index = 0;
        std::unique_ptr<TcpProxy> store;
        int pauses = 0;          ///< Number of pauses in effect.
        bool isExpected = false; ///< Whether its exit was requested.
        bool isStopping = false; ///< After SIGTERM, without SIGKILL or SIGSTOP since.
        TimePoint stopAt;
        std::unique_ptr<boost::asio::steady_timer> restart;
    };
    struct Engine
    {
        std::unique_ptr<standin::FleetEngineStandin> process;
        std::unique_ptr<TcpProxy> proxy;
        HttpEndpoint listen;
        std::string service;
        std::string zone;
        int generation = 0;
        bool isDraining = false;
        bool hasLinkFault = false;
        std::uint64_t version = 0;
        standin::FleetStagedPieces staged; ///< While it is down, as is orderFault.
        std::optional<standin::FleetEngineStandin::OrderFault> orderFault;
        std::unique_ptr<boost::asio::steady_timer> timer;
        std::unique_ptr<boost::asio::steady_timer> expiry; ///< Of the record of a replaced process.
        std::unique_ptr<boost::asio::steady_timer> versionEnd; ///< To silenceAtNextRun().
    };

    /// Chooses a block of loopback addresses that no other soak uses.
    Result<void> reserveAddresses();
    std::string address(int role, std::size_t index) const;
    std::string settingsText(const Member &member) const;
    Result<void> addMember(bool isEntry, std::size_t index);
    Result<void> addEngine(const std::string &service, std::size_t index);
    Result<void> startEngine(std::size_t index);
    Result<void> startOrigin();
    void startMember(std::size_t index);
    /// Records that the pause of \a member has ended, if one was in effect.
    void endPause(const Member &member);
    void handleMemberExit(std::size_t index);
    void removeEngine(std::size_t index, bool isRecordKept);
    /// Keeps what the next process of \a engine takes over.
    static void keepStaged(Engine &engine);
    void recordStoreFault();
    /// Records that a fault of the connections to \a engine has begun or ended.
    void recordLinkFault(const Engine &engine);
    void restartEngine(std::size_t index);
    void publishConfiguration();
    void publishRecord(std::size_t engine);
    void rewriteStore();
    void schedule(std::unique_ptr<boost::asio::steady_timer> &timer, Duration delay,
                  std::function<void()> step);

    boost::asio::io_context &m_io;
    SoakOptions m_options;
    SoakRecord &m_record;
    ProcessGroup m_processes;
    FleetStoreStandin m_store;
    int m_addressBlock = 0; ///< Second number of all loopback addresses of this soak.
    boost::asio::ip::tcp::acceptor m_reservation; ///< Keeps other soaks out of the block.
    std::unique_ptr<boost::asio::steady_timer> m_rewriteTimer;
    std::unique_ptr<boost::asio::steady_timer> m_versionTimer; ///< Of silenceAtVersionEnd().
    std::unique_ptr<boost::asio::steady_timer> m_seriesTimer;  ///< Of publishVersions().
    std::unique_ptr<HttpServer> m_origin;
    TcpProxy m_originProxy;
    std::vector<Member> m_members;
    std::vector<Engine> m_engines;
    standin::FleetConfiguration m_configuration;
    std::uint64_t m_version = 1;
    bool m_originFails = false;
};

} // namespace godwit
