#include "enginerun.h"

#include <godwit/ports/httprequest.h>

#include <charconv>

namespace godwit::standin {

namespace {

namespace json = boost::json;

constexpr std::string_view BlocksPath = "/admin/cache/blocks";
constexpr std::size_t EventLimit = 10'000; ///< Events that are kept; older ones become a gap.

/// Head of an exported KV cache; filler bytes of the size of the cache follow after a newline.
struct ExportHead
{
    ModelPin pin;
    std::vector<std::string> blocks;
};

} // namespace

} // namespace godwit::standin

template <>
struct godwit::JsonFields<godwit::standin::ExportHead>
{
    using Head = godwit::standin::ExportHead;
    static constexpr auto table =
            std::tuple{field("pin", &Head::pin), field("blocks", &Head::blocks)};
};

namespace godwit::standin {

void EngineStandin::publishCacheEvents()
{
    const TimePoint visible = MonotonicClock::now() + m_config.cacheEventDelay;
    for (CacheEvent &event : m_cache.takeEvents()) {
        m_lastSequence = event.sequence;
        if (!faults().fires("cache_event_lost"))
            m_cacheEvents.push_back({visible, std::move(event)});
    }
    while (m_cacheEvents.size() > EventLimit)
        m_cacheEvents.pop_front();
}

void EngineStandin::receiveCache(const HttpRequest &request, const ReplyPointer &reply)
{
    const std::string_view path = request.path();
    if (request.method == "GET" && path == "/admin/cache/events")
        sendCacheEvents(request, reply);
    else if (request.method == "GET" && path.starts_with(BlocksPath))
        exportBlock(request, reply);
    else if (request.method == "PUT" && path == BlocksPath)
        importBlocks(request, reply);
    else
        sendError(reply, 404, "not_found", "no such resource");
}

void EngineStandin::sendCacheEvents(const HttpRequest &request, const ReplyPointer &reply)
{
    const std::string text = request.query("from").value_or("1");
    CacheEvents answer;
    answer.boots = m_boots;
    std::from_chars(text.data(), text.data() + text.size(), answer.next);
    const TimePoint now = MonotonicClock::now();
    for (const TimedEvent &timed : m_cacheEvents) {
        if (timed.visible > now)
            break;
        if (timed.event.sequence >= answer.next) {
            answer.events.push_back(timed.event);
            answer.next = timed.event.sequence + 1;
        }
    }
    sendJson(reply, 200, toJson(answer));
}

void EngineStandin::exportBlock(const HttpRequest &request, const ReplyPointer &reply)
{
    const ModelPin pin{ModelId(std::string(request.headers.value("X-Model"))),
                       AdapterId(std::string(request.headers.value("X-Adapter"))),
                       VersionId(std::string(request.headers.value("X-Model-Version")))};
    const std::string_view rest = request.path().substr(BlocksPath.size());
    const ExportHead head{pin, m_cache.chain(pin, percentDecode(rest.substr(!rest.empty())))};
    if (head.blocks.empty()) {
        sendError(reply, 404, "not_found", "the block is not cached");
        return;
    }
    std::string bytes = toJsonText(head) + '\n';
    bytes.append(head.blocks.size() * m_config.cacheBytesPerBlock, 'k');
    count("exported_bytes", bytes.size());
    reply->send({200, {{"Content-Type", "application/octet-stream"}}, std::move(bytes)});
}

void EngineStandin::importBlocks(const HttpRequest &request, const ReplyPointer &reply)
{
    const std::string text = request.body.substr(0, request.body.find('\n'));
    const auto outcome = capture([&] { return parseJson<ExportHead>(text); });
    if (const auto *error = std::get_if<Error>(&outcome)) {
        sendError(reply, 400, "invalid", error->detail);
        return;
    }
    const auto &head = std::get<0>(outcome);
    if (!m_loaded.contains(head.pin)) {
        sendError(reply, 404, "not_loaded", "these weights are not loaded");
        return;
    }
    m_cache.insert(head.pin, head.blocks);
    publishCacheEvents();
    count("imported_bytes", request.body.size());
    sendJson(reply, 200, json::object{{"blocks", head.blocks.size()}});
}

} // namespace godwit::standin
