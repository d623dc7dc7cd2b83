#include "processgroup.h"
#include "synchttp.h"

#include <godwit/standin/fleetenginestandin.h>
#include <godwit/standin/fleetstorestandin.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <variant>
#include <vector>

using namespace godwit;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t CallerPort = 7001;
constexpr std::uint16_t PeerPort = 7003;
constexpr std::uint16_t BackendPort = 7005;
/// Limits of the machine, as the settings of the tested process state them.
constexpr std::size_t MachineMegabytes = 32;
constexpr std::size_t MachineDescriptors = 240;
constexpr std::size_t ClientConnections = 120;
constexpr std::size_t BytesPerMegabyte = 1'000'000;
/// More connections than the machine has descriptors.
constexpr std::size_t CrowdSize = 300;
/// Below the limit of 1,000,000 bytes in the configuration. The crowd's bodies have several times
/// the memory of the machine.
constexpr std::size_t LongBody = 900'000;
constexpr std::size_t OversizedBody = 20'000'000;
/// Bodies in chunks of one byte take six bytes each on the wire. Those of the crowd have more bytes
/// than the memory of the machine.
constexpr std::size_t TinyChunkBody = 150'000;
constexpr std::size_t LargeChunk = 64UL * 1024;
constexpr std::size_t SlowHead = 15'000;
/// One of this number of clients sends its request to the end.
constexpr std::size_t CompleteInterval = 10;
/// Ends a write to a process that does not read.
constexpr timeval WriteTimeout{2, 0};
constexpr Duration AnswerTimeout = std::chrono::seconds(60);
constexpr Duration RetryInterval = std::chrono::milliseconds(200);

// The allocator of a sanitizer takes a multiple of the memory. Its builds compare the growth since
// the process has started instead of the absolute value.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr bool ComparesGrowth = true;
#else
constexpr bool ComparesGrowth = false;
#endif

/// Peak resident memory of \a pid in bytes; 0 if the process does not exist.
std::size_t peakMemory(pid_t pid)
{
    constexpr std::size_t BytesPerUnit = 1024;
    std::ifstream in("/proc/" + std::to_string(pid) + "/status");
    for (std::string word; in >> word;) {
        std::size_t value = 0;
        if (word == "VmHWM:" && in >> value)
            return value * BytesPerUnit;
    }
    return 0;
}

