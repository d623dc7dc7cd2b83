#include <godwit/standin/hostliststandin.h>

namespace godwit::standin {

HostListStandin::HostListStandin(boost::asio::io_context &io, HostListConfig config)
    : Standin(io, config)
    , m_lag(config.lag)
{
    m_history.push_back({TimePoint::min(), {1, std::move(config.hosts)}});
}

void HostListStandin::setHosts(std::vector<ListedHost> hosts)
{
    const std::uint64_t version = m_history.back().list.version + 1;
    m_history.push_back({MonotonicClock::now(), {version, std::move(hosts)}});
}

const HostList &HostListStandin::visibleList() const
{
    const TimePoint cutoff = MonotonicClock::now() - m_lag;
    auto it = m_history.rbegin();
    while (it->since > cutoff)
        ++it;
    return it->list;
}

void HostListStandin::handle(HttpRequest request, const ReplyPointer &reply)
{
    if (request.method == "GET" && request.path() == "/hosts")
        sendJson(reply, 200, toJson(visibleList()));
    else
        sendError(reply, 404, "not_found", "no such resource");
}

bool HostListStandin::handleControl(const HttpRequest &request, const ReplyPointer &reply)
{
    if (request.method != "PUT" || request.path() != "/_standin/hosts")
        return false;
    auto outcome = capture([&] { return parseJson<std::vector<ListedHost>>(request.body); });
    if (const auto *error = std::get_if<Error>(&outcome)) {
        sendError(reply, 400, "invalid", error->detail);
    } else {
        setHosts(std::move(std::get<0>(outcome)));
        sendJson(reply, 200, toJson(m_history.back().list));
    }
    return true;
}

} // namespace godwit::standin
