#pragma once

#include <sys/types.h>

#include <cstdint>
#include <map>
#include <string>

namespace godwit {

/// CPU time of one thread.
struct ThreadTime
{
    std::uint64_t runNanoseconds = 0;
    std::uint64_t waitNanoseconds = 0; ///< Runnable, but waiting for a core.
};

/// CPU usage of the threads of one process between two readings, as shares of one core.
struct ProcessorShare
{
    double busiest = 0; ///< Run time per second of the thread with the longest run time.
    double waiting = 0; ///< Time per second for which that thread waited for a core.
    double total = 0;   ///< Run time per second of all threads.
};

/// Returns the name of the part whose busiest thread has the least idle time, where waiting for a
/// core does not count as idle; "none" if that thread is idle for more than a tenth of the time.
std::string findBottleneck(const std::map<std::string, ProcessorShare> &parts);

using ThreadTimes = std::map<pid_t, ThreadTime>;

/// Reads /proc/PID/task/*/schedstat; empty if the process does not exist.
ThreadTimes readThreadTimes(pid_t pid);

/// Returns the CPU usage between the readings \a before and \a after, taken \a seconds apart. A
/// thread that is missing in \a before counts from zero.
ProcessorShare processorShareBetween(const ThreadTimes &before, const ThreadTimes &after,
                                     double seconds);

/// One-minute load average, from /proc/loadavg.
double loadAverage();

/// Resident set size in bytes, from /proc/PID/statm; 0 if the process does not exist.
std::uint64_t residentBytes(pid_t pid);

} // namespace godwit