std::size_t descriptorCount(pid_t pid)
{
    std::error_code ec;
    const std::filesystem::directory_iterator files("/proc/" + std::to_string(pid) + "/fd", ec);
    return static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

/// Bytes that have arrived at \a endpoint and that the process there has not read, from
/// /proc/net/tcp.
std::size_t unreadBytes(const HttpEndpoint &endpoint)
{
    in_addr address{};
    inet_pton(AF_INET, endpoint.address.c_str(), &address);
    std::array<char, 32> local{};
    std::snprintf(local.data(), local.size(), "%08X:%04X", address.s_addr, endpoint.port);
    std::size_t sum = 0;
    std::ifstream in("/proc/net/tcp");
    for (std::string line; std::getline(in, line);) {
        std::istringstream fields(line);
        std::string number;
        std::string from;
        std::string to;
        std::string state;
        std::string queues;
        fields >> number >> from >> to >> state >> queues;
        constexpr std::string_view Listening = "0A";
        if (from == local.data() && state != Listening)
            sum += std::stoul(queues.substr(queues.find(':') + 1), nullptr, 16);
    }
    return sum;
}

/// Connection of a client that need not read responses. The process may close it at any time.
class RawClient
{
public:
    explicit RawClient(const HttpEndpoint &endpoint)
        : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(endpoint.port);
        inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
        ::setsockopt(m_socket, SOL_SOCKET, SO_SNDTIMEO, &WriteTimeout, sizeof WriteTimeout);
        m_isOpen = ::connect(m_socket, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0;
    }
    ~RawClient() { ::close(m_socket); }
    RawClient(const RawClient &) = delete;
    RawClient &operator=(const RawClient &) = delete;

    /// Sends a request and returns the beginning of the response; empty if the connection ended.
    std::string exchange(std::string_view bytes)
    {
        send(bytes);
        std::string received(4096, '\0');
        const ssize_t n = m_isOpen ? ::recv(m_socket, received.data(), received.size(), 0) : 0;
        received.resize(static_cast<std::size_t>(std::max<ssize_t>(n, 0)));
        return received;
    }

    void send(std::string_view bytes)
    {
        while (m_isOpen && !bytes.empty()) {
            const ssize_t n = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            m_isOpen = n > 0;
            if (m_isOpen)
                bytes.remove_prefix(static_cast<std::size_t>(n));
        }
    }

private:
    int m_socket;
    bool m_isOpen = false;
};

/// The [limits] of a machine far below the smallest host.
std::string smallMachine()
{
    return "memory_mb = " + std::to_string(MachineMegabytes)
           + "\ndescriptors = " + std::to_string(MachineDescriptors)
           + "\nclient_connections = " + std::to_string(ClientConnections) + '\n';
}

/// A real entry process. The store and one backend server are simulated.
class EntryUnderTest
{
public:
    /// \a limits are the settings of the section [limits].
    explicit EntryUnderTest(std::string limits = smallMachine(), std::size_t bodyLimit = 1'000'000)
        : m_limits(std::move(limits))
        , m_folder("untrusted-clients-" + std::to_string(getpid()))
        , m_processes(m_folder)
        , m_store(m_io)
    {
        // A sanitizer would keep freed memory for a while otherwise, as if the process used it.
        constexpr const char *ReturnFreedMemory = "quarantine_size_mb=0:"
                                                  "thread_local_quarantine_size_kb=0:"
                                                  "allocator_release_to_os_interval_ms=0";
        ::setenv("ASAN_OPTIONS", ReturnFreedMemory, 0);
        std::filesystem::create_directories(m_folder);
        startBackend();
        standin::FleetConfiguration configuration;
        configuration.origin = "127.0.0.1:1";
        configuration.customers = {{"customer-0", {"key-0"}}};
        std::string text = standin::configurationJson(configuration);
        const std::string_view defaultLimit = "\"max_body_bytes\":1000000";
        const auto at = text.find(defaultLimit);
        REQUIRE(at != std::string::npos);
        text.replace(at, defaultLimit.size(), "\"max_body_bytes\":" + std::to_string(bodyLimit));
        m_store.put(standin::ConfigurationKey, text);
        m_thread = std::thread([this] { m_io.run(); });
        startProcess();
    }
    ~EntryUnderTest()
    {
        m_io.stop();
        m_thread.join();
        m_processes.signal(Name, SIGKILL);
    }

    HttpEndpoint endpoint() const { return {m_address, CallerPort}; }

    RawClient &connect()
    {
        m_crowd.push_back(std::make_unique<RawClient>(endpoint()));
        m_descriptors = std::max(m_descriptors, descriptorCount(m_pid));
        return *m_crowd.back();
    }

    /// Opens the connections of the whole crowd and has each client send its parts in turn.
    /// \a part returns what client \a i sends in \a round; empty if nothing.
    template <typename Function>
    void runCrowd(std::size_t rounds, Function part)
    {
        const std::size_t first = m_crowd.size();
        for (std::size_t i = 0; i < CrowdSize; ++i)
            connect();
        for (std::size_t round = 0; round < rounds; ++round) {
            for (std::size_t i = 0; i < CrowdSize; ++i)
                m_crowd[first + i]->send(part(i, round));
        }
        m_descriptors = std::max(m_descriptors, descriptorCount(m_pid));
    }

    /// Checks what must hold with any clients. The crowd is still connected.
    void check(std::size_t megabytes = MachineMegabytes,
               std::size_t descriptors = MachineDescriptors)
    {
        waitUntilRead();
        CHECK(answersOrdinaryRequest());
        REQUIRE(m_processes.isRunning(Name));
        const std::size_t before = ComparesGrowth ? m_idleMemory : 0;
        m_descriptors = std::max(m_descriptors, descriptorCount(m_pid));
        CHECK((peakMemory(m_pid) - before) / BytesPerMegabyte < megabytes);
        CHECK(m_descriptors < descriptors);
    }

private:
    static constexpr const char *Name = "entry";

    void startBackend()
    {
        standin::FleetEngineStandin::Options options;
        options.id = "e0";
        options.service = standin::BookingService;
        options.zone = "zone-0";
        options.listen = {m_address, BackendPort};
        options.address = options.listen;
        options.startTimeMs = 1;
        m_backend = std::make_unique<standin::FleetEngineStandin>(m_io, options, m_ledger, [] {});
        const auto started = capture([&]() -> Result<std::monostate> {
            BOOST_LEAF_CHECK(m_backend->start());
            return std::monostate();
        });
        REQUIRE(succeeded(started));
        m_store.put(m_backend->recordKey(), m_backend->recordJson(false));
    }

    void startProcess()
    {
        const std::string file = m_folder + "/entry.toml";
        std::ofstream(file) << "role = \"entry\"\nhost = \"entry-0\"\nzone = \"zone-0\"\n"
                            << "region = \"region-0\"\nstore = \"" << toString(m_store.endpoint())
                            << "\"\n[listen]\npeers = \"" << m_address << ':' << PeerPort
                            << "\"\ncallers = \"" << m_address << ':' << CallerPort
                            << "\"\n[bounds]\nretry_slack = 100\n[limits]\n"
                            << m_limits;
        const auto started = capture([&] {
            return m_processes.start(Name, GODWITD_PROGRAM, {"--fleet", "--settings=" + file});
        });
        REQUIRE(succeeded(started));
        m_pid = std::get<0>(started);
        REQUIRE(answersOrdinaryRequest());
        m_idleMemory = peakMemory(m_pid);
    }

    /// Waits until the process has read what the crowd has sent, except what it leaves unread.
    void waitUntilRead() const
    {
        constexpr int UnchangedReadings = 5;
        std::size_t last = unreadBytes(endpoint());
        for (int unchanged = 0; unchanged < UnchangedReadings && last > 0; ++unchanged) {
            std::this_thread::sleep_for(RetryInterval);
            const std::size_t unread = unreadBytes(endpoint());
            if (unread != last)
                unchanged = 0;
            last = unread;
        }
    }

    bool answersOrdinaryRequest()
    {
        const auto end = std::chrono::steady_clock::now() + AnswerTimeout;
        while (std::chrono::steady_clock::now() < end && m_processes.isRunning(Name)) {
            standin::FleetAttempt attempt;
            attempt.id = "ordinary-" + std::to_string(++m_attempts);
            attempt.kind = standin::FleetRequestKind::Booking;
            attempt.key = "key-0";
            attempt.deadlineMs = 5000;
            // A client of its own, because a connection of an earlier request may have been closed.
            SyncHttp client;
            const auto outcome = client.call(standin::makeFleetCall(endpoint(), attempt));
            if (succeeded(outcome) && std::get<0>(outcome).status == 200)
                return true;
            std::this_thread::sleep_for(RetryInterval);
        }
        return false;
    }

    std::string m_limits;
    std::string m_folder;
    std::string m_address = "127." + std::to_string(20 + getpid() % 200) + ".9.1";
    ProcessGroup m_processes;
    boost::asio::io_context m_io;
    standin::FleetLedger m_ledger;
    FleetStoreStandin m_store;
    std::unique_ptr<standin::FleetEngineStandin> m_backend;
    std::thread m_thread;
    pid_t m_pid = -1;
    std::size_t m_idleMemory = 0;
    std::size_t m_descriptors = 0; ///< Most that were seen.
    std::size_t m_attempts = 0;
    std::vector<std::unique_ptr<RawClient>> m_crowd;
};

std::string head(const std::string &framing)
{
    return "POST /book/x HTTP/1.1\r\nHost: soak.example\r\nX-Attempt-Id: crowd\r\n"
           "X-Deadline-Ms: 5000\r\nAuthorization: Token key-0\r\n"
           + framing + "\r\n\r\n";
}

std::string chunkedHead()
{
    return head("Transfer-Encoding: chunked");
}

std::string headWithLength(std::size_t length)
{
    return head("Content-Length: " + std::to_string(length));
}

/// Returns \a count bytes of body in chunks of \a size bytes, without the last chunk.
std::string chunks(std::size_t count, std::size_t size)
{
    std::ostringstream text;
    for (std::size_t n = 0; n < count; n += size) {
        const std::size_t length = std::min(size, count - n);
        text << std::hex << length << "\r\n" << std::string(length, 'x') << "\r\n";
    }
    return text.str();
}

constexpr std::string_view LastChunk = "0\r\n\r\n";

bool isComplete(std::size_t client)
{
    return client % CompleteInterval == 0;
}

/// Sends bodies of \a text, which lack only their last chunk, in pieces.
void sendChunkedBodies(EntryUnderTest &entry, const std::string &text)
{
    constexpr std::size_t Pieces = 8;
    const std::size_t size = text.size() / Pieces + 1;
    const std::string start = chunkedHead();
    entry.runCrowd(Pieces + 2, [&](std::size_t client, std::size_t round) -> std::string_view {
        if (round == 0)
            return start;
        if (round <= Pieces)
            return std::string_view(text).substr((round - 1) * size, size);
        return isComplete(client) ? LastChunk : std::string_view();
    });
}

} // namespace

