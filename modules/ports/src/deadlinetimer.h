#pragma once

#include <godwit/base/time.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace godwit {

/// A deadline that is moved often and expires rarely. Moving it to a later time does not touch the
/// timer, which checks the current deadline when it fires.
class DeadlineTimer
{
public:
    DeadlineTimer(boost::asio::io_context &io, std::function<void()> onExpired);
    ~DeadlineTimer();
    DeadlineTimer(const DeadlineTimer &) = delete;
    DeadlineTimer &operator=(const DeadlineTimer &) = delete;

    /// Sets the deadline to \a span from now.
    void set(Duration span);
    void clear();

private:
    struct State;
    static void startTimer(const std::shared_ptr<State> &state, TimePoint when);
    std::shared_ptr<State> m_state;
};

} // namespace godwit
