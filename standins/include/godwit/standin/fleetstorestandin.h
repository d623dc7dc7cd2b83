#pragma once

#include <godwit/ports/asioscheduler.h>
#include <godwit/ports/httpserver.h>

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace godwit {

/// Simulates the metadata store of the external platform: items with revisions, paged lists,
/// long-polling watches, conditional transactions and leases. The public data members inject
/// faults.
class FleetStoreStandin
{
public:
    explicit FleetStoreStandin(boost::asio::io_context &io);
    ~FleetStoreStandin();

    HttpEndpoint endpoint() const { return m_server->endpoint(); }

    /// Writes an item as the operator or a backend server does.
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);

    /// Drops the history up to the current revision. Pending watches are closed, and watches from
    /// an earlier revision are answered with status 410.
    void compact();

    /// Takes the copy to which restore() returns.
    void copy();

    /// Returns to the state at the last copy() and begins a new era, as a store that comes back
    /// from a copy: writes, revisions and leases since then are gone, and revisions and lease ids
    /// are assigned again. Pending watches are closed.
    void restore();

    std::uint64_t revision() const { return m_state.revision; }
    std::uint64_t era() const { return m_era; }
    std::vector<std::string> keys(std::string_view prefix) const;

    std::size_t pageSize = 500; ///< Maximum number of items per page.
    int rejectNextCalls = 0;    ///< Number of following calls to answer with status 503.
    int dropNextReplies = 0;    ///< Number of following transactions to apply without a reply.
    bool statesEra = true;      ///< Responses state the era.
    int callCount = 0;          ///< Calls received so far.

private:
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t lease = 0;
    };
    struct Event
    {
        std::string key;
        std::uint64_t revision = 0;
        bool removed = false;
    };
    struct State
    {
        std::map<std::string, Item> items;
        std::vector<Event> history;
        /// Lease id to time to live in milliseconds.
        std::map<std::uint64_t, std::uint64_t> leases;
        std::uint64_t revision = 1;
        std::uint64_t compactedRevision = 0; ///< The history up to this revision has been dropped.
        std::uint64_t lastLease = 0;
    };
    struct Watch
    {
        std::string prefix;
        std::uint64_t after = 0;
        std::shared_ptr<HttpReply> reply;
        std::unique_ptr<Timer> timer;
    };

    void handle(const HttpRequest &request, const std::shared_ptr<HttpReply> &reply);
    /// Sends \a response with the era.
    void send(HttpReply &reply, HttpResponse response) const;
    void handleKey(const HttpRequest &request, HttpReply &reply);
    void handleRange(const HttpRequest &request, HttpReply &reply);
    void handleWatch(const HttpRequest &request, const std::shared_ptr<HttpReply> &reply);
    void handleTransaction(const HttpRequest &request, const std::shared_ptr<HttpReply> &reply);
    void handleLease(const HttpRequest &request, HttpReply &reply);
    std::string eventsJson(const std::string &prefix, std::uint64_t after, bool &any) const;
    std::string itemJson(const std::string &key, const Item &item) const;
    void notifyWatches();
    void closeWatches();

    AsioScheduler m_scheduler;
    std::unique_ptr<HttpServer> m_server;
    State m_state;
    State m_copy;
    std::uint64_t m_era = 1;
    std::list<Watch> m_watches;
};

} // namespace godwit