// Each test guards against a process that holds whatever its clients send, and exceeds the memory
// or the descriptors of its machine.

TEST_CASE("Entry process bounds the memory of bodies in large chunks")
{
    EntryUnderTest entry;
    sendChunkedBodies(entry, chunks(LongBody, LargeChunk));
    entry.check();
}

TEST_CASE("Entry process bounds the memory of bodies in chunks of one byte")
{
    EntryUnderTest entry;
    sendChunkedBodies(entry, chunks(TinyChunkBody, 1));
    entry.check();
}

TEST_CASE("Entry process bounds the resources of announced bodies over the limit")
{
    EntryUnderTest entry;
    const std::string start = headWithLength(OversizedBody);
    const std::string part(LargeChunk, 'x');
    constexpr std::size_t Rounds = 8;
    entry.runCrowd(Rounds, [&](std::size_t, std::size_t round) -> std::string_view {
        return round == 0 ? start : part;
    });
    entry.check();
}

TEST_CASE("Entry process bounds the resources of chunked bodies over the limit")
{
    EntryUnderTest entry;
    const std::string start = chunkedHead();
    const std::string part = chunks(LongBody / 4, LargeChunk);
    constexpr std::size_t Rounds = 8;
    entry.runCrowd(Rounds, [&](std::size_t, std::size_t round) -> std::string_view {
        return round == 0 ? start : part;
    });
    entry.check();
}

