#pragma once

// Stand-ins of the users' platform for the cases of the review: the metadata store, an origin of
// weights, engines and clients; and the processes under test. They follow PROTOCOL.md and the news
// page, and behave like sound ones where these are silent.

#include "http.h"

#include <openssl/sha.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <chrono>
#include <condition_variable>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline void sleepMs(int ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}

inline std::uint64_t wallMs()
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(
                                              std::chrono::system_clock::now().time_since_epoch())
                                              .count());
}

/// Writes lines with the time since the start to record.txt.
class Record
{
public:
    explicit Record(const std::string &file)
        : m_file(file)
        , m_start(Clock::now())
    {}

    int nowMs() const
    {
        return static_cast<int>(
                std::chrono::duration_cast<milliseconds>(Clock::now() - m_start).count());
    }

    void write(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        char time[32];
        std::snprintf(time, sizeof time, "%7.3f ", nowMs() / 1000.0);
        m_file << time << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    Clock::time_point m_start;
};

inline std::string base64(const std::string &bytes)
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j)
            group = group << 8
                    | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0);
        for (std::size_t j = 0; j < 4; ++j)
            text += i + j > bytes.size() ? '=' : digits[group >> (18 - 6 * j) & 63];
    }
    return text;
}

inline std::string sha256(const std::string &bytes)
{
    unsigned char digest[SHA256_DIGEST_LENGTH];
    SHA256(reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), digest);
    std::string text;
    for (const unsigned char it : digest) {
        char hex[3];
        std::snprintf(hex, sizeof hex, "%02x", it);
        text += hex;
    }
    return text;
}

/// The platform's store: items, pages, watches, and the return from a copy (Store-Era).
/// Transactions and leases of the system are accepted; none of the cases depends on them.
class Store
{
public:
    Store(const std::string &ip, Record &record)
        : m_record(record)
        , m_server({ip, 0}, [this](const Message &request, Socket &socket) {
            return handle(request, socket);
        })
    {}

    const Address &address() const { return m_server.address(); }

    void put(const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(m_mutex);
        m_state.items[key] = {value, ++m_state.revision};
        m_state.events.push_back({key, m_state.revision, false});
        m_changed.notify_all();
    }

    void remove(const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        if (m_state.items.erase(key) == 0)
            return;
        m_state.events.push_back({key, ++m_state.revision, true});
        m_changed.notify_all();
    }

    void copy()
    {
        const std::lock_guard lock(m_mutex);
        m_copy = m_state;
        m_record.write("store: a copy is taken at revision " + std::to_string(m_state.revision));
    }

    /// The store goes away; calls that are waiting are cut.
    void goAway()
    {
        const std::lock_guard lock(m_mutex);
        m_isAway = true;
        ++m_cuts;
        m_changed.notify_all();
        m_record.write("store: away");
    }

