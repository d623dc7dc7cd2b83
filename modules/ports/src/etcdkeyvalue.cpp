#include "servicecall.h"

#include <godwit/ports/base64.h>
#include <godwit/ports/etcdkeyvalue.h>

#include <boost/asio/post.hpp>

#include <charconv>

namespace godwit {

namespace {

namespace json = boost::json;

constexpr std::uint64_t ReplyBodyLimit = 64UL * 1024 * 1024;
/// Total bytes of one watch stream.
constexpr std::uint64_t WatchBodyLimit = std::uint64_t(1) << 40;
constexpr std::size_t WatchMessageLimit = 64UL * 1024 * 1024;

// The gateway encodes 64-bit integers as strings and omits members that have default values.

std::uint64_t parseUint64(const json::value &value)
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

std::uint64_t uint64Member(const json::object &object, json::string_view name)
{
    const auto *value = object.if_contains(name);
    return value ? parseUint64(*value) : 0;
}

bool boolMember(const json::object &object, json::string_view name)
{
    const auto *value = object.if_contains(name);
    return value && value->is_bool() && value->get_bool();
}

const json::object *objectMember(const json::object &object, json::string_view name)
{
    const auto *value = object.if_contains(name);
    return value ? value->if_object() : nullptr;
}

const json::array *arrayMember(const json::object &object, json::string_view name)
{
    const auto *value = object.if_contains(name);
    return value ? value->if_array() : nullptr;
}

Result<std::string> base64Member(const json::object &object, json::string_view name)
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

std::string toDecimal(std::uint64_t n)
{
    return std::to_string(n);
}

StoreRevision headerRevision(const json::object &reply)
{
    const auto *header = objectMember(reply, "header");
    return {header ? uint64Member(*header, "revision") : 0};
}

Result<KeyValueEntry> parseEntry(const json::object &kv)
{
    KeyValueEntry entry;
    BOOST_LEAF_ASSIGN(entry.key, base64Member(kv, "key"));
    BOOST_LEAF_ASSIGN(entry.value, base64Member(kv, "value"));
    entry.modified = {uint64Member(kv, "mod_revision")};
    entry.lease = {uint64Member(kv, "lease")};
    return entry;
}

Result<KeyValueList> parseList(const json::object &reply)
{
    KeyValueList list;
    list.position.revision = headerRevision(reply);
    const auto *kvs = arrayMember(reply, "kvs");
    if (!kvs)
        return list;
    for (const auto &kv : *kvs) {
        if (!kv.is_object())
            return fail(ResultCode::PlatformBadReply, "kvs: expected an array of objects");
        BOOST_LEAF_AUTO(entry, parseEntry(kv.get_object()));
        list.entries.push_back(std::move(entry));
    }
    return list;
}

/// Returns the end of the range of keys that start with \a prefix. "\0" means the end of all keys.
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
    // An empty prefix matches all keys, which start at the smallest key "\0".
    const std::string start = prefix.empty() ? std::string(1, '\0') : prefix;
    return {{"key", base64Encode(start)}, {"range_end", base64Encode(rangeEnd(prefix))}};
}

json::array compareRevision(const std::string &key, StoreRevision expected)
{
    return {json::object{{"key", base64Encode(key)},
                         {"target", "MOD"},
                         {"result", "EQUAL"},
                         {"mod_revision", toDecimal(expected.value)}}};
}

/// Calls the gateway method at \a path and passes the reply to \a decode.
template <typename T, typename Decode>
void callGateway(HttpClient &client, const ServiceOptions &options, std::string path,
                 const json::object &body, Completion<T> done, Decode decode)
{
    HttpCall call = makeServiceCall(options, "POST", std::move(path));
    call.headers.add("Content-Type", "application/json");
    call.body = json::serialize(body);
    call.bodyLimit = ReplyBodyLimit;
    callService<T>(client, std::move(call), std::move(done),
                   [decode = std::move(decode)](HttpResponse &response) -> Outcome<T> {
                       json::error_code ec;
                       const auto reply = json::parse(response.body, ec);
                       if (ec || !reply.is_object())
                           return Error{ResultCode::PlatformBadReply, "reply is not a JSON object"};
                       return capture([&] { return decode(reply.get_object()); });
                   });
}

/// Maps NotFound, which the gateway reports for an unknown lease, to LeaseExpired.
template <typename T>
Completion<T> mapLeaseErrors(Completion<T> done)
{
    return [done = std::move(done)](Outcome<T> outcome) {
        auto *error = std::get_if<Error>(&outcome);
        if (error && error->code == ResultCode::NotFound)
            error->code = ResultCode::LeaseExpired;
        done(std::move(outcome));
    };
}

/// One watch. Splits the streamed reply into messages of one JSON object per line.
class WatchStream
{
public:
    explicit WatchStream(WatchHandlers handlers)
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
            finish(Error{ResultCode::PlatformBadReply, "watch message exceeds the size limit"});
    }

