#include "processusage.h"

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <string>

namespace godwit {

namespace {

constexpr double NanosecondsPerSecond = 1e9;
/// A thread that is idle for a smaller share of the time counts as a bottleneck. The margin allows
/// for readings that are a few percent off.
constexpr double IdleShare = 0.1;

} // namespace

ThreadTimes readThreadTimes(pid_t pid)
{
    ThreadTimes times;
    std::error_code ec;
    const std::string folder = "/proc/" + std::to_string(pid) + "/task";
    for (const auto &entry : std::filesystem::directory_iterator(folder, ec)) {
        ThreadTime time;
        std::ifstream in(entry.path() / "schedstat");
        if (in >> time.runNanoseconds >> time.waitNanoseconds)
            times[std::stoi(entry.path().filename().string())] = time;
    }
    return times;
}

ProcessorShare processorShareBetween(const ThreadTimes &before, const ThreadTimes &after,
                                     double seconds)
{
    ProcessorShare share;
    for (const auto &[thread, time] : after) {
        const auto it = before.find(thread);
        const ThreadTime start = it == before.end() ? ThreadTime{} : it->second;
        const double scale = NanosecondsPerSecond * seconds;
        const double run = static_cast<double>(time.runNanoseconds - start.runNanoseconds) / scale;
        share.total += run;
        if (run <= share.busiest)
            continue;
        share.busiest = run;
        share.waiting = static_cast<double>(time.waitNanoseconds - start.waitNanoseconds) / scale;
    }
    return share;
}

std::string findBottleneck(const std::map<std::string, ProcessorShare> &parts)
{
    std::string name = "none";
    double most = 1 - IdleShare;
    for (const auto &[part, share] : parts) {
        if (share.busiest + share.waiting < most)
            continue;
        most = share.busiest + share.waiting;
        name = part;
    }
    return name;
}

double loadAverage()
{
    double load = 0;
    std::ifstream("/proc/loadavg") >> load;
    return load;
}

std::uint64_t residentBytes(pid_t pid)
{
    std::ifstream in("/proc/" + std::to_string(pid) + "/statm");
    std::uint64_t size = 0;
    std::uint64_t resident = 0;
    in >> size >> resident;
    return in ? resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE)) : 0;
}

} // namespace godwit
