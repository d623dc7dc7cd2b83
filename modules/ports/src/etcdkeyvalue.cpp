#include "servicecall.h"

#include <godwit/ports/base64.h>
#include <godwit/ports/etcdkeyvalue.h>

#include <boost/asio/post.hpp>

#include <charconv>

namespace godwit {

namespace {

namespace json = boost::json;

constexpr std::uint64_t ListLimit = 64UL * 1024 * 1024;
constexpr std::uint64_t WatchLimit = std::uint64_t(1) << 40; ///< Bytes of one watch.
constexpr std::size_t WatchMessageLimit = 64UL * 1024 * 1024;

// The gateway writes 64-bit integers as texts and leaves out members with default values.

std::uint64_t numberOf(const json::value &value)
{
    if (value.is_uint64())
        return value.get_uint64();
    if (value.is_int64())
        return static_cast<std::uint64_t>(std::max<std::int64_t>(value.get_int64(), 0));
    std::uint64_t n = 0;
    if (const auto *text = value.if_string())
        std::from_chars(text->data(), text->data() + text->size(), n);
    return n;
}

std::uint64_t numberAt(const json::object &object, json::string_view name)
{
    const auto *value = object.if_contains(name);
    return value ? numberOf(*value) : 0;
}

bool boolAt(const json::object &object, json::string_view name)
{
    const auto *value = object.if_contains(name);
    return value && value->is_bool() && value->get_bool();
}

const json::object *objectAt(const json::object &object, json::string_view name)
{
    const auto *value = object.if_contains(name);
    return value ? value->if_object() : nullptr;
}

const json::array *arrayAt(const json::object &object, json::string_view name)
{
    const auto *value = object.if_contains(name);
    return value ? value->if_array() : nullptr;
}

Result<std::string> bytesAt(const json::object &object, json::string_view name)
{
    const auto *value = object.if_contains(name);
    if (!value)
        return std::string();
    const auto *text = value->if_string();
    auto bytes = text ? base64Decode(std::string_view(*text)) : std::nullopt;
    if (!bytes)
        return fail(ResultCode::PlatformBadReply, std::string(name) + ": not base64");
    return std::move(*bytes);
}

std::string decimal(std::uint64_t n)
{
    return std::to_string(n);
}

StoreRevision headerRevision(const json::object &reply)
{
    const auto *header = objectAt(reply, "header");
    return {header ? numberAt(*header, "revision") : 0};
}

Result<KeyValueEntry> parseEntry(const json::object &kv)
{
    KeyValueEntry entry;
    BOOST_LEAF_ASSIGN(entry.key, bytesAt(kv, "key"));
    BOOST_LEAF_ASSIGN(entry.value, bytesAt(kv, "value"));
    entry.modified = {numberAt(kv, "mod_revision")};
    entry.lease = {numberAt(kv, "lease")};
    return entry;
}

Result<KeyValueList> parseList(const json::object &reply)
{
    KeyValueList list;
    list.revision = headerRevision(reply);
    const auto *kvs = arrayAt(reply, "kvs");
    if (!kvs)
        return list;
    for (const auto &kv : *kvs) {
        if (!kv.is_object())
            return fail(ResultCode::PlatformBadReply, "kvs: expected objects");
        BOOST_LEAF_AUTO(entry, parseEntry(kv.get_object()));
        list.entries.push_back(std::move(entry));
    }
    return list;
}

/// The end of the range of keys that start with \a prefix; "\0" stands for the end of all keys.
std::string rangeEnd(std::string prefix)
{
    while (!prefix.empty()) {
        const auto last = static_cast<unsigned char>(prefix.back());
        if (last < 0xFF) {
            prefix.back() = static_cast<char>(last + 1);
            return prefix;
        }
        prefix.pop_back();
    }
    return std::string(1, '\0');
}

json::object prefixRange(const std::string &prefix)
{
    // An empty key stands for the smallest key of all.
    const std::string start = prefix.empty() ? std::string(1, '\0') : prefix;
    return {{"key", base64Encode(start)}, {"range_end", base64Encode(rangeEnd(prefix))}};
}

json::array compareRevision(const std::string &key, StoreRevision expected)
{
    return {json::object{{"key", base64Encode(key)},
                         {"target", "MOD"},
                         {"result", "EQUAL"},
                         {"mod_revision", decimal(expected.value)}}};
}

/// Runs the method of the gateway at \a path and passes the reply to \a decode.
template <typename T, typename Decode>
void callGateway(HttpClient &client, const ServiceOptions &options, std::string path,
                 const json::object &body, Completion<T> done, Decode decode)
{
    HttpCall call = serviceCall(options, "POST", std::move(path));
    call.headers.add("Content-Type", "application/json");
    call.body = json::serialize(body);
    call.bodyLimit = ListLimit;
    callService<T>(client, std::move(call), std::move(done),
                   [decode = std::move(decode)](HttpResponse &response) -> Outcome<T> {
                       json::error_code ec;
                       const auto reply = json::parse(response.body, ec);
                       if (ec || !reply.is_object())
                           return Error{ResultCode::PlatformBadReply, "reply is not a JSON object"};
                       return capture([&] { return decode(reply.get_object()); });
                   });
}

/// Reports an unknown lease as LeaseExpired.
template <typename T>
Completion<T> leaseErrors(Completion<T> done)
{
    return [done = std::move(done)](Outcome<T> outcome) {
        auto *error = std::get_if<Error>(&outcome);
        if (error && error->code == ResultCode::NotFound)
            error->code = ResultCode::LeaseExpired;
        done(std::move(outcome));
    };
}

/// One watch: splits the streamed reply into messages, one JSON object a line.
class Watch
{
public:
    explicit Watch(WatchHandlers handlers)
        : m_handlers(std::move(handlers))
    {}

