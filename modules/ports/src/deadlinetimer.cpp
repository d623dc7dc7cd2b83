#include "deadlinetimer.h"

namespace godwit {

struct DeadlineTimer::State
{
    State(boost::asio::io_context &io, std::function<void()> callback)
        : timer(io)
        , onExpired(std::move(callback))
    {}

    boost::asio::steady_timer timer;
    std::function<void()> onExpired;
    std::optional<TimePoint> deadline;
    std::optional<TimePoint> armed; ///< When the timer will fire.
};

DeadlineTimer::DeadlineTimer(boost::asio::io_context &io, std::function<void()> onExpired)
    : m_state(std::make_shared<State>(io, std::move(onExpired)))
{}

DeadlineTimer::~DeadlineTimer()
{
    m_state->onExpired = nullptr;
    m_state->deadline.reset();
    m_state->timer.cancel();
}

void DeadlineTimer::set(Duration span)
{
    const TimePoint when = MonotonicClock::now() + span;
    m_state->deadline = when;
    if (!m_state->armed || *m_state->armed > when)
        wait(m_state, when);
}

void DeadlineTimer::clear()
{
    m_state->deadline.reset();
}

void DeadlineTimer::wait(const std::shared_ptr<State> &state, TimePoint when)
{
    state->armed = when;
    state->timer.expires_after(when - MonotonicClock::now());
    state->timer.async_wait([weak = std::weak_ptr(state)](boost::system::error_code ec) {
        const auto self = weak.lock();
        if (!self || ec)
            return;
        self->armed.reset();
        if (!self->deadline)
            return;
        if (*self->deadline > MonotonicClock::now()) {
            wait(self, *self->deadline);
            return;
        }
        self->deadline.reset();
        const auto callback = self->onExpired;
        if (callback)
            callback();
    });
}

} // namespace godwit