    /// The store comes back from the copy.
    void comeBackFromCopy()
    {
        const std::lock_guard lock(m_mutex);
        m_state = m_copy;
        ++m_era;
        m_isAway = false;
        m_record.write("store: back from the copy, revision " + std::to_string(m_state.revision)
                       + ", Store-Era " + std::to_string(m_era));
    }

private:
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
    };
    struct Event
    {
        std::string key;
        std::uint64_t revision = 0;
        bool removed = false;
    };
    struct State
    {
        std::map<std::string, Item> items;
        std::vector<Event> events;
        std::uint64_t revision = 100;
        std::uint64_t leases = 0;
    };

    static std::string itemJson(const std::string &key, const Item &item)
    {
        return "{\"key\":\"" + key + "\",\"value\":\"" + base64(item.value)
               + "\",\"rev\":" + std::to_string(item.revision)
               + ",\"created_at\":" + std::to_string(item.revision) + ",\"lease\":0}";
    }

    bool reply(Socket &socket, int status, const std::string &body)
    {
        return socket.send(formatResponse(
                status,
                {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(m_era)}},
                body));
    }

    bool handle(const Message &request, Socket &socket)
    {
        std::unique_lock lock(m_mutex);
        if (m_isAway)
            return false;
        const std::string path = request.path();
        if (path == "/godwitrun/kv-key") {
            const auto it = m_state.items.find(request.query("key"));
            return it == m_state.items.end() ? reply(socket, 404, "{}")
                                             : reply(socket, 200, itemJson(it->first, it->second));
        }
        if (path == "/godwitrun/kv-range")
            return reply(socket, 200, range(request.query("prefix"), request.query("after")));
        if (path == "/godwitrun/kv-watch")
            return watch(request, socket, lock);
        if (path == "/godwitrun/kv-lease")
            return reply(socket, 200,
                         "{\"lease\":" + std::to_string(++m_state.leases) + ",\"ttl_ms\":60000}");
        if (path == "/godwitrun/kv-txn")
            return reply(socket, 200, "{\"rev\":" + std::to_string(++m_state.revision) + "}");
        return reply(socket, 200, "{\"ttl_ms\":60000}");
    }

    std::string range(const std::string &prefix, const std::string &after) const
    {
        std::string items;
        for (const auto &[key, item] : m_state.items) {
            if (key.compare(0, prefix.size(), prefix) == 0 && key > after)
                items += (items.empty() ? "" : ",") + itemJson(key, item);
        }
        return "{\"items\":[" + items + "],\"has_more\":false,\"store_revision\":"
               + std::to_string(m_state.revision) + "}";
    }

    std::string events(const std::string &prefix, std::uint64_t after) const
    {
        std::string text;
        for (const Event &it : m_state.events) {
            if (it.revision <= after || it.key.compare(0, prefix.size(), prefix) != 0)
                continue;
            const auto item = m_state.items.find(it.key);
            if (it.removed)
                text += (text.empty() ? "" : ",") + ("{\"key\":\"" + it.key + "\",\"rev\":")
                        + std::to_string(it.revision) + ",\"tombstone\":true}";
            else if (item != m_state.items.end() && item->second.revision == it.revision)
                text += (text.empty() ? "" : ",") + itemJson(it.key, item->second);
        }
        return text;
    }

    bool watch(const Message &request, Socket &socket, std::unique_lock<std::mutex> &lock)
    {
        const std::string prefix = request.query("prefix");
        const std::uint64_t after = std::stoull("0" + request.query("after"));
        const auto until = Clock::now() + milliseconds(std::stoull("0" + request.query("wait_ms")));
        if (after > m_state.revision)
            return reply(socket, 410, "{}");
        const int cuts = m_cuts;
        while (events(prefix, after).empty() && m_cuts == cuts && Clock::now() < until)
            m_changed.wait_until(lock, until);
        if (m_cuts != cuts)
            return false;
        return reply(socket, 200,
                     "{\"events\":[" + events(prefix, after)
                             + "],\"store_revision\":" + std::to_string(m_state.revision) + "}");
    }

    Record &m_record;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    State m_state;
    State m_copy;
    std::uint64_t m_era = 1;
    bool m_isAway = false;
    int m_cuts = 0;
    Server m_server;
};

/// The processes under test, each started with the command of deploy/system.toml. Those that still
/// run are killed at the end.
class Processes
{
public:
    Processes(std::string program, std::string folder, Record &record)
        : m_program(std::move(program))
        , m_folder(std::move(folder))
        , m_record(record)
    {}
    ~Processes()
    {
        for (const auto &[name, pid] : m_pids) {
            ::kill(pid, SIGCONT);
            ::kill(pid, SIGKILL);
            ::waitpid(pid, nullptr, 0);
        }
    }

    void start(const std::string &name, const std::string &settings)
    {
        const std::string file = m_folder + '/' + name + ".toml";
        std::ofstream(file) << settings;
        const std::string log = m_folder + '/' + name + ".log";
        const std::string option = "--settings=" + file;
        const pid_t pid = ::fork();
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // Also if this program is killed.
            if (!std::freopen(log.c_str(), "a", stdout) || !std::freopen(log.c_str(), "a", stderr))
                ::_exit(126);
            ::execl(m_program.c_str(), m_program.c_str(), "--fleet", option.c_str(), nullptr);
            ::_exit(127);
        }
        m_pids[name] = pid;
        m_record.write("process " + name + ": started");
    }

    void signal(const std::string &name, int number, const std::string &text)
    {
        ::kill(m_pids.at(name), number);
        m_record.write("process " + name + ": " + text);
    }

    /// Kills a process and waits for its end.
    void kill(const std::string &name)
    {
        signal(name, SIGKILL, "killed");
        ::waitpid(m_pids.at(name), nullptr, 0);
        m_pids.erase(name);
    }

    /// Returns how the process ended; none while it runs.
    std::optional<int> ended(const std::string &name)
    {
        int status = 0;
        const auto it = m_pids.find(name);
        if (it == m_pids.end() || ::waitpid(it->second, &status, WNOHANG) != it->second)
            return std::nullopt;
        m_pids.erase(it);
        return status;
    }

    /// Processor time that a running process has used.
    double processorSeconds(const std::string &name) const
    {
        std::ifstream file("/proc/" + std::to_string(m_pids.at(name)) + "/stat");
        std::string text;
        std::getline(file, text);
        std::istringstream fields(text.substr(text.rfind(')') + 1));
        std::string skipped;
        for (int i = 0; i < 11; ++i)
            fields >> skipped;
        double user = 0;
        double system = 0;
        fields >> user >> system;
        return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
    }

    std::string log(const std::string &name) const
    {
        std::ifstream file(m_folder + '/' + name + ".log");
        std::stringstream text;
        text << file.rdbuf();
        return text.str();
    }

private:
    std::string m_program;
    std::string m_folder;
    Record &m_record;
    std::map<std::string, pid_t> m_pids;
};