    void setStatus(int status) { m_status = status; }

    void onData(std::string_view data)
    {
        if (m_ended)
            return;
        m_buffer += data;
        if (m_status != 200)
            return;
        std::size_t start = 0;
        for (auto end = m_buffer.find('\n'); end != std::string::npos && !m_ended;
             end = m_buffer.find('\n', start)) {
            onMessage(std::string_view(m_buffer).substr(start, end - start));
            start = end + 1;
        }
        m_buffer.erase(0, start);
        if (m_buffer.size() > WatchMessageLimit)
            finish(Error{ResultCode::PlatformBadReply, "a watch message is too large"});
    }

    void onEnd(const Outcome<std::monostate> &outcome)
    {
        if (const auto *error = std::get_if<Error>(&outcome))
            finish(*error);
        else if (const auto error = errorOf({m_status, {}, m_buffer}))
            finish(*error);
        else
            finish(Error{ResultCode::PlatformReplyLost, "the service ended the watch"});
    }

    void setHandle(std::shared_ptr<CallHandle> handle)
    {
        if (m_ended)
            handle->cancel();
        else
            m_handle = std::move(handle);
    }

private:
    void onMessage(std::string_view text)
    {
        json::error_code ec;
        const auto message = json::parse(json::string_view(text.data(), text.size()), ec);
        const auto *result =
                !ec && message.is_object() ? objectAt(message.get_object(), "result") : nullptr;
        if (!result) {
            finish(Error{ResultCode::PlatformBadReply, "a watch message is not a result"});
            return;
        }
        if (boolAt(*result, "canceled")) {
            const bool compacted = numberAt(*result, "compact_revision") > 0;
            finish(Error{compacted ? ResultCode::WatchCompacted : ResultCode::PlatformFailed,
                         "the service cancelled the watch"});
            return;
        }
        if (boolAt(*result, "created") && m_handlers.onStarted)
            m_handlers.onStarted(headerRevision(*result));
        deliver(*result);
    }

    void deliver(const json::object &result)
    {
        const auto *events = arrayAt(result, "events");
        if (!events || events->empty())
            return;
        const auto outcome = capture([&] { return parseEvents(*events); });
        if (const auto *error = std::get_if<Error>(&outcome))
            finish(*error);
        else if (m_handlers.onEvents)
            m_handlers.onEvents(std::get<0>(outcome));
    }

    static Result<std::vector<WatchEvent>> parseEvents(const json::array &array)
    {
        std::vector<WatchEvent> events;
        for (const auto &item : array) {
            const auto *object = item.if_object();
            const auto *kv = object ? objectAt(*object, "kv") : nullptr;
            if (!kv)
                return fail(ResultCode::PlatformBadReply, "a watch event has no key");
            BOOST_LEAF_AUTO(entry, parseEntry(*kv));
            const auto *type = object->if_contains("type");
            const bool deleted = type && type->is_string() && type->get_string() == "DELETE";
            events.push_back({std::move(entry), deleted});
        }
        return events;
    }

    void finish(Outcome<Done> outcome)
    {
        if (std::exchange(m_ended, true))
            return;
        // Ends the call if the watch ends first.
        if (const auto handle = std::exchange(m_handle, nullptr))
            handle->cancel();
        const auto handlers = std::exchange(m_handlers, {});
        if (handlers.onEnd)
            handlers.onEnd(std::move(outcome));
    }