    void onEnd(const Outcome<std::monostate> &outcome)
    {
        if (const auto *error = std::get_if<Error>(&outcome))
            finish(*error);
        else if (const auto error = errorFromResponse({m_status, {}, m_buffer}))
            finish(*error);
        else
            finish(Error{ResultCode::PlatformReplyLost, "the service closed the watch stream"});
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
                !ec && message.is_object() ? objectMember(message.get_object(), "result") : nullptr;
        if (!result) {
            finish(Error{ResultCode::PlatformBadReply,
                         "watch message is not a JSON object with a result"});
            return;
        }
        if (boolMember(*result, "canceled")) {
            const bool compacted = uint64Member(*result, "compact_revision") > 0;
            finish(Error{compacted ? ResultCode::WatchCompacted : ResultCode::PlatformFailed,
                         "watch cancelled by the service"});
            return;
        }
        if (boolMember(*result, "created") && m_handlers.onStarted)
            m_handlers.onStarted(headerRevision(*result));
        deliver(*result);
    }

    void deliver(const json::object &result)
    {
        const auto *events = arrayMember(result, "events");
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
            const auto *kv = object ? objectMember(*object, "kv") : nullptr;
            if (!kv)
                return fail(ResultCode::PlatformBadReply, "watch event has no kv object");
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
        // Cancels the HTTP call if the watch ends before it.
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
        put["lease"] = toDecimal(lease.value);
    const json::object body{{"compare", compareRevision(key, expected)},
                            {"success", json::array{json::object{{"request_put", put}}}}};
    callGateway<StoreRevision>(m_client, m_options, "/v3/kv/txn", body,
                               mapLeaseErrors(std::move(done)),
                               [key, expected](const json::object &reply) -> Result<StoreRevision> {
                                   if (!boolMember(reply, "succeeded"))
                                       return fail(ResultCode::CompareFailed,
                                                   key + " was not last modified at revision "
                                                           + toDecimal(expected.value));
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
                          if (!boolMember(reply, "succeeded"))
                              return fail(ResultCode::CompareFailed,
                                          key + " was not last modified at the expected revision");
                          return Done();
                      });
}

void EtcdKeyValue::grantLease(Duration span, Completion<LeaseId> done)
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(span).count();
    callGateway<LeaseId>(m_client, m_options, "/v3/lease/grant",
                         {{"TTL", std::to_string(std::max<std::int64_t>(seconds, 1))}},
                         std::move(done), [](const json::object &reply) -> Result<LeaseId> {
                             const LeaseId lease{uint64Member(reply, "ID")};
                             if (lease.value == 0)
                                 return fail(ResultCode::PlatformBadReply,
                                             "reply to a lease grant has no ID");
                             return lease;
                         });
}

void EtcdKeyValue::keepLeaseAlive(LeaseId lease, Completion<Duration> done)
{
    callGateway<Duration>(m_client, m_options, "/v3/lease/keepalive",
                          {{"ID", toDecimal(lease.value)}}, std::move(done),
                          [lease](const json::object &reply) -> Result<Duration> {
                              const auto *result = objectMember(reply, "result");
                              const auto ttl = result ? uint64Member(*result, "TTL") : 0;
                              // The service reports a TTL of 0 for a lease that has ended.
                              if (ttl == 0)
                                  return fail(ResultCode::LeaseExpired,
                                              "lease " + toDecimal(lease.value) + " has ended");
                              return Duration(std::chrono::seconds(ttl));
                          });
}

void EtcdKeyValue::revokeLease(LeaseId lease, Completion<Done> done)
{
    callGateway<Done>(m_client, m_options, "/v3/lease/revoke", {{"ID", toDecimal(lease.value)}},
                      mapLeaseErrors(std::move(done)),
                      [](const json::object &) -> Result<Done> { return Done(); });
}

std::shared_ptr<CallHandle> EtcdKeyValue::watch(std::string prefix, StorePosition from,
                                                WatchHandlers watchHandlers)
{
    json::object create = prefixRange(prefix);
    if (from.revision.value != 0)
        create["start_revision"] = toDecimal(from.revision.value);
    create["progress_notify"] = true;
    HttpCall call = makeServiceCall(m_options, "POST", "/v3/watch");
    call.headers.add("Content-Type", "application/json");
    call.body = json::serialize(json::object{{"create_request", create}});
    call.idleTimeout = m_watchTimeout;
    call.bodyLimit = WatchBodyLimit;

    const auto watch = std::make_shared<WatchStream>(std::move(watchHandlers));
    HttpStreamHandlers handlers;
    handlers.onHeader = [watch](int status, const HttpHeaders &) { watch->setStatus(status); };
    handlers.onData = [watch](std::string_view data) { watch->onData(data); };
    handlers.onEnd = [watch](const Outcome<std::monostate> &outcome) { watch->onEnd(outcome); };
    auto handle = m_client.stream(std::move(call), std::move(handlers));
    boost::asio::post(m_client.context(), [watch, handle] { watch->setHandle(handle); });
    return handle;
}

} // namespace godwit
