#pragma once

#include <godwit/standin/keyvaluestore.h>
#include <godwit/standin/standin.h>

#include <vector>

namespace godwit::standin {

/// Configuration of a simulated key-value service.
struct KeyValueConfig : StandinConfig
{
    std::uint64_t valueLimit = 1'000'000;                ///< Maximum size of a value in bytes.
    std::uint64_t historyLimit = 100'000;                ///< Number of events kept for watches.
    Duration progressInterval = std::chrono::seconds(5); ///< Of messages on all watches.

    friend bool operator==(const KeyValueConfig &, const KeyValueConfig &) = default;
};

/// Simulates a key-value service with the JSON gateway of the etcd v3 API: range, put, deleterange,
/// txn, lease grant, keepalive and revoke, and watch. Calls are counted by method. GET
/// /_standin/watches returns the number of pending watches.
class KeyValueStandin : public Standin
{
public:
    KeyValueStandin(boost::asio::io_context &io, KeyValueConfig config);

    KeyValueStore &store() { return m_store; }
    std::size_t pendingWatches() const { return m_watchers.size(); }

protected:
    void handle(HttpRequest request, const ReplyPointer &reply) override;
    bool handleControl(const HttpRequest &request, const ReplyPointer &reply) override;
    std::string requestKind(const HttpRequest &request) const override;
    void onFaultChanged(const Fault &fault) override;

private:
    struct Watcher
    {
        std::string key;
        std::string end;
        std::uint64_t next; ///< Revision of the next event to send.
        ReplyPointer reply;
    };

    using MethodResult = Result<boost::json::object>;
    using Method = MethodResult (KeyValueStandin::*)(const boost::json::object &);
    struct MethodRow;
    static const MethodRow Methods[];

    MethodResult range(const boost::json::object &body);
    MethodResult put(const boost::json::object &body);
    MethodResult deleteRange(const boost::json::object &body);
    MethodResult transaction(const boost::json::object &body);
    MethodResult grantLease(const boost::json::object &body);
    MethodResult keepAlive(const boost::json::object &body);
    MethodResult revokeLease(const boost::json::object &body);

    bool withinRate(const MethodRow &method);
    boost::json::object header() const;
    void startWatch(const boost::json::object &body, const ReplyPointer &reply);
    void notifyWatchers();
    void sendEvents(Watcher &watcher);
    void closeWatchers();
    void sendProgress();
    void expireLeases();
    void scheduleExpiry();

    KeyValueConfig m_config;
    KeyValueStore m_store;
    TokenBucket m_readLimiter;
    TokenBucket m_writeLimiter;
    std::vector<Watcher> m_watchers;
    TimePoint m_nextExpiry = TimePoint::max();
};

} // namespace godwit::standin

template <>
struct godwit::JsonFields<godwit::standin::KeyValueConfig>
{
    using Config = godwit::standin::KeyValueConfig;
    static constexpr auto table =
            std::tuple_cat(JsonFields<godwit::standin::StandinConfig>::table,
                           std::tuple{field("value_limit", &Config::valueLimit),
                                      field("history_limit", &Config::historyLimit),
                                      field("progress_interval_us", &Config::progressInterval)});
};
