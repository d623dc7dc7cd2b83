#include <godwit/ports/base64.h>
#include <godwit/standin/keyvaluestandin.h>

#include <algorithm>
#include <charconv>

namespace godwit::standin {

namespace {

namespace json = boost::json;

constexpr std::string_view WatchPath = "/v3/watch";
/// The service closes a watch when more bytes than this are queued for its caller.
constexpr std::size_t WatchQueueLimit = 512UL * 1024;

std::string decimal(std::uint64_t n)
{
    return std::to_string(n);
}

/// Returns a 64-bit integer, which the gateway accepts as a string or a number; 0 if absent.
std::uint64_t numberAt(const json::object &object, json::string_view name)
{
    const auto *value = object.if_contains(name);
    if (!value)
        return 0;
    std::uint64_t n = 0;
    if (const auto *text = value->if_string())
        std::from_chars(text->data(), text->data() + text->size(), n);
    else if (value->is_int64() && value->get_int64() > 0)
        n = static_cast<std::uint64_t>(value->get_int64());
    else if (value->is_uint64())
        n = value->get_uint64();
    return n;
}

std::string textAt(const json::object &object, json::string_view name)
{
    const auto *value = object.if_contains(name);
    const auto *text = value ? value->if_string() : nullptr;
    return text ? std::string(*text) : std::string();
}

Result<std::string> bytesAt(const json::object &object, json::string_view name)
{
    auto bytes = base64Decode(textAt(object, name));
    if (!bytes)
        return fail(ResultCode::PlatformRejected, std::string(name) + ": not base64");
    return std::move(*bytes);
}

const json::array &arrayAt(const json::object &object, json::string_view name)
{
    static const json::array none;
    const auto *value = object.if_contains(name);
    return value && value->is_array() ? value->get_array() : none;
}

const json::object &objectAt(const json::object &object, json::string_view name)
{
    static const json::object none;
    const auto *value = object.if_contains(name);
    return value && value->is_object() ? value->get_object() : none;
}

json::object entryJson(const std::string &key, const KeyValueStore::Entry &entry)
{
    json::object kv{{"key", base64Encode(key)},
                    {"create_revision", decimal(entry.created)},
                    {"mod_revision", decimal(entry.modified)},
                    {"version", decimal(entry.version)},
                    {"value", base64Encode(entry.value)}};
    if (entry.lease != 0)
        kv["lease"] = decimal(entry.lease);
    return kv;
}

json::object eventJson(const KeyValueStore::Event &event)
{
    if (!event.deleted)
        return {{"kv", entryJson(event.key, event.entry)}};
    return {{"type", "DELETE"},
            {"kv", json::object{{"key", base64Encode(event.key)},
                                {"mod_revision", decimal(event.revision)}}}};
}

Result<KeyValueStore::Write> parsePut(const json::object &body, std::uint64_t valueLimit)
{
    KeyValueStore::Write write;
    BOOST_LEAF_ASSIGN(write.key, bytesAt(body, "key"));
    BOOST_LEAF_ASSIGN(write.value, bytesAt(body, "value"));
    write.lease = numberAt(body, "lease");
    if (write.key.empty())
        return fail(ResultCode::PlatformRejected, "key is not provided");
    if (write.value.size() > valueLimit)
        return fail(ResultCode::PlatformRejected, "request is too large");
    return write;
}

Result<KeyValueStore::Write> parseDelete(const json::object &body)
{
    KeyValueStore::Write write;
    write.remove = true;
    BOOST_LEAF_ASSIGN(write.key, bytesAt(body, "key"));
    BOOST_LEAF_ASSIGN(write.end, bytesAt(body, "range_end"));
    return write;
}

/// Returns whether a compare condition of a transaction holds.
Result<bool> compareHolds(const KeyValueStore &store, const json::object &compare)
{
    static const KeyValueStore::Entry absent;
    struct Target
    {
        std::string_view name;
        json::string_view member;
        std::uint64_t KeyValueStore::Entry::*value;
    };
    static constexpr Target targets[] = {
            {"MOD", "mod_revision", &KeyValueStore::Entry::modified},
            {"CREATE", "create_revision", &KeyValueStore::Entry::created},
            {"VERSION", "version", &KeyValueStore::Entry::version},
    };
    BOOST_LEAF_AUTO(key, bytesAt(compare, "key"));
    const auto *entry = store.find(key);
    const std::string kind = textAt(compare, "target");
    const std::string result = textAt(compare, "result");
    for (const Target &target : targets) {
        if (target.name == kind && (result.empty() || result == "EQUAL"))
            return (entry ? *entry : absent).*target.value == numberAt(compare, target.member);
    }
    return fail(ResultCode::PlatformRejected, "compare is not supported: " + kind + ' ' + result);
}

/// Returns the HTTP status and the gRPC code with which the gateway reports an error.
std::pair<int, int> statusOf(ResultCode code)
{
    if (code == ResultCode::LeaseExpired)
        return {404, 5};
    if (code == ResultCode::PlatformRefused)
        return {429, 8};
    return {400, 3};
}

std::string resultLine(json::object result)
{
    return json::serialize(json::object{{"result", std::move(result)}}) + '\n';
}

} // namespace

struct KeyValueStandin::MethodRow
{
    std::string_view path;
    std::string_view kind;
    bool write;
    Method method;
};

const KeyValueStandin::MethodRow KeyValueStandin::Methods[] = {
        {"/v3/kv/range", "range", false, &KeyValueStandin::range},
        {"/v3/kv/put", "put", true, &KeyValueStandin::put},
        {"/v3/kv/deleterange", "deleterange", true, &KeyValueStandin::deleteRange},
        {"/v3/kv/txn", "txn", true, &KeyValueStandin::transaction},
        {"/v3/lease/grant", "lease_grant", true, &KeyValueStandin::grantLease},
        {"/v3/lease/keepalive", "lease_keepalive", false, &KeyValueStandin::keepAlive},
        {"/v3/lease/revoke", "lease_revoke", true, &KeyValueStandin::revokeLease},
};

KeyValueStandin::KeyValueStandin(boost::asio::io_context &io, KeyValueConfig config)
    : Standin(io, config)
    , m_config(std::move(config))
    , m_store(m_config.historyLimit)
{
    runAfter(m_config.progressInterval, [this] { sendProgress(); });
}

std::string KeyValueStandin::requestKind(const HttpRequest &request) const
{
    for (const MethodRow &row : Methods) {
        if (row.path == request.path())
            return std::string(row.kind);
    }
    return request.path() == WatchPath ? "watch" : "other";
}

void KeyValueStandin::handle(HttpRequest request, const ReplyPointer &reply)
{
    expireLeases();
    json::error_code ec;
    const auto body = json::parse(request.body, ec);
    if (ec || !body.is_object()) {
        sendError(reply, 400, "invalid", "the body is not a JSON object");
        return;
    }
    if (request.path() == WatchPath) {
        startWatch(objectAt(body.get_object(), "create_request"), reply);
        return;
    }
    const auto row = std::ranges::find(Methods, request.path(), &MethodRow::path);
    if (row == std::end(Methods)) {
        sendError(reply, 404, "not_found", "no such method");
        return;
    }
    const auto outcome = capture([&]() -> MethodResult {
        if (!withinRate(*row))
            return fail(ResultCode::PlatformRefused, "too many requests");
        return (this->*row->method)(body.get_object());
    });
    if (const auto *error = std::get_if<Error>(&outcome)) {
        const auto [status, code] = statusOf(error->code);
        sendJson(
                reply, status,
                json::object{{"error", error->detail}, {"code", code}, {"message", error->detail}});
    } else {
        sendJson(reply, 200, std::get<0>(outcome));
    }
    notifyWatchers();
}

bool KeyValueStandin::handleControl(const HttpRequest &request, const ReplyPointer &reply)
{
    if (request.method != "GET" || request.path() != "/_standin/watches")
        return false;
    sendJson(reply, 200, json::object{{"pending", m_watchers.size()}});
    return true;
}

void KeyValueStandin::onFaultChanged(const Fault &fault)
{
    if (fault.name == "expire_leases") {
        m_store.expire(TimePoint::max());
        notifyWatchers();
    } else if (fault.name == "compact") {
        m_store.compact();
    } else if (fault.name == "outage" && fault.on) {
        closeWatchers();
    }
}

bool KeyValueStandin::withinRate(const MethodRow &method)
{
    const auto rate = faults().value(method.write ? "write_rate" : "read_rate");
    TokenBucket &limiter = method.write ? m_writeLimiter : m_readLimiter;
    return !rate || limiter.take(1, *rate, MonotonicClock::now());
}

json::object KeyValueStandin::header() const
{
    return {{"cluster_id", "1"}, {"member_id", "1"}, {"revision", decimal(m_store.revision())}};
}

KeyValueStandin::MethodResult KeyValueStandin::range(const json::object &body)
{
    BOOST_LEAF_AUTO(first, bytesAt(body, "key"));
    BOOST_LEAF_AUTO(end, bytesAt(body, "range_end"));
    json::array kvs;
    for (const auto &[key, entry] : m_store.range(first, end))
        kvs.push_back(entryJson(key, entry));
    json::object response{{"header", header()}};
    if (!kvs.empty()) {
        response["count"] = decimal(kvs.size());
        response["kvs"] = std::move(kvs);
    }
    return response;
}

KeyValueStandin::MethodResult KeyValueStandin::put(const json::object &body)
{
    BOOST_LEAF_AUTO(write, parsePut(body, m_config.valueLimit));
    BOOST_LEAF_CHECK(m_store.apply({write}));
    return json::object{{"header", header()}};
}

KeyValueStandin::MethodResult KeyValueStandin::deleteRange(const json::object &body)
{
    BOOST_LEAF_AUTO(write, parseDelete(body));
    const auto deleted = m_store.range(write.key, write.end).size();
    BOOST_LEAF_CHECK(m_store.apply({write}));
    return json::object{{"header", header()}, {"deleted", decimal(deleted)}};
}

KeyValueStandin::MethodResult KeyValueStandin::transaction(const json::object &body)
{
    bool succeeded = true;
    for (const auto &compare : arrayAt(body, "compare")) {
        if (!compare.is_object())
            return fail(ResultCode::PlatformRejected, "compare: expected objects");
        BOOST_LEAF_AUTO(equal, compareHolds(m_store, compare.get_object()));
        succeeded = succeeded && equal;
    }
    std::vector<KeyValueStore::Write> writes;
    json::array responses;
    for (const auto &item : arrayAt(body, succeeded ? "success" : "failure")) {
        const auto &operation = item.is_object() ? item.get_object() : json::object();
        if (operation.contains("request_put")) {
            BOOST_LEAF_AUTO(write,
                            parsePut(objectAt(operation, "request_put"), m_config.valueLimit));
            writes.push_back(std::move(write));
            responses.push_back(json::object{{"response_put", json::object()}});
        } else if (operation.contains("request_delete_range")) {
            BOOST_LEAF_AUTO(write, parseDelete(objectAt(operation, "request_delete_range")));
            writes.push_back(std::move(write));
            responses.push_back(json::object{{"response_delete_range", json::object()}});
        } else {
            BOOST_LEAF_AUTO(found, range(objectAt(operation, "request_range")));
            responses.push_back(json::object{{"response_range", found}});
        }
    }
    BOOST_LEAF_CHECK(m_store.apply(writes));
    json::object response{{"header", header()}, {"responses", std::move(responses)}};
    // The gateway omits members with default values.
    if (succeeded)
        response["succeeded"] = true;
    return response;
}

KeyValueStandin::MethodResult KeyValueStandin::grantLease(const json::object &body)
{
    const auto seconds = numberAt(body, "TTL");
    if (seconds == 0)
        return fail(ResultCode::PlatformRejected, "TTL must be positive");
    const auto lease = m_store.grantLease(seconds, MonotonicClock::now());
    scheduleExpiry();
    return json::object{{"header", header()}, {"ID", decimal(lease)}, {"TTL", decimal(seconds)}};
}

KeyValueStandin::MethodResult KeyValueStandin::keepAlive(const json::object &body)
{
    const auto lease = numberAt(body, "ID");
    const auto seconds = m_store.keepAlive(lease, MonotonicClock::now());
    json::object result{{"header", header()}, {"ID", decimal(lease)}};
    if (seconds != 0)
        result["TTL"] = decimal(seconds);
    return json::object{{"result", result}};
}

KeyValueStandin::MethodResult KeyValueStandin::revokeLease(const json::object &body)
{
    if (!m_store.revokeLease(numberAt(body, "ID")))
        return fail(ResultCode::LeaseExpired, "requested lease not found");
    return json::object{{"header", header()}};
}

void KeyValueStandin::startWatch(const json::object &body, const ReplyPointer &reply)
{
    const auto range = capture([&]() -> Result<std::pair<std::string, std::string>> {
        BOOST_LEAF_AUTO(first, bytesAt(body, "key"));
        BOOST_LEAF_AUTO(end, bytesAt(body, "range_end"));
        return std::pair(std::move(first), std::move(end));
    });
    if (const auto *error = std::get_if<Error>(&range)) {
        sendError(reply, 400, "invalid", error->detail);
        return;
    }
    const auto &[first, end] = std::get<0>(range);
    const auto from = numberAt(body, "start_revision");
    reply->start(200, {{"Content-Type", "application/json"}});
    reply->write(resultLine({{"header", header()}, {"created", true}}));
    reply->onClosed([this, raw = reply.get()] {
        std::erase_if(m_watchers, [raw](const Watcher &each) { return each.reply.get() == raw; });
    });
    m_watchers.push_back({first, end, from != 0 ? from : m_store.revision() + 1, reply});
    notifyWatchers();
}

void KeyValueStandin::notifyWatchers()
{
    for (Watcher &watcher : m_watchers)
        sendEvents(watcher);
    std::erase_if(m_watchers, [](const Watcher &each) { return !each.reply; });
}

void KeyValueStandin::sendEvents(Watcher &watcher)
{
    if (watcher.next > m_store.revision())
        return;
    const auto events = m_store.eventsFrom(watcher.next);
    if (!events) {
        watcher.reply->write(
                resultLine({{"header", header()},
                            {"canceled", true},
                            {"compact_revision", decimal(m_store.compactedRevision())}}));
        watcher.reply->finish();
        watcher.reply = nullptr;
        return;
    }
    json::array items;
    for (const auto &event : *events) {
        if (KeyValueStore::inRange(event.key, watcher.key, watcher.end))
            items.push_back(eventJson(event));
    }
    watcher.next = m_store.revision() + 1;
    if (items.empty())
        return;
    const auto queued =
            watcher.reply->write(resultLine({{"header", header()}, {"events", std::move(items)}}));
    if (queued > WatchQueueLimit) {
        watcher.reply->abort();
        watcher.reply = nullptr;
    }
}

void KeyValueStandin::closeWatchers()
{
    for (const Watcher &watcher : std::exchange(m_watchers, {}))
        watcher.reply->abort();
}

void KeyValueStandin::sendProgress()
{
    for (const Watcher &watcher : m_watchers)
        watcher.reply->write(resultLine({{"header", header()}}));
    runAfter(m_config.progressInterval, [this] { sendProgress(); });
}

void KeyValueStandin::expireLeases()
{
    if (m_store.expire(MonotonicClock::now()))
        notifyWatchers();
}

void KeyValueStandin::scheduleExpiry()
{
    const auto next = m_store.nextExpiry();
    if (!next || *next >= m_nextExpiry)
        return;
    m_nextExpiry = *next;
    runAfter(*next - MonotonicClock::now(), [this] {
        m_nextExpiry = TimePoint::max();
        expireLeases();
        scheduleExpiry();
    });
}

} // namespace godwit::standin
