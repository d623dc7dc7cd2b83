#pragma once

#include "processgroup.h"
#include "synchttp.h"

#include <godwit/language/operatorrequest.h>
#include <godwit/ports/enginestate.h>
#include <godwit/ports/hostlist.h>
#include <godwit/standin/engineledger.h>
#include <godwit/standin/plainservicestandin.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace godwit {

/// Size, rates and folders of a Fleet.
struct FleetOptions
{
    std::string programs; ///< Build folder with godwitd and godwit-standins.
    std::string folder;   ///< For settings and logs.
    std::size_t entries = 3;
    std::size_t hosts = 24;
    std::size_t bookingHosts = 3; ///< Number of hosts that also run a booking service.
    std::uint64_t modelBytes = 24UL * 1024 * 1024;
    std::uint32_t chunkBytes = 256 * 1024;
    double windowSeconds =
            8; ///< Time in which the origin link carries 4 model copies, a host link 2.
    bool isFencingChecked = true;
    std::size_t enginesPerHost = 1;
    std::uint64_t engineSlots = 8;
    double tokensPerSecond = 100;
    double prefillTokensPerSecond = 5000;
    std::string loadedVersion; ///< Version that the engines start with, if any.
    std::size_t standinThreads = 4;
};

/// Entry and host processes in three zones, with all stand-ins, on loopback addresses. The zones
/// are named like those of a small site.
class Fleet
{
public:
    explicit Fleet(FleetOptions options);

    /// Starts the stand-ins, uploads the weights of \a versions to them and starts all processes.
    Result<void> start(const std::vector<std::string> &versions);

    /// Sends a statement of the operator language to entry process \a index with a new operation
    /// id. Returns the reply body, or the error as text.
    std::string sendStatement(std::size_t index, const std::string &statement);

    /// Sets the time of \a request to now and sends it to entry process \a index. Returns the reply
    /// body, or the error as text. Thread-safe.
    std::string send(std::size_t index, OperatorRequest request);

    /// Operation id of the latest sendStatement().
    std::string lastOperationId() const { return "bench-" + std::to_string(m_nextOperation - 1); }

    std::string createVersionStatement(const std::string &version) const;

    void startHost(std::size_t index);
    void startEntry(std::size_t index);

    HttpEndpoint entry(std::size_t index) const;
    HttpEndpoint engine(std::size_t index) const { return m_standins.at(engineName(index)); }
    std::vector<EngineState> engineStates();
    std::vector<standin::EngineLedger> engineLedgers();
    std::vector<std::vector<standin::PlainRun>> bookingLedgers();
    std::uint64_t originBytes();
    std::string hostMetrics(std::size_t host);
    std::string entryMetrics(std::size_t entry);
    bool setFault(const std::string &standin, const standin::Fault &fault);

    /// Value of \a key in the key-value service, or empty if it does not exist or the read fails.
    /// The read is subject to injected faults.
    std::string keyValue(const std::string &key);

    bool setHosts(const std::map<std::size_t, HostState> &states);

    ProcessGroup &processes() { return m_processes; }
    const FleetOptions &options() const { return m_options; }
    static std::string hostName(std::size_t index) { return "host-" + std::to_string(index); }
    static std::string entryName(std::size_t index) { return "entry-" + std::to_string(index); }
    static std::string engineName(std::size_t index) { return "engine-" + std::to_string(index); }

private:
    Result<void> startStandins();
    void uploadWeights(const std::vector<std::string> &versions);
    void writeScenario() const;
    std::string settingsText(bool isEntry, std::size_t index) const;
    void startDaemon(bool isEntry, std::size_t index);
    std::string hostAddress(std::size_t index) const;
    std::string entryAddress(std::size_t index) const;
    boost::json::array hostListJson(const std::map<std::size_t, HostState> &states) const;

    FleetOptions m_options;
    ProcessGroup m_processes;
    SyncHttp m_http;
    std::uint16_t m_peerPort;
    std::map<std::string, HttpEndpoint> m_standins;
    std::map<std::string, std::string> m_manifests; ///< Manifest digests by version.
    std::uint64_t m_nextOperation = 1;
};

} // namespace godwit