    WatchHandlers m_handlers;
    std::shared_ptr<CallHandle> m_handle;
    std::string m_buffer;
    int m_status = 0;
    bool m_ended = false;
};

} // namespace

EtcdKeyValue::EtcdKeyValue(HttpClient &client, ServiceOptions options, Duration watchTimeout)
    : m_client(client)
    , m_options(std::move(options))
    , m_watchTimeout(watchTimeout)
{}

void EtcdKeyValue::get(std::string key, Completion<std::optional<KeyValueEntry>> done)
{
    using Entry = std::optional<KeyValueEntry>;
    callGateway<Entry>(m_client, m_options, "/v3/kv/range", {{"key", base64Encode(key)}},
                       std::move(done), [](const json::object &reply) -> Result<Entry> {
                           BOOST_LEAF_AUTO(list, parseList(reply));
                           if (list.entries.empty())
                               return Entry();
                           return Entry(std::move(list.entries.front()));
                       });
}

void EtcdKeyValue::list(std::string prefix, Completion<KeyValueList> done)
{
    callGateway<KeyValueList>(m_client, m_options, "/v3/kv/range", prefixRange(prefix),
                              std::move(done), parseList);
}

void EtcdKeyValue::compareAndSwap(std::string key, StoreRevision expected, std::string value,
                                  LeaseId lease, Completion<StoreRevision> done)
{
    json::object put{{"key", base64Encode(key)}, {"value", base64Encode(value)}};
    if (lease.value != 0)
        put["lease"] = decimal(lease.value);
    const json::object body{{"compare", compareRevision(key, expected)},
                            {"success", json::array{json::object{{"request_put", put}}}}};
    callGateway<StoreRevision>(m_client, m_options, "/v3/kv/txn", body,
                               leaseErrors(std::move(done)),
                               [key, expected](const json::object &reply) -> Result<StoreRevision> {
                                   if (!boolAt(reply, "succeeded"))
                                       return fail(ResultCode::CompareFailed,
                                                   key + " was not last modified at revision "
                                                           + decimal(expected.value));
                                   return headerRevision(reply);
                               });
}

void EtcdKeyValue::deleteKey(std::string key, StoreRevision expected, Completion<Done> done)
{
    const json::object remove{{"request_delete_range", json::object{{"key", base64Encode(key)}}}};
    json::object body{{"success", json::array{remove}}};
    if (expected.value != 0)
        body["compare"] = compareRevision(key, expected);
    callGateway<Done>(m_client, m_options, "/v3/kv/txn", body, std::move(done),
                      [key](const json::object &reply) -> Result<Done> {
                          if (!boolAt(reply, "succeeded"))
                              return fail(ResultCode::CompareFailed, key + " was modified");
                          return Done();
                      });
}

void EtcdKeyValue::grantLease(Duration span, Completion<LeaseId> done)
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(span).count();
    callGateway<LeaseId>(m_client, m_options, "/v3/lease/grant",
                         {{"TTL", std::to_string(std::max<std::int64_t>(seconds, 1))}},
                         std::move(done), [](const json::object &reply) -> Result<LeaseId> {
                             const LeaseId lease{numberAt(reply, "ID")};
                             if (lease.value == 0)
                                 return fail(ResultCode::PlatformBadReply, "lease has no ID");
                             return lease;
                         });
}

void EtcdKeyValue::keepLeaseAlive(LeaseId lease, Completion<Duration> done)
{
    callGateway<Duration>(m_client, m_options, "/v3/lease/keepalive",
                          {{"ID", decimal(lease.value)}}, std::move(done),
                          [lease](const json::object &reply) -> Result<Duration> {
                              const auto *result = objectAt(reply, "result");
                              const auto ttl = result ? numberAt(*result, "TTL") : 0;
                              // A lease that has ended is reported as a TTL of 0.
                              if (ttl == 0)
                                  return fail(ResultCode::LeaseExpired,
                                              "lease " + decimal(lease.value) + " has ended");
                              return Duration(std::chrono::seconds(ttl));
                          });
}

void EtcdKeyValue::revokeLease(LeaseId lease, Completion<Done> done)
{
    callGateway<Done>(m_client, m_options, "/v3/lease/revoke", {{"ID", decimal(lease.value)}},
                      leaseErrors(std::move(done)),
                      [](const json::object &) -> Result<Done> { return Done(); });
}

std::shared_ptr<CallHandle> EtcdKeyValue::watch(std::string prefix, StoreRevision from,
                                                WatchHandlers watchHandlers)
{
    json::object create = prefixRange(prefix);
    if (from.value != 0)
        create["start_revision"] = decimal(from.value);
    create["progress_notify"] = true;
    HttpCall call = serviceCall(m_options, "POST", "/v3/watch");
    call.headers.add("Content-Type", "application/json");
    call.body = json::serialize(json::object{{"create_request", create}});
    call.idleTimeout = m_watchTimeout;
    call.bodyLimit = WatchLimit;

    const auto watch = std::make_shared<Watch>(std::move(watchHandlers));
    HttpStreamHandlers handlers;
    handlers.onHeader = [watch](int status, const HttpHeaders &) { watch->setStatus(status); };
    handlers.onData = [watch](std::string_view data) { watch->onData(data); };
    handlers.onEnd = [watch](const Outcome<std::monostate> &outcome) { watch->onEnd(outcome); };
    auto handle = m_client.stream(std::move(call), std::move(handlers));
    boost::asio::post(m_client.context(), [watch, handle] { watch->setHandle(handle); });
    return handle;
}

} // namespace godwit
