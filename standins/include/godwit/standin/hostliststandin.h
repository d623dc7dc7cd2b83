#pragma once

#include <godwit/ports/hostlist.h>
#include <godwit/standin/standin.h>

#include <deque>
#include <vector>

namespace godwit::standin {

/// Configuration of a host list.
struct HostListConfig : StandinConfig
{
    std::vector<ListedHost> hosts;
    Duration lag{0}; ///< Changes become visible this much later.

    friend bool operator==(const HostListConfig &, const HostListConfig &) = default;
};

/// Host list: GET /hosts. PUT /_standin/hosts replaces the hosts (array of ListedHost).
class HostListStandin : public Standin
{
public:
    HostListStandin(boost::asio::io_context &io, HostListConfig config);

    void setHosts(std::vector<ListedHost> hosts);

protected:
    void handle(HttpRequest request, const ReplyPointer &reply) override;
    bool handleControl(const HttpRequest &request, const ReplyPointer &reply) override;

private:
    struct Entry
    {
        TimePoint since;
        HostList list;
    };

    const HostList &visible() const;

    Duration m_lag;
    std::vector<Entry> m_history;
};

} // namespace godwit::standin

template <>
struct godwit::JsonFields<godwit::standin::HostListConfig>
{
    using Config = godwit::standin::HostListConfig;
    static constexpr auto table = std::tuple_cat(
            JsonFields<godwit::standin::StandinConfig>::table,
            std::tuple{field("hosts", &Config::hosts), field("lag_us", &Config::lag)});
};
