#include <godwit/ports/httprequest.h>
#include <godwit/standin/objectstandin.h>

#include <charconv>

namespace godwit::standin {

namespace {

constexpr std::string_view ObjectPath = "/objects/";
constexpr std::string_view ManifestPath = "/manifests/";
constexpr std::string_view ControlPath = "/_standin";
constexpr std::size_t SliceSize = 64UL * 1024; ///< Smaller slices share the rate limit more evenly.

struct ByteRange
{
    std::uint64_t first = 0;
    std::uint64_t size = 0;
};

/// Parses the Range header of a request for an object of \a size bytes. Returns nullopt if the
/// range starts beyond the end.
std::optional<ByteRange> parseRange(std::string_view header, std::uint64_t size)
{
    constexpr std::string_view Unit = "bytes=";
    if (!header.starts_with(Unit))
        return ByteRange{0, size};
    header.remove_prefix(Unit.size());
    std::uint64_t first = 0;
    std::uint64_t last = size - 1;
    const char *end = header.data() + header.size();
    const auto [dash, ec] = std::from_chars(header.data(), end, first);
    if (ec != std::errc() || dash == end || first >= size)
        return std::nullopt;
    std::from_chars(dash + 1, end, last);
    return ByteRange{first, std::min(last, size - 1) - first + 1};
}

} // namespace

std::string generateBytes(std::uint64_t bytes, std::uint64_t seed)
{
    Random random(seed);
    std::string data(bytes, '\0');
    for (std::size_t i = 0; i < data.size(); i += sizeof(std::uint64_t)) {
        const std::uint64_t word = random();
        for (std::size_t k = 0; k < sizeof word && i + k < data.size(); ++k)
            data[i + k] = static_cast<char>(word >> (8 * k) & 255);
    }
    return data;
}

/// An object download in progress.
struct ObjectStandin::Transfer
{
    ReplyPointer reply;
    std::string name;
    std::shared_ptr<const std::string> object;
    std::uint64_t next = 0;
    std::uint64_t end = 0;
    std::uint64_t corruptAt = 0;
    bool corrupt = false;
    bool cut = false;
    bool closed = false;
};

ObjectStandin::ObjectStandin(boost::asio::io_context &io, ObjectConfig config)
    : Standin(io, config)
    , m_rate(config.bytesPerSecond)
{
    for (const GeneratedObject &object : config.objects)
        setObject(object.name, generateBytes(object.bytes, object.seed));
}

void ObjectStandin::setObject(const std::string &name, std::string bytes)
{
    m_objects[name] = std::make_shared<const std::string>(std::move(bytes));
}

void ObjectStandin::setManifest(const ModelPin &pin, std::string bytes)
{
    m_manifests[toString(pin)] = std::move(bytes);
}

std::string ObjectStandin::requestKind(const HttpRequest &request) const
{
    if (request.path().starts_with(ObjectPath))
        return "object";
    return request.path().starts_with(ManifestPath) ? "manifest" : "other";
}

void ObjectStandin::handle(HttpRequest request, const ReplyPointer &reply)
{
    const std::string_view path = request.path();
    if (request.method == "GET" && path.starts_with(ObjectPath))
        sendObject(percentDecode(path.substr(ObjectPath.size())), request, reply);
    else if (request.method == "GET" && path.starts_with(ManifestPath))
        sendManifest(percentDecode(path.substr(ManifestPath.size())), reply);
    else
        sendError(reply, 404, "not_found", "no such resource");
}

bool ObjectStandin::handleControl(const HttpRequest &request, const ReplyPointer &reply)
{
    const std::string_view path = request.path().substr(ControlPath.size());
    if (request.method != "PUT")
        return false;
    if (path.starts_with(ObjectPath))
        setObject(percentDecode(path.substr(ObjectPath.size())), request.body);
    else if (path.starts_with(ManifestPath))
        m_manifests[percentDecode(path.substr(ManifestPath.size()))] = request.body;
    else
        return false;
    reply->send(HttpResponse{204, {}, {}});
    return true;
}

void ObjectStandin::sendManifest(const std::string &name, const ReplyPointer &reply)
{
    const auto it = m_manifests.find(name);
    if (it == m_manifests.end()) {
        sendError(reply, 404, "not_found", "no such manifest: " + name);
        return;
    }
    std::string bytes = it->second;
    if (faults().fires("corrupt", ManifestPath) && !bytes.empty())
        bytes[bytes.size() / 2] = static_cast<char>(bytes[bytes.size() / 2] ^ 1);
    incrementCounter("manifest_bytes", bytes.size());
    reply->send({200, {{"Content-Type", "application/octet-stream"}}, std::move(bytes)});
}

void ObjectStandin::sendObject(const std::string &name, const HttpRequest &request,
                               const ReplyPointer &reply)
{
    const auto it = m_objects.find(name);
    if (it == m_objects.end()) {
        sendError(reply, 404, "not_found", "no such object: " + name);
        return;
    }
    const auto range = parseRange(request.headers.value("Range"), it->second->size());
    if (!range) {
        sendError(reply, 416, "range", "the range starts beyond the end of the object");
        return;
    }
    const auto transfer = std::make_shared<Transfer>();
    transfer->reply = reply;
    transfer->name = name;
    transfer->object = it->second;
    transfer->next = range->first;
    transfer->end = range->first + range->size;
    transfer->corrupt = faults().fires("corrupt", request.target);
    transfer->corruptAt = range->first + range->size / 2;
    transfer->cut = faults().fires("cut", request.target);
    if (transfer->cut || faults().fires("truncate", request.target))
        transfer->end -= range->size - range->size / 2;
    reply->onClosed([transfer] { transfer->closed = true; });
    reply->start(request.headers.find("Range") ? 206 : 200,
                 {{"Content-Type", "application/octet-stream"}});
    continueTransfer(transfer);
}

void ObjectStandin::continueTransfer(const std::shared_ptr<Transfer> &transfer)
{
    if (transfer->closed)
        return;
    const std::uint64_t remaining = transfer->end - transfer->next;
    if (remaining == 0) {
        if (transfer->cut)
            transfer->reply->abort();
        else
            transfer->reply->finish();
        return;
    }
    const auto size = static_cast<std::size_t>(std::min<std::uint64_t>(remaining, SliceSize));
    if (m_rate <= 0) {
        sendSlice(transfer, size);
        return;
    }
    const Duration wait =
            m_rateLimiter.reserve(static_cast<double>(size), m_rate, MonotonicClock::now());
    runAfter(wait, [this, transfer, size] {
        if (!transfer->closed)
            sendSlice(transfer, size);
    });
}

void ObjectStandin::sendSlice(const std::shared_ptr<Transfer> &transfer, std::size_t size)
{
    std::string slice = transfer->object->substr(transfer->next, size);
    if (transfer->corrupt && transfer->corruptAt >= transfer->next
        && transfer->corruptAt < transfer->next + size) {
        char &byte = slice[transfer->corruptAt - transfer->next];
        byte = static_cast<char>(byte ^ 1);
    }
    transfer->next += size;
    incrementCounter("object_bytes", size);
    incrementCounter("object_bytes " + transfer->name, size);
    // Sends the next slice only after this one has been written, so that a slow reader throttles
    // its own transfer.
    transfer->reply->onDrained([this, transfer] {
        transfer->reply->onDrained(nullptr);
        continueTransfer(transfer);
    });
    transfer->reply->write(std::move(slice));
}

} // namespace godwit::standin
