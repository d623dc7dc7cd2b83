#include "enginerun.h"

#include <godwit/ports/httprequest.h>

#include <charconv>

namespace godwit::standin {

namespace {

namespace json = boost::json;

constexpr std::string_view BlocksPath = "/admin/cache/blocks";
constexpr std::size_t EventLimit = 10'000; ///< Older events are dropped and leave a gap.

/// Header of an exported KV cache. A newline and filler bytes of the size of the blocks follow.
struct ExportHeader
{
    ModelPin pin;
    std::vector<std::string> blocks;
};

} // namespace

} // namespace godwit::standin

template <>
struct godwit::JsonFields<godwit::standin::ExportHeader>
{
    using Header = godwit::standin::ExportHeader;
    static constexpr auto table =
            std::tuple{field("pin", &Header::pin), field("blocks", &Header::blocks)};
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

void EngineStandin::handleCacheRequest(const HttpRequest &request, const ReplyPointer &reply)
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
    CacheEvents response;
    response.boots = m_boots;
    std::from_chars(text.data(), text.data() + text.size(), response.next);
    const TimePoint now = MonotonicClock::now();
    for (const TimedEvent &timed : m_cacheEvents) {
        if (timed.visible > now)
            break;
        if (timed.event.sequence >= response.next) {
            response.events.push_back(timed.event);
            response.next = timed.event.sequence + 1;
        }
    }
    sendJson(reply, 200, toJson(response));
}

void EngineStandin::exportBlock(const HttpRequest &request, const ReplyPointer &reply)
{
    const ModelPin pin{ModelId(std::string(request.headers.value("X-Model"))),
                       AdapterId(std::string(request.headers.value("X-Adapter"))),
                       VersionId(std::string(request.headers.value("X-Model-Version")))};
    const std::string_view rest = request.path().substr(BlocksPath.size());
    const ExportHeader header{pin, m_cache.chain(pin, percentDecode(rest.substr(!rest.empty())))};
    if (header.blocks.empty()) {
        sendError(reply, 404, "not_found", "the block is not cached");
        return;
    }
    std::string bytes = toJsonText(header) + '\n';
    bytes.append(header.blocks.size() * m_config.cacheBytesPerBlock, 'k');
    incrementCounter("exported_bytes", bytes.size());
    reply->send({200, {{"Content-Type", "application/octet-stream"}}, std::move(bytes)});
}

void EngineStandin::importBlocks(const HttpRequest &request, const ReplyPointer &reply)
{
    const std::string text = request.body.substr(0, request.body.find('\n'));
    const auto outcome = capture([&] { return parseJson<ExportHeader>(text); });
    if (const auto *error = std::get_if<Error>(&outcome)) {
        sendError(reply, 400, "invalid", error->detail);
        return;
    }
    const auto &header = std::get<0>(outcome);
    if (!m_loaded.contains(header.pin)) {
        sendError(reply, 404, "not_loaded", "the weights of the exported cache are not loaded");
        return;
    }
    m_cache.insert(header.pin, header.blocks);
    publishCacheEvents();
    incrementCounter("imported_bytes", request.body.size());
    sendJson(reply, 200, json::object{{"blocks", header.blocks.size()}});
}

} // namespace godwit::standin
