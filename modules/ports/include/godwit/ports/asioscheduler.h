#pragma once

#include <godwit/ports/scheduler.h>

#include <boost/asio/io_context.hpp>

namespace godwit {

/// Scheduler that runs its timers on the thread of an io_context. The io_context must outlive the
/// scheduler and its timers.
class AsioScheduler : public Scheduler
{
public:
    explicit AsioScheduler(boost::asio::io_context &io)
        : m_io(io)
    {}

    TimePoint now() const override;
    std::unique_ptr<Timer> after(Duration delay, std::function<void()> function) override;

private:
    boost::asio::io_context &m_io;
};

} // namespace godwit
