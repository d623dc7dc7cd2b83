#include <godwit/apps/peerpool.h>

namespace godwit {

WireClient &PeerPool::client(const Endpoint &endpoint)
{
    m_idle.erase(endpoint);
    auto &client = m_clients[endpoint];
    if (!client)
        client = std::make_unique<WireClient>(m_io, endpoint.address, endpoint.port, m_options);
    return *client;
}

void PeerPool::closeIdle()
{
    for (const auto &endpoint : m_idle)
        m_clients.erase(endpoint);
    m_idle.clear();
    for (const auto &[endpoint, client] : m_clients) {
        if (client->openStreams() == 0)
            m_idle.insert(endpoint);
    }
}

} // namespace godwit
