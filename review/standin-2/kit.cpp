#include "kit.h"

#include <boost/json.hpp>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <sstream>

namespace review {

namespace json = boost::json;

std::uint64_t wallMs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

std::string streamEvent(std::uint64_t id)
{
    return "id: " + std::to_string(id) + "\ndata: piece " + std::to_string(id) + "\n\n";
}

void Clock::after(Duration delay, std::function<void()> function)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_io, delay);
    timer->async_wait([timer, alive = std::weak_ptr(m_alive),
                       function = std::move(function)](const boost::system::error_code &ec) {
        if (!ec && !alive.expired())
            function();
    });
}

Deployment::Deployment(int argc, char **argv)
    : m_clock(m_io)
    , m_store(m_io)
    , m_client(m_io)
    , m_startedAt(godwit::MonotonicClock::now())
    , m_block(20 + static_cast<int>(getpid()) % 200)
{
    const std::string folder = argc > 1 ? argv[1] : ".";
    const char *trouble = std::getenv("TROUBLE");
    m_hasTrouble = !trouble || std::string(trouble) != "0";
    m_record.open(folder + "/record.txt");
    char name[] = "/tmp/godwit-review-XXXXXX";
    if (!m_record || !mkdtemp(name) || access("target/modules/apps/godwitd", X_OK) != 0) {
        std::cerr
                << "cannot run: no record, no temporary folder or no target/modules/apps/godwitd\n";
        std::exit(2);
    }
    m_temporary = name;
    signal("", 0);
    std::signal(SIGPIPE, SIG_IGN);
    record(m_hasTrouble ? "with the disruption" : "without the disruption");
}

Deployment::~Deployment()
{
    for (const auto &[name, pid] : m_processes) {
        if (isRunning(name)) {
            kill(pid, SIGCONT);
            kill(pid, SIGKILL);
            waitpid(pid, nullptr, 0);
        }
    }
    std::error_code ec;
    if (!std::getenv("KEEP"))
        std::filesystem::remove_all(m_temporary, ec);
}

std::string Deployment::address(int index) const
{
    return "127." + std::to_string(m_block) + ".7." + std::to_string(index);
}

double Deployment::seconds() const
{
    return godwit::toSeconds(now() - m_startedAt);
}

void Deployment::record(const std::string &line)
{
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f  ", seconds());
    m_record << time << line << std::endl;
}

std::string Deployment::commonSettings(const std::string &role, const std::string &name,
                                       const std::string &own, const HttpEndpoint &store) const
{
    const bool isEntry = role == "entry";
    std::ostringstream text;
    text << "role = \"" << role << "\"\nhost = \"" << name
         << "\"\nzone = \"zwolle-hall\"\nregion = \"overijssel\"\nstore = \"" << toString(store)
         << "\"\nlink_bits_per_second = " << (isEntry ? "1000.0" : "7.3")
         << "e6\n[[zones]]\nid = \"zwolle-hall\"\nregion = \"overijssel\"\n[listen]\n";
    if (isEntry)
        text << "callers = \"" << own << ":8005\"\nreadiness = \"" << own << ":8002\"\n";
    text << "peers = \"" << own << ":7700\"\nmetrics = \"" << own
         << ":9400\"\n[bounds]\nleave_s = 8\nkey_revocation_ms = 5000\nstrict_revocation = "
            "true\nversion_change_ms = 8000\nreconnection_ms = 3000\nconfiguration_ms = "
            "2000\ndrain_ms = 2000\nretry_share = 0.2\nretry_slack = 104\nretry_window_s = "
            "10\n[limits]\nmemory_mb = "
         << (isEntry ? "260\ndescriptors = 4100\n" : "128\ndescriptors = 2048\n");
    return text.str();
}

void Deployment::startEntry(int index, const HttpEndpoint &store)
{
    const std::string name = "edge-zwolle-hall-" + std::to_string(index);
    start(name, commonSettings("entry", name, entry(index).address, store));
}

void Deployment::startHost(int index, const HttpEndpoint &store, const HttpEndpoint &engine,
                           const std::string &service)
{
    const std::string name = "side-zwolle-hall-" + std::to_string(index);
    start(name, commonSettings("host", name, hostAddress(index), store) + "[engine]\nendpoint = \""
                        + toString(engine) + "\"\nservice = \"" + service + "\"\n");
}

