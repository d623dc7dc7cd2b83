#include <godwit/wire/iothread.h>

namespace godwit {

IoThread::IoThread()
    : m_work(m_io.get_executor())
    , m_thread([this] { m_io.run(); })
{}

IoThread::~IoThread()
{
    m_work.reset();
    m_io.stop();
    m_thread.join();
}

} // namespace godwit
