#include "processgroup.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstring>
#include <thread>

namespace godwit {

namespace {

constexpr std::chrono::milliseconds PollInterval{20};

} // namespace

ProcessGroup::~ProcessGroup()
{
    for (auto &[name, process] : m_processes) {
        reap(process, false);
        if (!process.hasEnded)
            kill(process.pid, SIGKILL);
    }
    for (auto &[name, process] : m_processes)
        reap(process, true);
}

Result<pid_t> ProcessGroup::start(const std::string &name, const std::string &program,
                                  const std::vector<std::string> &arguments)
{
    std::vector<char *> argv{const_cast<char *>(program.c_str())};
    for (const auto &argument : arguments)
        argv.push_back(const_cast<char *>(argument.c_str()));
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    const std::string log = logFile(name);
    posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // Otherwise the child would inherit the sockets of the bench and keep them open after the bench
    // has closed them.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    pid_t pid = -1;
    const int error = posix_spawn(&pid, program.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0)
        return fail(ResultCode::CommandLineInvalid,
                    "cannot start " + program + ": " + std::strerror(error));
    m_processes[name] = {pid, false, 0};
    return pid;
}

void ProcessGroup::signal(const std::string &name, int signal)
{
    if (isRunning(name))
        kill(m_processes[name].pid, signal);
}

bool ProcessGroup::isRunning(const std::string &name)
{
    const auto it = m_processes.find(name);
    if (it == m_processes.end())
        return false;
    reap(it->second, false);
    return !it->second.hasEnded;
}

std::vector<std::string> ProcessGroup::runningNames()
{
    std::vector<std::string> names;
    for (const auto &[name, process] : m_processes) {
        if (isRunning(name))
            names.push_back(name);
    }
    return names;
}

bool ProcessGroup::stop(const std::string &name, std::chrono::milliseconds limit)
{
    signal(name, SIGTERM);
    const auto end = std::chrono::steady_clock::now() + limit;
    while (isRunning(name)) {
        if (std::chrono::steady_clock::now() > end) {
            signal(name, SIGKILL);
            reap(m_processes[name], true);
            return false;
        }
        std::this_thread::sleep_for(PollInterval);
    }
    const int status = m_processes[name].status;
    return WIFEXITED(status) && WEXITSTATUS(status) == 0;
}

void ProcessGroup::reap(Process &process, bool wait)
{
    if (process.hasEnded || process.pid < 0)
        return;
    process.hasEnded = waitpid(process.pid, &process.status, wait ? 0 : WNOHANG) == process.pid;
}

} // namespace godwit
