#pragma once

#include <godwit/ports/scheduler.h>

#include <map>
#include <utility>

namespace godwit {

/// Scheduler whose time passes only in advance().
class VirtualScheduler : public Scheduler
{
public:
    TimePoint now() const override { return m_now; }

    std::unique_ptr<Timer> after(Duration delay, std::function<void()> function) override
    {
        const auto key = std::pair(m_now + delay, ++m_serial);
        m_timers.emplace(key, std::move(function));
        return std::make_unique<VirtualTimer>(*this, key);
    }

    /// Lets \a span pass and runs the timers that expire in it, in order.
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
    unsigned long m_serial = 0;
    std::map<Key, std::function<void()>> m_timers;
};

} // namespace godwit
