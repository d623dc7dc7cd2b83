#pragma once

#include <godwit/ports/httpserver.h>

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace godwit {

/// Small stand-in of the metadata store of the users' platform: items with revisions, pages,
/// watches that are held, conditional changes and leases. Faults are switched on by its members.
class FleetStoreStandin
{
public:
    explicit FleetStoreStandin(boost::asio::io_context &io);
    ~FleetStoreStandin();

    HttpEndpoint endpoint() const { return m_server->endpoint(); }

    /// Writes as the operator or a backend server does.
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);

    /// Forgets the history up to now; watches from before it get 410.
    void compact();

    std::uint64_t revision() const { return m_revision; }

    std::size_t pageItems = 500; ///< Items of one page.
    int refuseCalls = 0;         ///< So many calls are answered 503.
    int loseAnswers = 0;         ///< So many changes take effect without an answer.
    int calls = 0;               ///< Received so far.

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
    struct Watch
    {
        std::string prefix;
        std::uint64_t after = 0;
        std::shared_ptr<HttpReply> reply;
        std::unique_ptr<boost::asio::steady_timer> timer;
    };

    void handle(const HttpRequest &request, const std::shared_ptr<HttpReply> &reply);
    void handleKey(const HttpRequest &request, HttpReply &reply);
    void handleRange(const HttpRequest &request, HttpReply &reply);
    void handleWatch(const HttpRequest &request, const std::shared_ptr<HttpReply> &reply);
    void handleChange(const HttpRequest &request, const std::shared_ptr<HttpReply> &reply);
    void handleLease(const HttpRequest &request, HttpReply &reply);
    std::string eventsText(const std::string &prefix, std::uint64_t after, bool &any) const;
    std::string itemText(const std::string &key, const Item &item) const;
    void answerWatches();

    boost::asio::io_context &m_io;
    std::unique_ptr<HttpServer> m_server;
    std::map<std::string, Item> m_items;
    std::vector<Event> m_history;
    std::list<Watch> m_watches;
    std::map<std::uint64_t, std::uint64_t> m_leases; ///< Times to live in milliseconds.
    std::uint64_t m_revision = 1;
    std::uint64_t m_forgotten = 0; ///< History up to it is gone.
    std::uint64_t m_lastLease = 0;
};

} // namespace godwit