void Deployment::start(const std::string &name, const std::string &settings)
{
    const std::string file = m_temporary + '/' + name + ".toml";
    const std::string log = m_temporary + '/' + name + ".log";
    std::ofstream(file) << settings;
    const std::string program = "target/modules/apps/godwitd";
    const std::string option = "--settings=" + file;
    char *const arguments[] = {const_cast<char *>(program.c_str()), const_cast<char *>("--fleet"),
                               const_cast<char *>(option.c_str()), nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    pid_t pid = -1;
    if (posix_spawn(&pid, program.c_str(), &actions, nullptr, arguments, environ) != 0) {
        std::cerr << "cannot start " << program << '\n';
        std::exit(2);
    }
    posix_spawn_file_actions_destroy(&actions);
    m_processes[name] = pid;
    m_statuses.erase(name);
    record("process " + name + " started");
}

void Deployment::signal(const std::string &name, int number)
{
    const auto it = m_processes.find(name);
    if (it == m_processes.end() || !isRunning(name))
        return;
    kill(it->second, number);
    record("process " + name + " gets signal " + std::to_string(number));
}

bool Deployment::isRunning(const std::string &name)
{
    if (m_statuses.contains(name) || !m_processes.contains(name))
        return false;
    int status = 0;
    if (waitpid(m_processes[name], &status, WNOHANG) != m_processes[name])
        return true;
    m_statuses[name] = status;
    record("process " + name + " has ended: " + ending(name));
    return false;
}

std::string Deployment::ending(const std::string &name)
{
    const auto it = m_statuses.find(name);
    if (it == m_statuses.end())
        return {};
    return WIFSIGNALED(it->second) ? "signal " + std::to_string(WTERMSIG(it->second))
                                   : "exit code " + std::to_string(WEXITSTATUS(it->second));
}

void Deployment::putConfiguration(std::uint64_t version, const HttpEndpoint &origin,
                                  const std::vector<std::string> &keys,
                                  const std::string &llmService,
                                  const std::vector<std::string> &llmServices,
                                  const std::string &addedRouteService)
{
    const auto route = [](const char *name, const char *prefix, const char *kind, int timeout,
                          int objective, const std::string &service) {
        json::object result{{"name", name},      {"host", Host},          {"prefix", prefix},
                            {"kind", kind},      {"timeout_ms", timeout}, {"slo_ms", objective},
                            {"priority", 1},     {"service", service},    {"attempts", 2},
                            {"anonymous", false}};
        if (std::string(kind) == "streaming") {
            result["sticky"] = true;
            result["resumable"] = true;
            result["target_gap_ms"] = 300;
        }
        return result;
    };
    json::array keyList;
    for (const std::string &it : keys)
        keyList.emplace_back(it);
    const json::object engine{
            {"slots", 16},
            {"kv_capacity", 1640000},
            {"kv_token_bytes", 163840},
            {"stride", 6},
            {"mb", 282000.0},
            {"step_ms", 6.73},
            {"per_seq_ms", 0.0219},
            {"context_per_k", 0.0068},
            {"read_per_s", 30600.0},
            {"pairs_per_m", 0.647},
            {"chunk", 2048},
            {"report_lag_ms", 200.0},
            {"layers", 16},
            {"layer_mb", 4540.0},
            {"chunks", 96},
            {"chunk_bytes", 24576},
            {"models", json::array{json::object{{"name", Model}, {"warm_s", 0.3}}}},
            {"usual", json::object{{"prompt", 964}, {"answer", 119}}}};
    json::array services{json::object{{"name", DeskService},
                                      {"health_check", "/healthz"},
                                      {"max_conns", 51},
                                      {"protocol", "h1"},
                                      {"tls", false}}};
    for (const std::string &it : llmServices)
        services.push_back(json::object{{"name", it},
                                        {"health_check", "/healthz"},
                                        {"max_conns", 204},
                                        {"protocol", "h1"},
                                        {"tls", false},
                                        {"engine", engine}});
    if (origin.port > 0)
        services.push_back(json::object{{"name", OriginService},
                                        {"origin", toString(origin)},
                                        {"zone", "zwolle-hall"},
                                        {"link_mbps", 7.3},
                                        {"max_conns", 48}});
    json::array routes{route("labels", "/levo940/", "streaming", 6000, 400, llmService),
                       route("booking", "/filo73/", "unsafe", 1500, 200, DeskService),
                       route("lookup", "/boye614/", "safe", 1500, 200, DeskService)};
    if (!addedRouteService.empty())
        routes.push_back(route("notes", "/nuvo12/", "streaming", 6000, 400, addedRouteService));
    const json::object limits{{"max_header_bytes", 16384},
                              {"max_body_bytes", 4194304},
                              {"header_timeout_ms", 3000},
                              {"idle_timeout_ms", 15000}};
    const json::object tenant{{"name", Tenant}, {"api_keys", keyList}, {"priority", 1}};
    const json::object body{{"version", version},
                            {"routes", routes},
                            {"services", services},
                            {"limits", limits},
                            {"tenants", json::array{tenant}}};
    m_store.put("op/config", json::serialize(body));
    record("configuration " + std::to_string(version) + " acknowledged, streams go to " + llmService
           + (addedRouteService.empty() ? ""
                                        : ", those of the added route to " + addedRouteService));
}

void Deployment::whenReady(int entries, std::function<void()> function)
{
    const auto left = std::make_shared<std::set<int>>();
    for (int i = 0; i < entries; ++i)
        left->insert(i);
    m_pollReady = [this, left, function = std::move(function)](int index) {
        godwit::HttpCall call;
        call.endpoint = readiness(index);
        call.target = "/readyz";
        m_client.call(std::move(call),
                      [this, left, index, function](godwit::Outcome<HttpResponse> outcome) {
                          const auto *response = std::get_if<HttpResponse>(&outcome);
                          if (!response || response->status != 200) {
                              m_clock.after(std::chrono::milliseconds(200),
                                            [this, index] { m_pollReady(index); });
                              return;
                          }
                          record("entry " + std::to_string(index) + " is ready");
                          left->erase(index);
                          if (left->empty())
                              m_clock.after(Duration(0), function);
                      });
    };
    for (int i = 0; i < entries; ++i)
        m_pollReady(i);
}

void Deployment::run(Duration limit)
{
    m_clock.after(limit, [this] { m_io.stop(); });
    m_io.run();
}

int Deployment::finish(bool isBroken, const std::string &summary)
{
    record(summary);
    record(isBroken ? "the rule was broken" : "the rule held");
    std::cout << summary << '\n'
              << (isBroken ? "the rule was broken" : "the rule held") << std::endl;
    return isBroken ? 1 : 0;
}

godwit::HttpCall makeCall(const HttpEndpoint &entry, const std::string &path, const std::string &id,
                          std::string body, int deadlineMs)
{
    godwit::HttpCall call;
    call.endpoint = entry;
    call.method = "POST";
    call.target = path;
    call.host = Host;
    call.headers.add("X-Attempt-Id", id);
    call.headers.add("X-Deadline-Ms", std::to_string(deadlineMs));
    call.headers.add("Authorization", std::string("Token ") + Key);
    call.body = std::move(body);
    call.idleTimeout = std::chrono::milliseconds(deadlineMs);
    call.totalTimeout = std::chrono::milliseconds(deadlineMs);
    return call;
}

std::shared_ptr<godwit::CallHandle> send(Deployment &deployment, godwit::HttpCall call,
                                         std::function<void(const Answer &)> done)
{
    const auto answer = std::make_shared<Answer>();
    godwit::HttpStreamHandlers handlers;
    handlers.onHeader = [answer](int status, const HttpHeaders &headers) {
        answer->status = status;
        answer->retryAfter = std::string(headers.value("Retry-After"));
    };
    handlers.onData = [answer](std::string_view data) { answer->body += data; };
    handlers.onEnd = [answer,
                      done = std::move(done)](const godwit::Outcome<std::monostate> &outcome) {
        if (const auto *error = std::get_if<godwit::Error>(&outcome))
            answer->problem = error->detail;
        else
            answer->isComplete = true;
        done(*answer);
    };
    return deployment.client().stream(std::move(call), std::move(handlers));
}

} // namespace review
