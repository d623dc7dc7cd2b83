#pragma once

#include <godwit/base/result.h>

#include <sys/types.h>

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace godwit {

/// Child processes of the bench, by name. Signals go only to the ids of processes started here. The
/// destructor kills those that are still running.
class ProcessGroup
{
public:
    /// Standard output and standard error of each process are appended to \a folder/NAME.log.
    explicit ProcessGroup(std::string folder)
        : m_folder(std::move(folder))
    {}
    ~ProcessGroup();
    ProcessGroup(const ProcessGroup &) = delete;
    ProcessGroup &operator=(const ProcessGroup &) = delete;

    /// Starts \a program with \a arguments. Fails with CommandLineInvalid if it cannot be started.
    Result<pid_t> start(const std::string &name, const std::string &program,
                        const std::vector<std::string> &arguments);

    /// Sends \a signal to the process \a name if it is still running.
    void signal(const std::string &name, int signal);

    bool isRunning(const std::string &name);
    std::vector<std::string> runningNames();

    /// Sends SIGTERM to \a name and waits for its exit; sends SIGKILL after \a limit. Returns true
    /// if it exited with code 0 within the limit.
    bool stop(const std::string &name, std::chrono::milliseconds limit);

    pid_t pid(const std::string &name) const { return m_processes.at(name).pid; }

    /// Wait status of an exited process, as from waitpid().
    int status(const std::string &name) const { return m_processes.at(name).status; }

    std::string logFile(const std::string &name) const { return m_folder + '/' + name + ".log"; }

private:
    struct Process
    {
        pid_t pid = -1;
        bool hasEnded = false;
        int status = 0;
    };
    void reap(Process &process, bool wait);

    std::string m_folder;
    std::map<std::string, Process> m_processes;
};

} // namespace godwit
