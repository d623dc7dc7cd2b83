#pragma once

#include <godwit/base/time.h>

#include <functional>
#include <memory>

namespace godwit {

/// A pending call of a function. Destroying the timer cancels the call.
class Timer
{
public:
    Timer() = default;
    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;
    virtual ~Timer() = default;
};

/// Clock and timers of one thread. Programs use AsioScheduler; tests use virtual time.
class Scheduler
{
public:
    Scheduler() = default;
    Scheduler(const Scheduler &) = delete;
    Scheduler &operator=(const Scheduler &) = delete;
    virtual ~Scheduler() = default;

    /// Returns monotonic time. It includes the time for which the machine was suspended, so that
    /// deadlines and leases expire during suspension.
    virtual TimePoint now() const = 0;

    /// Runs \a function after \a delay, and never inside this call, unless the returned timer is
    /// destroyed first.
    [[nodiscard]] virtual std::unique_ptr<Timer> after(Duration delay,
                                                       std::function<void()> function) = 0;
};

} // namespace godwit
