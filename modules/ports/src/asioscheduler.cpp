#include <godwit/ports/asioscheduler.h>

#include <boost/asio/steady_timer.hpp>

#include <ctime>

namespace godwit {

namespace {

class AsioTimer : public Timer
{
public:
    AsioTimer(boost::asio::io_context &io, Duration delay, std::function<void()> function)
        : m_timer(io, delay)
    {
        m_timer.async_wait([alive = std::weak_ptr(m_alive),
                            function = std::move(function)](const boost::system::error_code &ec) {
            // Destroying the timer must also cancel a handler that is already queued.
            if (!ec && alive.lock())
                function();
        });
    }

private:
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
    boost::asio::steady_timer m_timer;
};

} // namespace

TimePoint AsioScheduler::now() const
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(
            std::chrono::seconds(time.tv_sec)
            + std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(time.tv_nsec)));
}

std::unique_ptr<Timer> AsioScheduler::after(Duration delay, std::function<void()> function)
{
    return std::make_unique<AsioTimer>(m_io, delay, std::move(function));
}

} // namespace godwit
