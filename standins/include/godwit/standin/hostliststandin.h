#pragma once

#include <godwit/ports/hostlist.h>
#include <godwit/standin/standin.h>

#include <deque>
#include <vector>

namespace godwit::standin {

/// Configuration of a simulated host list.
struct HostListConfig : StandinConfig
{
    std::vector<ListedHost> hosts;
    Duration lag{0}; ///< Delay before changes become visible.

    friend bool operator==(const HostListConfig &, const HostListConfig &) = default;
};

/// Simulates the host list service. GET /hosts returns the list; PUT /_standin/hosts replaces its
/// hosts (array of ListedHost).
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

    const HostList &visibleList() const;

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
