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
    std::optional<TimePoint> firesAt; ///< Expiry of the running timer.
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
    if (!m_state->firesAt || *m_state->firesAt > when)
        startTimer(m_state, when);
}

void DeadlineTimer::clear()
{
    m_state->deadline.reset();
}

void DeadlineTimer::startTimer(const std::shared_ptr<State> &state, TimePoint when)
{
    state->firesAt = when;
    state->timer.expires_after(when - MonotonicClock::now());
    state->timer.async_wait([weak = std::weak_ptr(state)](boost::system::error_code ec) {
        const auto self = weak.lock();
        if (!self || ec)
            return;
        self->firesAt.reset();
        if (!self->deadline)
            return;
        if (*self->deadline > MonotonicClock::now()) {
            startTimer(self, *self->deadline);
            return;
        }
        self->deadline.reset();
        const auto callback = self->onExpired;
        if (callback)
            callback();
    });
}

} // namespace godwit
