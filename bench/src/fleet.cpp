#include "fleet.h"

#include <godwit/base/rendezvous.h>
#include <godwit/language/operatorrequest.h>
#include <godwit/ports/base64.h>
#include <godwit/standin/objectstandin.h>
#include <godwit/weights/manifest.h>

#include <unistd.h>

#include <array>
#include <chrono>
#include <fstream>
#include <sstream>
#include <thread>

namespace godwit {

namespace {

constexpr std::array<const char *, 3> Zones{"erie-south", "huron-west", "michigan-east"};
constexpr std::array<const char *, 3> Regions{"erie", "huron", "michigan"};
constexpr std::chrono::seconds StartLimit{60};
constexpr double BitsPerByte = 8;

std::int64_t wallMilliseconds()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

std::string readFile(const std::string &file)
{
    std::ifstream in(file, std::ios::binary);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

Manifest manifestOf(const std::string &bytes, const std::string &version, std::uint32_t chunkBytes)
{
    Manifest manifest;
    manifest.deployment = DeploymentId("assistant");
    manifest.model = ModelId("grain");
    manifest.version = VersionId(version);
    manifest.totalBytes = bytes.size();
    manifest.chunkBytes = chunkBytes;
    manifest.content = Digest::of(bytes);
    for (std::size_t offset = 0; offset < bytes.size(); offset += chunkBytes)
        manifest.chunks.push_back(Digest::of(std::string_view(bytes).substr(offset, chunkBytes)));
    return manifest;
}

} // namespace

Fleet::Fleet(FleetOptions options)
    : m_options(std::move(options))
    , m_processes(m_options.folder)
    // Every process has its own address, so all of them share one peer port. Deriving the port from
    // the process id makes collisions between fleets on one machine unlikely.
    , m_peerPort(static_cast<std::uint16_t>(20'000 + getpid() % 10'000))
{}

std::string Fleet::hostAddress(std::size_t index) const
{
    return "127.0.1." + std::to_string(index + 1);
}

std::string Fleet::entryAddress(std::size_t index) const
{
    return "127.0.2." + std::to_string(index + 1);
}

HttpEndpoint Fleet::entry(std::size_t index) const
{
    return {entryAddress(index), static_cast<std::uint16_t>(m_peerPort + 1)};
}

boost::json::array Fleet::hostListJson(const std::map<std::size_t, HostState> &states) const
{
    boost::json::array rows;
    for (std::size_t i = 0; i < m_options.hosts; ++i) {
        const auto it = states.find(i);
        const ListedHost host{HostId(hostName(i)), ZoneId(Zones[i % Zones.size()]), hostAddress(i),
                              it == states.end() ? HostState::Live : it->second};
        rows.push_back(toJson(host));
    }
    for (std::size_t i = 0; i < m_options.entries; ++i) {
        const ListedHost host{HostId(entryName(i)), ZoneId(Zones[i % Zones.size()]),
                              entryAddress(i), HostState::Live};
        rows.push_back(toJson(host));
    }
    return rows;
}

void Fleet::writeScenario() const
{
    boost::json::array engines;
    boost::json::array services;
    const ModelPin pin{ModelId(m_options.loadedVersion.empty() ? "" : "grain"),
                       {},
                       VersionId(m_options.loadedVersion)};
    for (std::size_t i = 0; i < m_options.hosts * m_options.enginesPerHost; ++i)
        engines.push_back({{"name", engineName(i)},
                           {"pin", toJson(pin)},
                           {"check_fencing", m_options.isFencingChecked},
                           {"slots", m_options.engineSlots},
                           {"tokens_per_second", m_options.tokensPerSecond},
                           {"prefill_tokens_per_second", m_options.prefillTokensPerSecond},
                           {"load_lag_us", 300'000},
                           {"cache_event_delay_us", 500'000},
                           {"poison", "POISON"},
                           {"seed", i + 1}});
    for (std::size_t i = 0; i < m_options.bookingHosts; ++i)
        services.push_back({{"name", "booking-" + std::to_string(i)},
                            {"service_time_us", 50'000},
                            {"seed", i + 1}});
    const double originRate =
            4 * static_cast<double>(m_options.modelBytes) / m_options.windowSeconds;
    const boost::json::object scenario{
            {"key_value", boost::json::array{{{"name", "key-value"}}}},
            {"host_list",
             boost::json::array{
                     {{"name", "host-list"}, {"hosts", hostListJson({})}, {"lag_us", 1'000'000}}}},
            {"object_store",
             boost::json::array{{{"name", "origin"}, {"bytes_per_second", originRate}},
                                {{"name", "weight-store"}}}},
            {"engine", engines},
            {"plain_service", services}};
    std::ofstream(m_options.folder + "/scenario.json") << boost::json::serialize(scenario);
}

Result<void> Fleet::startStandins()
{
    writeScenario();
    const std::string ports = m_options.folder + "/ports.json";
    BOOST_LEAF_CHECK(m_processes.start("standins", m_options.programs + "/standins/godwit-standins",
                                       {"--scenario=" + m_options.folder + "/scenario.json",
                                        "--ports_file=" + ports,
                                        "--threads=" + std::to_string(m_options.standinThreads)}));
    const auto limit = std::chrono::steady_clock::now() + StartLimit;
    while (readFile(ports).empty()) {
        if (!m_processes.isRunning("standins") || std::chrono::steady_clock::now() > limit)
            return fail(ResultCode::CommandLineInvalid, "the stand-ins did not start");
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    using Addresses = std::map<std::string, std::string>;
    BOOST_LEAF_AUTO(addresses, parseJson<Addresses>(readFile(ports)));
    for (const auto &[name, address] : addresses) {
        BOOST_LEAF_AUTO(endpoint, parseHttpEndpoint(address));
        m_standins[name] = endpoint;
    }
    return {};
}

void Fleet::uploadWeights(const std::vector<std::string> &versions)
{
    for (std::size_t i = 0; i < versions.size(); ++i) {
        std::string bytes = standin::generateBytes(m_options.modelBytes, i + 1);
        const Manifest manifest = manifestOf(bytes, versions[i], m_options.chunkBytes);
        const std::string name = "grain/base/" + versions[i];
        m_http.put(m_standins["origin"], "/_standin/objects/" + name, std::move(bytes));
        m_http.put(m_standins["weight-store"], "/_standin/manifests/" + name, toJsonText(manifest));
        m_manifests[versions[i]] = manifest.digest().toHex();
    }
}

std::string Fleet::settingsText(bool isEntry, std::size_t index) const
{
    const auto bits = [&](double copies) {
        return std::to_string(static_cast<std::uint64_t>(copies * BitsPerByte
                                                         * static_cast<double>(m_options.modelBytes)
                                                         / m_options.windowSeconds));
    };
    std::ostringstream out;
    out << "role = \"" << (isEntry ? "entry" : "host") << "\"\n"
        << "host = \"" << (isEntry ? entryName(index) : hostName(index)) << "\"\n"
        << "zone = \"" << Zones[index % Zones.size()] << "\"\n"
        << "region = \"" << Regions[index % Regions.size()] << "\"\n"
        << "origin_region = \"" << Regions[0] << "\"\n"
        << "shutdown_limit_ms = 20000\n"
        << "seeds = [\"" << entryAddress(0) << ':' << m_peerPort << "\", \"" << entryAddress(1)
        << ':' << m_peerPort << "\"]\n"
        << "[listen]\naddress = \"" << (isEntry ? entryAddress(index) : hostAddress(index))
        << "\"\npeer_port = " << m_peerPort << "\nadmin_port = " << m_peerPort + 2 << '\n';
    if (isEntry)
        out << "caller_port = " << m_peerPort + 1 << '\n';
    out << "[platform]\n";
    const std::array<std::pair<const char *, const char *>, 4> services{
            {{"key_value", "key-value"},
             {"host_list", "host-list"},
             {"weight_store", "weight-store"},
             {"origin", "origin"}}};
    for (const auto &[key, name] : services)
        out << key << " = \"" << toString(m_standins.at(name)) << "\"\n";
    out << "[links]\nupload_bits_per_second = " << bits(2)
        << "\ndownload_bits_per_second = " << bits(2) << "\norigin_bits_per_second = " << bits(4)
        << "\ninter_region_bits_per_second = " << bits(2) << '\n';
    for (std::size_t i = 0; i < Zones.size(); ++i)
        out << "[[zones]]\nid = \"" << Zones[i] << "\"\nregion = \"" << Regions[i] << "\"\n";
    if (isEntry)
        return out.str();
    for (std::size_t i = 0; i < m_options.enginesPerHost; ++i) {
        const std::string name = engineName(index * m_options.enginesPerHost + i);
        out << "[[backend]]\nid = \"" << name << "\"\nkind = \"engine\"\nendpoint = \""
            << toString(m_standins.at(name))
            << "\"\nchecks_fencing = " << (m_options.isFencingChecked ? "true" : "false") << '\n';
    }
    if (index < m_options.bookingHosts)
        out << "[[backend]]\nid = \"booking-" << index
            << "\"\nkind = \"plain\"\ndeployment = \"booking\"\nendpoint = \""
            << toString(m_standins.at("booking-" + std::to_string(index))) << "\"\n";
    return out.str();
}

void Fleet::startDaemon(bool isEntry, std::size_t index)
{
    const std::string name = isEntry ? entryName(index) : hostName(index);
    const std::string file = m_options.folder + '/' + name + ".toml";
    std::ofstream(file) << settingsText(isEntry, index);
    (void)capture([&] {
        return m_processes.start(name, m_options.programs + "/modules/apps/godwitd",
                                 {"--settings=" + file});
    });
}

void Fleet::startHost(std::size_t index)
{
    startDaemon(false, index);
}

void Fleet::startEntry(std::size_t index)
{
    startDaemon(true, index);
}

Result<void> Fleet::start(const std::vector<std::string> &versions)
{
    BOOST_LEAF_CHECK(startStandins());
    uploadWeights(versions);
    for (std::size_t i = 0; i < m_options.entries; ++i)
        startEntry(i);
    for (std::size_t i = 0; i < m_options.hosts; ++i)
        startHost(i);
    return {};
}

std::string Fleet::sendStatement(std::size_t index, const std::string &statement)
{
    OperatorRequest request;
    request.statement = statement;
    request.operation = OperationId("bench-" + std::to_string(m_nextOperation++));
    request.who = "bench";
    return send(index, std::move(request));
}

std::string Fleet::send(std::size_t index, OperatorRequest request)
{
    request.when = wallMilliseconds();
    HttpCall call;
    call.endpoint = entry(index);
    call.method = "POST";
    call.target = "/v1/commands";
    call.body = toJsonText(request);
    call.idleTimeout = std::chrono::seconds(15);
    const auto outcome = m_http.call(std::move(call));
    return succeeded(outcome) ? std::get<0>(outcome).body : toString(std::get<1>(outcome));
}

std::string Fleet::createVersionStatement(const std::string &version) const
{
    return "create version " + version + " of model grain manifest " + m_manifests.at(version)
           + " size " + std::to_string(m_options.modelBytes);
}

std::vector<EngineState> Fleet::engineStates()
{
    std::vector<EngineState> states(m_options.hosts);
    for (std::size_t i = 0; i < m_options.hosts; ++i) {
        auto state = capture([&] {
            return parseJson<EngineState>(m_http.get(m_standins[engineName(i)], "/admin/state"));
        });
        if (succeeded(state))
            states[i] = std::move(std::get<0>(state));
    }
    return states;
}

std::vector<standin::EngineLedger> Fleet::engineLedgers()
{
    std::vector<standin::EngineLedger> ledgers;
    for (std::size_t i = 0; i < m_options.hosts; ++i) {
        auto ledger = capture([&] {
            return parseJson<standin::EngineLedger>(
                    m_http.get(m_standins[engineName(i)], "/_standin/ledger"));
        });
        ledgers.push_back(succeeded(ledger) ? std::move(std::get<0>(ledger))
                                            : standin::EngineLedger{});
    }
    return ledgers;
}

std::vector<std::vector<standin::PlainRun>> Fleet::bookingLedgers()
{
    std::vector<std::vector<standin::PlainRun>> ledgers;
    for (std::size_t i = 0; i < m_options.bookingHosts; ++i) {
        auto ledger = capture([&] {
            return parseJson<std::vector<standin::PlainRun>>(
                    m_http.get(m_standins["booking-" + std::to_string(i)], "/_standin/ledger"));
        });
        ledgers.push_back(succeeded(ledger) ? std::move(std::get<0>(ledger))
                                            : std::vector<standin::PlainRun>{});
    }
    return ledgers;
}

std::uint64_t Fleet::originBytes()
{
    using Counts = std::map<std::string, std::uint64_t>;
    const auto counts = capture([&] {
        return parseJson<Counts>(m_http.get(m_standins["origin"], "/_standin/counts"));
    });
    if (!succeeded(counts))
        return 0;
    const auto it = std::get<0>(counts).find("object_bytes");
    return it == std::get<0>(counts).end() ? 0 : it->second;
}

std::string Fleet::hostMetrics(std::size_t host)
{
    return m_http.get({hostAddress(host), static_cast<std::uint16_t>(m_peerPort + 2)}, "/metrics");
}

std::string Fleet::entryMetrics(std::size_t entry)
{
    return m_http.get({entryAddress(entry), static_cast<std::uint16_t>(m_peerPort + 2)},
                      "/metrics");
}

bool Fleet::setFault(const std::string &standin, const standin::Fault &fault)
{
    HttpCall call;
    call.endpoint = m_standins[standin];
    call.method = "POST";
    call.target = "/_standin/faults";
    call.body = toJsonText(std::vector<standin::Fault>{fault});
    const auto outcome = m_http.call(std::move(call));
    return succeeded(outcome) && std::get<0>(outcome).status / 100 == 2;
}

std::string Fleet::keyValue(const std::string &key)
{
    HttpCall call;
    call.endpoint = m_standins["key-value"];
    call.method = "POST";
    call.target = "/v3/kv/range";
    call.body = boost::json::serialize(boost::json::object{{"key", base64Encode(key)}});
    const auto outcome = m_http.call(std::move(call));
    if (!succeeded(outcome))
        return {};
    boost::json::error_code ec;
    const auto reply = boost::json::parse(std::get<0>(outcome).body, ec);
    if (ec)
        return {};
    const auto *value = reply.find_pointer("/kvs/0/value", ec);
    if (!value || !value->is_string())
        return {};
    return base64Decode(std::string(value->get_string())).value_or(std::string());
}

bool Fleet::setHosts(const std::map<std::size_t, HostState> &states)
{
    return m_http.put(m_standins["host-list"], "/_standin/hosts",
                      boost::json::serialize(hostListJson(states)));
}

} // namespace godwit
