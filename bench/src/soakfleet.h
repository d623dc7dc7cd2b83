#pragma once

#include "processgroup.h"
#include "soakrecord.h"
#include "tcpproxy.h"

#include <godwit/standin/fleetstorestandin.h>

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace godwit {

/// Sizes and folders of a soak.
struct SoakOptions
{
    std::string programs; ///< Build folder with godwitd.
    std::string folder;   ///< For settings and logs.
    std::size_t entries = 3;
    std::size_t hosts = 4;
    std::size_t bookings = 2; ///< Backend servers of the booking service.
    std::size_t callers = 16;
    double seconds = 30; ///< In which faults begin.
    std::uint64_t seed = 1;
    bool timed = false; ///< The time until the fleet has recovered is judged as well.
};

/// Entry and host processes of `godwitd --fleet` on loopback addresses, with stand-ins of the
/// store, the backend servers and the origin of weights in this process. Each process reaches the
/// store, and others reach each backend server, through a proxy with faults.
class SoakFleet
{
public:
    SoakFleet(boost::asio::io_context &io, SoakOptions options, SoakRecord &record);
    ~SoakFleet();

    Result<void> start();

    std::size_t processCount() const { return m_members.size(); }
    std::size_t engineCount() const { return m_engines.size(); }
    HttpEndpoint entry(std::size_t index) const;
    HttpEndpoint readiness(std::size_t index) const;
    const standin::FleetConfiguration &configuration() const { return m_configuration; }

    void killProcess(std::size_t index); ///< It starts again after a short time.
    void stopProcess(std::size_t index); ///< SIGTERM; starts again when it has ended.
    void pauseProcess(std::size_t index);
    void resumeProcess(std::size_t index);
    void reloadProcess(std::size_t index);
    void setStoreFault(std::size_t process, const LinkFault &fault);
    void resetStore(std::size_t process);
    void refuseStoreCalls(int calls) { m_store.rejectNextCalls += calls; }
    void compactStore() { m_store.compact(); }
    void setEngineFault(std::size_t engine, const LinkFault &fault);
    void resetEngine(std::size_t engine);
    void crashEngine(std::size_t engine); ///< Another process of it comes back later.
    void drainEngine(std::size_t engine); ///< Likewise, after it has announced its end.
    void setOriginFault(const LinkFault &fault) { m_originProxy.setFault(fault); }
    void nameVersion();
    void changeConfiguration(); ///< Adds or removes a route, and may take away a key.

    /// Ends all faults; processes and engines that are away come back.
    void heal();

    /// Whether all engines serve the newest version.
    bool allEnginesCurrent() const;

    /// Notes processes that have ended by themselves. Called often.
    void watchProcesses();

private:
    struct Member
    {
        std::string name;
        bool isEntry = false;
        std::size_t index = 0;
        std::unique_ptr<TcpProxy> store;
        int pauses = 0;          ///< That have not ended.
        bool isExpected = false; ///< Its end was asked for.
        bool isStopping = false; ///< By SIGTERM, without any harm since.
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
        std::uint64_t version = 0;
        std::map<std::uint32_t, std::string> staged;
        std::unique_ptr<boost::asio::steady_timer> timer;
    };

    std::string address(int role, std::size_t index) const;
    std::string settingsText(const Member &member) const;
    Result<void> addMember(bool isEntry, std::size_t index);
    Result<void> addEngine(const std::string &service, std::size_t index);
    Result<void> startEngine(std::size_t index);
    Result<void> startOrigin();
    void startMember(std::size_t index);
    void memberEnded(std::size_t index);
    void removeEngine(std::size_t index, bool isRecordKept);
    void restartEngine(std::size_t index);
    void publishConfiguration();
    void publishRecord(std::size_t engine);
    void after(std::unique_ptr<boost::asio::steady_timer> &timer, Duration delay,
               std::function<void()> step);

    boost::asio::io_context &m_io;
    SoakOptions m_options;
    SoakRecord &m_record;
    ProcessGroup m_processes;
    FleetStoreStandin m_store;
    std::unique_ptr<HttpServer> m_origin;
    TcpProxy m_originProxy;
    std::vector<Member> m_members;
    std::vector<Engine> m_engines;
    standin::FleetConfiguration m_configuration;
    std::uint64_t m_version = 1;
};

} // namespace godwit
