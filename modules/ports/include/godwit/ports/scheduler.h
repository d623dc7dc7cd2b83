#pragma once

#include <godwit/base/time.h>

#include <functional>
#include <memory>

namespace godwit {

/// A function that runs later, unless it is cancelled first. Destroying the timer cancels it.
class Timer
{
public:
    Timer() = default;
    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;
    virtual ~Timer() = default;
};

/// Clock and timers of one thread. Programs use AsioScheduler; tests run in virtual time.
class Scheduler
{
public:
    Scheduler() = default;
    Scheduler(const Scheduler &) = delete;
    Scheduler &operator=(const Scheduler &) = delete;
    virtual ~Scheduler() = default;

    /// Monotonic time. Includes the time for which the machine was suspended, so that a deadline or
    /// a lease does not outlive a suspended process.
    virtual TimePoint now() const = 0;

    /// Runs \a function after \a delay, never inside this call, while the result exists.
    [[nodiscard]] virtual std::unique_ptr<Timer> after(Duration delay,
                                                       std::function<void()> function) = 0;
};

} // namespace godwit
