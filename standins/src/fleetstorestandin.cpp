#include <godwit/standin/fleetstorestandin.h>

#include <godwit/ports/base64.h>

#include <boost/json.hpp>

#include <charconv>

namespace godwit {

namespace {

namespace json = boost::json;

std::uint64_t number(const std::string &text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::uint64_t queryNumber(const HttpRequest &request, const char *name)
{
    return number(request.query(name).value_or("0"));
}

std::string_view lastPathSegment(std::string_view path)
{
    return path.substr(path.rfind('/') + 1);
}

} // namespace

FleetStoreStandin::FleetStoreStandin(boost::asio::io_context &io)
    : m_scheduler(io)
{
    HttpServerOptions options;
    auto outcome = capture([&] {
        return HttpServer::listen(
                io, options,
                [this](const HttpRequest &request, const std::shared_ptr<HttpReply> &reply) {
                    handle(request, reply);
                });
    });
    m_server = std::move(std::get<0>(outcome));
}

FleetStoreStandin::~FleetStoreStandin() = default;

void FleetStoreStandin::put(const std::string &key, const std::string &value)
{
    m_state.items[key] = {value, ++m_state.revision, 0};
    m_state.history.push_back({key, m_state.revision, false});
    notifyWatches();
}

void FleetStoreStandin::remove(const std::string &key)
{
    if (m_state.items.erase(key) == 0)
        return;
    m_state.history.push_back({key, ++m_state.revision, true});
    notifyWatches();
}

void FleetStoreStandin::compact()
{
    m_state.compactedRevision = m_state.revision;
    m_state.history.clear();
    closeWatches();
}

void FleetStoreStandin::copy()
{
    m_copy = m_state;
}

void FleetStoreStandin::restore()
{
    m_state = m_copy;
    ++m_era;
    closeWatches();
}

std::vector<std::string> FleetStoreStandin::keys(std::string_view prefix) const
{
    std::vector<std::string> found;
    for (const auto &[key, item] : m_state.items) {
        if (key.starts_with(prefix))
            found.push_back(key);
    }
    return found;
}

void FleetStoreStandin::closeWatches()
{
    for (const Watch &it : m_watches)
        it.reply->abort();
    m_watches.clear();
}

void FleetStoreStandin::send(HttpReply &reply, HttpResponse response) const
{
    if (statesEra)
        response.headers.add("Store-Era", std::to_string(m_era));
    reply.send(std::move(response));
}

void FleetStoreStandin::handle(const HttpRequest &request, const std::shared_ptr<HttpReply> &reply)
{
    ++callCount;
    if (rejectNextCalls > 0) {
        --rejectNextCalls;
        send(*reply, {503, {}, {}});
        return;
    }
    const std::string_view path = request.path();
    if (path == "/godwitrun/kv-key")
        handleKey(request, *reply);
    else if (path == "/godwitrun/kv-range")
        handleRange(request, *reply);
    else if (path == "/godwitrun/kv-watch")
        handleWatch(request, reply);
    else if (path == "/godwitrun/kv-txn")
        handleTransaction(request, reply);
    else
        handleLease(request, *reply);
}

std::string FleetStoreStandin::itemJson(const std::string &key, const Item &item) const
{
    return json::serialize(json::object{{"key", key},
                                        {"value", base64Encode(item.value)},
                                        {"rev", item.revision},
                                        {"created_at", item.revision},
                                        {"lease", item.lease}});
}

void FleetStoreStandin::handleKey(const HttpRequest &request, HttpReply &reply)
{
    const auto it = m_state.items.find(request.query("key").value_or(""));
    if (it == m_state.items.end())
        send(reply, {404, {}, {}});
    else
        send(reply, HttpResponse::json(200, itemJson(it->first, it->second)));
}

void FleetStoreStandin::handleRange(const HttpRequest &request, HttpReply &reply)
{
    const std::string prefix = request.query("prefix").value_or("");
    const std::string after = request.query("after").value_or("");
    std::string items;
    std::size_t n = 0;
    bool more = false;
    for (const auto &[key, item] : m_state.items) {
        if (!key.starts_with(prefix) || key <= after)
            continue;
        if (n == pageSize) {
            more = true;
            break;
        }
        items += (n++ > 0 ? "," : "") + itemJson(key, item);
    }
    send(reply,
         HttpResponse::json(200, R"({"items":[)" + items + R"(],"has_more":)"
                                         + (more ? "true" : "false") + R"(,"store_revision":)"
                                         + std::to_string(m_state.revision) + '}'));
}

std::string FleetStoreStandin::eventsJson(const std::string &prefix, std::uint64_t after,
                                          bool &any) const
{
    std::string events;
    for (const Event &it : m_state.history) {
        if (it.revision <= after || !it.key.starts_with(prefix))
            continue;
        const auto item = m_state.items.find(it.key);
        if (!it.removed && (item == m_state.items.end() || item->second.revision != it.revision))
            continue; // Superseded by a later event in the history.
        if (!events.empty())
            events += ',';
        events += it.removed ? json::serialize(
                          json::object{{"key", it.key}, {"rev", it.revision}, {"tombstone", true}})
                             : itemJson(it.key, item->second);
    }
    any = !events.empty();
    return R"({"events":[)" + events + R"(],"store_revision":)" + std::to_string(m_state.revision)
           + '}';
}

void FleetStoreStandin::handleWatch(const HttpRequest &request,
                                    const std::shared_ptr<HttpReply> &reply)
{
    const std::string prefix = request.query("prefix").value_or("");
    const std::uint64_t after = queryNumber(request, "after");
    if (after < m_state.compactedRevision || after > m_state.revision) {
        send(*reply, {410, {}, {}});
        return;
    }
    bool any = false;
    const std::string text = eventsJson(prefix, after, any);
    if (any) {
        send(*reply, HttpResponse::json(200, text));
        return;
    }
    const auto it = m_watches.insert(m_watches.end(), Watch{prefix, after, reply, nullptr});
    // A watch that is answered before the handler of its expired timer runs takes the handler with
    // it.
    const auto wait = std::chrono::milliseconds(queryNumber(request, "wait_ms"));
    it->timer = m_scheduler.after(wait, [this, it] {
        bool unused = false;
        send(*it->reply, HttpResponse::json(200, eventsJson(it->prefix, it->after, unused)));
        m_watches.erase(it);
    });
}

void FleetStoreStandin::notifyWatches()
{
    for (auto it = m_watches.begin(); it != m_watches.end();) {
        bool any = false;
        const std::string text = eventsJson(it->prefix, it->after, any);
        if (!any) {
            ++it;
            continue;
        }
        send(*it->reply, HttpResponse::json(200, text));
        it = m_watches.erase(it);
    }
}

void FleetStoreStandin::handleTransaction(const HttpRequest &request,
                                          const std::shared_ptr<HttpReply> &reply)
{
    const json::value body = json::parse(request.body);
    for (const json::value &row : body.at("expected").as_array()) {
        const auto it = m_state.items.find(std::string(row.at("key").as_string()));
        const std::uint64_t currentRevision = it == m_state.items.end() ? 0 : it->second.revision;
        if (currentRevision != row.at("rev").to_number<std::uint64_t>()) {
            send(*reply, HttpResponse::json(412, R"({"items":[]})"));
            return;
        }
    }
    for (const json::value &row : body.at("puts").as_array()) {
        const auto lease = row.at("lease").to_number<std::uint64_t>();
        if (lease != 0 && !m_state.leases.contains(lease)) {
            send(*reply, {404, {}, {}});
            return;
        }
        const std::string key(row.at("key").as_string());
        put(key, base64Decode(std::string(row.at("value").as_string())).value_or(""));
        m_state.items[key].lease = lease;
    }
    for (const json::value &row : body.at("remove").as_array())
        remove(std::string(row.as_string()));
    if (dropNextReplies > 0) {
        --dropNextReplies;
        reply->abort();
        return;
    }
    send(*reply, HttpResponse::json(200, R"({"rev":)" + std::to_string(m_state.revision) + '}'));
}

void FleetStoreStandin::handleLease(const HttpRequest &request, HttpReply &reply)
{
    const std::string_view path = request.path();
    if (path == "/godwitrun/kv-lease") {
        const auto ttl = json::parse(request.body).at("ttl_ms").to_number<std::uint64_t>();
        m_state.leases[++m_state.lastLease] = ttl;
        send(reply, HttpResponse::json(200, R"({"lease":)" + std::to_string(m_state.lastLease)
                                                    + R"(,"ttl_ms":)" + std::to_string(ttl) + '}'));
        return;
    }
    const std::uint64_t lease = number(std::string(lastPathSegment(path)));
    const auto found = m_state.leases.find(lease);
    if (found == m_state.leases.end()) {
        send(reply, {404, {}, {}});
        return;
    }
    const std::uint64_t ttl = found->second;
    if (path.starts_with("/godwitrun/kv-lease-end/")) {
        m_state.leases.erase(found);
        std::vector<std::string> leasedKeys;
        for (const auto &[key, item] : m_state.items) {
            if (item.lease == lease)
                leasedKeys.push_back(key);
        }
        for (const std::string &key : leasedKeys)
            remove(key);
    }
    send(reply, HttpResponse::json(200, R"({"ttl_ms":)" + std::to_string(ttl) + '}'));
}

} // namespace godwit
