#pragma once

#include <godwit/base/time.h>
#include <godwit/ports/httpclient.h>
#include <godwit/ports/httpserver.h>
#include <godwit/standin/fleetstorestandin.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <sys/types.h>

#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// What the scripts of the second review share: a small deployment like those of gdz-cassette, on
/// loopback addresses, with the programs of this repository as separate processes.
namespace review {

using godwit::Duration;
using godwit::HttpEndpoint;
using godwit::HttpHeaders;
using godwit::HttpReply;
using godwit::HttpRequest;
using godwit::HttpResponse;
using godwit::TimePoint;

constexpr const char *LlmService = "draft-models";
constexpr const char *DeskService = "order-desk";
constexpr const char *OriginService = "works-admin";
constexpr const char *Model = "cuxa100000";
constexpr const char *Host = "cubo38.example";
constexpr const char *Key = "jnbanfqasnmgkcuyj8pj";
constexpr const char *Tenant = "bozi300";

/// Bounds of the site file.
constexpr Duration ContactTime = std::chrono::milliseconds(3000);

std::uint64_t wallMs();

/// An event of a stream of engine answers.
std::string streamEvent(std::uint64_t id);

/// Calls functions later. All of them are dropped with the object.
class Clock
{
public:
    explicit Clock(boost::asio::io_context &io)
        : m_io(io)
    {}
    void after(Duration delay, std::function<void()> function);

private:
    boost::asio::io_context &m_io;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

/// The deployment: store, processes, clients and the record of the run.
class Deployment
{
public:
    /// \a folder is that of the case, in which record.txt is written.
    Deployment(int argc, char **argv);
    ~Deployment();

    boost::asio::io_context &io() { return m_io; }
    Clock &clock() { return m_clock; }
    godwit::FleetStoreStandin &store() { return m_store; }
    godwit::HttpClient &client() { return m_client; }
    bool hasTrouble() const { return m_hasTrouble; }
    const std::string &folder() const { return m_temporary; }

    /// Address number \a index of this run.
    std::string address(int index) const;

    /// Time since the start of the run.
    TimePoint now() const { return godwit::MonotonicClock::now(); }
    double seconds() const;

    /// Adds a line to record.txt.
    void record(const std::string &line);

    /// Writes settings as deploy/settings.toml.in gives them and starts the program of
    /// deploy/system.toml.
    void startEntry(int index, const HttpEndpoint &store);
    void startHost(int index, const HttpEndpoint &store, const HttpEndpoint &engine,
                   const std::string &service = LlmService);
    HttpEndpoint entry(int index) const { return {address(10 + index), 8005}; }
    HttpEndpoint readiness(int index) const { return {address(10 + index), 8002}; }
    std::string hostAddress(int index) const { return address(100 + index); }
    void signal(const std::string &name, int number);
    bool isRunning(const std::string &name);
    /// Describes how a process ended; empty while it runs.
    std::string ending(const std::string &name);

    /// Writes op/config. The streaming route goes to \a llmService, which is one of \a llmServices.
    /// If \a addedRouteService is not empty, there is one more streaming route, which goes to it.
    void putConfiguration(std::uint64_t version, const HttpEndpoint &origin,
                          const std::vector<std::string> &keys,
                          const std::string &llmService = LlmService,
                          const std::vector<std::string> &llmServices = {LlmService},
                          const std::string &addedRouteService = {});

    /// Calls \a function when all \a entries say that they are ready.
    void whenReady(int entries, std::function<void()> function);

    /// Runs until stop(), for \a limit at most.
    void run(Duration limit);
    void stop() { m_io.stop(); }

    /// Writes the last lines of the record. Returns the exit code of the script.
    int finish(bool isBroken, const std::string &summary);

private:
    void start(const std::string &name, const std::string &settings);
    std::string commonSettings(const std::string &role, const std::string &name,
                               const std::string &own, const HttpEndpoint &store) const;

    boost::asio::io_context m_io;
    Clock m_clock;
    godwit::FleetStoreStandin m_store;
    godwit::HttpClient m_client;
    std::ofstream m_record;
    std::string m_temporary;
    bool m_hasTrouble = true;
    TimePoint m_startedAt;
    int m_block = 0;
    std::map<std::string, pid_t> m_processes;
    std::map<std::string, int> m_statuses;
    std::function<void(int)> m_pollReady;
};

/// Posts a request to a streaming or booking route and reports its end.
struct Answer
{
    int status = 0;          ///< 0: none.
    bool isComplete = false; ///< The answer has come whole.
    std::string body;
    std::string problem;
    std::string retryAfter;
};

godwit::HttpCall makeCall(const HttpEndpoint &entry, const std::string &path, const std::string &id,
                          std::string body, int deadlineMs);

std::shared_ptr<godwit::CallHandle> send(Deployment &deployment, godwit::HttpCall call,
                                         std::function<void(const Answer &)> done);

} // namespace review
