#pragma once

#include <godwit/base/time.h>

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace godwit::bench {

/// Discrete event simulation: an event queue in virtual time.
class Simulation
{
public:
    TimePoint now() const { return m_now; }

    void at(TimePoint time, std::function<void()> run)
    {
        m_events.push(Event{std::max(time, m_now), m_nextNumber++, std::move(run)});
    }

    void after(Duration span, std::function<void()> run) { at(m_now + span, std::move(run)); }

    /// Runs events until \a done returns true, no event is left or \a limit is reached.
    void run(TimePoint limit, const std::function<bool()> &done)
    {
        while (!m_events.empty() && m_events.top().time <= limit && !done()) {
            auto run = std::move(const_cast<Event &>(m_events.top()).run);
            m_now = m_events.top().time;
            m_events.pop();
            run();
        }
    }

private:
    struct Event
    {
        TimePoint time;
        std::uint64_t number;
        std::function<void()> run;
        friend bool operator<(const Event &a, const Event &b)
        {
            return a.time != b.time ? a.time > b.time : a.number > b.number;
        }
    };

    std::priority_queue<Event> m_events;
    std::uint64_t m_nextNumber = 0;
    TimePoint m_now{};
};

} // namespace godwit::bench