TEST_CASE("Entry process bounds the memory of long bodies within the limit")
{
    const bool inPieces = GENERATE(false, true);
    EntryUnderTest entry;
    const std::string start = headWithLength(LongBody);
    const std::size_t rounds = inPieces ? 16 : 1;
    const std::string part((LongBody - 1) / rounds, 'x');
    const std::string rest(LongBody - part.size() * rounds, 'x');
    entry.runCrowd(rounds + 2, [&](std::size_t client, std::size_t round) -> std::string_view {
        if (round == 0)
            return start;
        if (round <= rounds)
            return part;
        return isComplete(client) ? rest : std::string_view();
    });
    entry.check();
}

TEST_CASE("Entry process bounds the resources of slow heads beside long bodies")
{
    EntryUnderTest entry;
    const std::string slowHead =
            "POST /book/x HTTP/1.1\r\nHost: soak.example\r\nX-Fill: " + std::string(SlowHead, 'x');
    const std::string lookup = "GET /look/x HTTP/1.1\r\nHost: soak.example\r\nX-Attempt-Id: crowd"
                               "\r\nX-Deadline-Ms: 5000\r\nAuthorization: Token key-0\r\n\r\n";
    std::string pipelined;
    for (std::size_t i = 0; i < 100; ++i)
        pipelined += lookup;
    const std::string body = chunkedHead() + chunks(LongBody, LargeChunk);
    entry.runCrowd(1, [&](std::size_t client, std::size_t) -> std::string_view {
        const std::array<std::string_view, 4> kinds{slowHead, pipelined, body, {}};
        return kinds[client % kinds.size()];
    });
    entry.check();
}

// Guards against limits that reject ordinary clients in calm. The settings are those of the
// smallest host, with the limits that follow from them.
TEST_CASE("Entry process serves ordinary clients and a longest body on the smallest host")
{
    constexpr std::size_t Megabytes = 112;
    constexpr std::size_t Descriptors = 2870;
    constexpr std::size_t MaxBody = 4'194'304;
    constexpr std::string_view Served = "HTTP/1.1 200";
    EntryUnderTest entry("memory_mb = 112\ndescriptors = 2870\n", MaxBody);
    const std::string lookup = "GET /look/x HTTP/1.1\r\nHost: soak.example\r\nX-Attempt-Id: calm"
                               "\r\nX-Deadline-Ms: 5000\r\nAuthorization: Token key-0\r\n\r\n";
    std::vector<RawClient *> clients;
    for (std::size_t i = 0; i < CrowdSize; ++i) {
        clients.push_back(&entry.connect());
        REQUIRE(clients.back()->exchange(lookup).starts_with(Served));
    }
    CHECK(entry.connect()
                  .exchange(headWithLength(MaxBody) + std::string(MaxBody, 'x'))
                  .starts_with(Served));
    CHECK(entry.connect()
                  .exchange(chunkedHead() + chunks(MaxBody, LargeChunk) + std::string(LastChunk))
                  .starts_with(Served));
    // All connections are still open.
    for (RawClient *it : clients)
        REQUIRE(it->exchange(lookup).starts_with(Served));
    entry.check(Megabytes, Descriptors);
}
