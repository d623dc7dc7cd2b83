#pragma once

#include <godwit/ports/scheduler.h>

#include <map>
#include <utility>

namespace godwit {

/// Scheduler whose time changes only in advance().
class VirtualScheduler : public Scheduler
{
public:
    TimePoint now() const override { return m_now; }

    std::unique_ptr<Timer> after(Duration delay, std::function<void()> function) override
    {
        const auto key = std::pair(m_now + delay, ++m_lastTimerId);
        m_timers.emplace(key, std::move(function));
        return std::make_unique<VirtualTimer>(*this, key);
    }

    /// Advances the time by \a span and runs the timers that expire meanwhile, in order of expiry.
    void advance(Duration span)
    {
        const TimePoint end = m_now + span;
        while (!m_timers.empty() && m_timers.begin()->first.first <= end) {
            const auto timer = m_timers.extract(m_timers.begin());
            m_now = std::max(m_now, timer.key().first);
            timer.mapped()();
        }
        m_now = end;
    }

    /// Advances the time by \a span without running timers, as if the process had been suspended.
    void suspend(Duration span) { m_now += span; }

    std::size_t timers() const { return m_timers.size(); }

private:
    using Key = std::pair<TimePoint, unsigned long>;

    class VirtualTimer : public Timer
    {
    public:
        VirtualTimer(VirtualScheduler &scheduler, Key key)
            : m_scheduler(scheduler)
            , m_key(key)
        {}
        ~VirtualTimer() override { m_scheduler.m_timers.erase(m_key); }

    private:
        VirtualScheduler &m_scheduler;
        Key m_key;
    };

    TimePoint m_now{std::chrono::hours(1)};
    unsigned long m_lastTimerId = 0;
    std::map<Key, std::function<void()>> m_timers;
};

} // namespace godwit
