#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <thread>

namespace godwit {

/// An io_context and the single thread that runs it. Its sockets are used only on that thread and
/// need no locks.
class IoThread
{
public:
    IoThread();

    /// Stops the io_context, discards queued handlers and joins the thread.
    ~IoThread();
    IoThread(const IoThread &) = delete;
    IoThread &operator=(const IoThread &) = delete;

    boost::asio::io_context &io() { return m_io; }

private:
    boost::asio::io_context m_io{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::thread m_thread;
};

} // namespace godwit