/// Addresses of one machine of the fleet.
struct Machine
{
    std::string name;
    std::string ip;
    bool isEntry = true;
    Address engine = {}; ///< Of a host.

    Address front() const { return {ip, 8005}; }
    Address ready() const { return {ip, 8002}; }
};

/// What the platform makes of deploy/settings.toml.in for \a machine, with the bounds of
/// gdz-cassette.
inline std::string settingsOf(const Machine &machine, const Address &store)
{
    std::ostringstream text;
    text << "role = \"" << (machine.isEntry ? "entry" : "host") << "\"\nhost = \"" << machine.name
         << "\"\nzone = \"zwolle-hall\"\nregion = \"overijssel\"\nstore = \"" << store.text()
         << "\"\nlink_bits_per_second = " << (machine.isEntry ? "1000.0e6" : "7.3e6")
         << "\n[[zones]]\nid = \"zwolle-hall\"\nregion = \"overijssel\"\n[listen]\n";
    if (machine.isEntry)
        text << "callers = \"" << machine.front().text() << "\"\nreadiness = \""
             << machine.ready().text() << "\"\n";
    text << "peers = \"" << machine.ip << ":7700\"\nmetrics = \"" << machine.ip << ":9400\"\n"
         << "[bounds]\nleave_s = 8\nkey_revocation_ms = 5000\nstrict_revocation = true\n"
            "version_change_ms = 8000\nreconnection_ms = 3000\nconfiguration_ms = 2000\n"
            "drain_ms = 2000\nretry_share = 0.2\nretry_slack = 104\nretry_window_s = 10\n";
    if (!machine.isEntry)
        text << "[engine]\nendpoint = \"" << machine.engine.text()
             << "\"\nservice = \"draft-models\"\n";
    return text.str();
}

/// Waits until \a condition holds, at most \a limitMs.
inline bool waitFor(int limitMs, const std::function<bool()> &condition)
{
    const auto until = Clock::now() + milliseconds(limitMs);
    while (!condition()) {
        if (Clock::now() >= until)
            return false;
        sleepMs(10);
    }
    return true;
}

/// What a client's attempt came to.
struct Answer
{
    int status = 0; ///< 0 without an answer.
    std::string body;
    bool complete = false;
    bool isSealed = false;
};

/// Sends one request on a new connection and reads the answer.
inline Answer sendRequest(const Address &to, const std::string &startLine,
                          const std::vector<std::pair<std::string, std::string>> &headers,
                          const std::string &body, int timeoutMs)
{
    Answer answer;
    const auto socket = connectTo(to, 1000);
    if (!socket)
        return answer;
    std::string text = startLine + " HTTP/1.1\r\n";
    for (const auto &[name, value] : headers)
        text += name + ": " + value + "\r\n";
    if (!body.empty())
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    if (!socket->send(text + "\r\n" + body))
        return answer;
    if (const auto message = socket->read(timeoutMs)) {
        answer = {message->status(), message->body, message->complete,
                  message->hasHeader("x-server-seal")};
    }
    return answer;
}

inline bool isReady(const Machine &machine)
{
    return sendRequest(machine.ready(), "GET /readyz", {{"Host", "x"}}, "", 1000).status == 200;
}

/// Options that all cases take from the command line and the environment.
struct CaseOptions
{
    std::string program;
    std::string folder; ///< Temporary.
    std::string recordFile;
    bool trouble = true;
    std::string ipBlock; ///< First two numbers of the loopback addresses.

    std::string ip(int role, int index) const
    {
        return ipBlock + '.' + std::to_string(role) + '.' + std::to_string(index);
    }
};

inline CaseOptions readOptions(int argc, char **argv)
{
    if (argc != 4)
        throw std::runtime_error("usage: CASE PROGRAM FOLDER RECORD");
    CaseOptions options;
    options.program = argv[1];
    options.folder = argv[2];
    options.recordFile = argv[3];
    const char *trouble = std::getenv("TROUBLE");
    options.trouble = !trouble || std::string(trouble) != "0";
    // A block of addresses that no other case uses: it holds one port of it until the program ends.
    for (int i = 0; i < 200 && options.ipBlock.empty(); ++i) {
        const std::string block = "127." + std::to_string(30 + (::getpid() + i) % 200);
        const sockaddr_in address = toSockaddr({block + ".254.254", 8005});
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0)
            options.ipBlock = block;
        else
            ::close(fd);
    }
    ::signal(SIGPIPE, SIG_IGN);
    return options;
}

/// Runs a case and ends the program without the destructors of what its threads still use.
[[noreturn]] inline void runCase(int argc, char **argv, int (*run)(const CaseOptions &))
{
    int code = 2;
    try {
        code = run(readOptions(argc, argv));
    } catch (const std::exception &error) {
        std::cerr << error.what() << std::endl;
    }
    std::_Exit(code);
}

} // namespace review
