#pragma once

#include <godwit/base/time.h>

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace godwit::bench {

/// Event queue in virtual time: runs functions in the order of their due times.
class EventQueue
{
public:
    TimePoint now() const { return m_now; }

    void at(TimePoint time, std::function<void()> run)
    {
        m_events.push({std::max(time, m_now), ++m_sequence, std::move(run)});
    }

    void after(Duration delay, std::function<void()> run) { at(m_now + delay, std::move(run)); }

    void runUntil(TimePoint end)
    {
        while (!m_events.empty() && m_events.top().time <= end) {
            auto event = std::move(const_cast<Event &>(m_events.top()));
            m_events.pop();
            m_now = event.time;
            event.run();
        }
        m_now = end;
    }

private:
    struct Event
    {
        TimePoint time;
        std::uint64_t sequence;
        std::function<void()> run;
        bool operator<(const Event &other) const
        {
            return time != other.time ? time > other.time : sequence > other.sequence;
        }
    };

    TimePoint m_now{Duration(std::chrono::hours(1))};
    std::uint64_t m_sequence = 0;
    std::priority_queue<Event> m_events;
};

} // namespace godwit::bench
