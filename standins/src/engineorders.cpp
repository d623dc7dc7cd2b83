#include "enginerun.h"

#include <godwit/ports/httprequest.h>

#include <algorithm>
#include <charconv>

namespace godwit::standin {

namespace {

namespace json = boost::json;

constexpr std::string_view LoadPath = "/admin/loads/";
constexpr std::string_view FinishSuffix = "/finish";
constexpr std::uint64_t WeightLimit = std::uint64_t(1) << 30; ///< Bytes of one load.
constexpr std::string_view Roles[] = {"mixed", "prefill", "decode"};

struct Refusal
{
    std::string_view code;
    int status;
    std::string_view message;
};

constexpr Refusal Refusals[] = {
        {"stale_fencing", 409, "an order with a higher fencing number was accepted before"},
        {"busy", 409, "the weights are used by running requests"},
        {"not_loaded", 404,
         "the weights or the base model are not loaded, or the load does not exist"},
        {"weights_refused", 422, "the weights are incomplete or corrupt"},
        {"invalid", 400, "the order is not valid"},
};

/// Returns whether \a pin is the model \a base or an adapter of it.
bool belongsTo(const ModelPin &pin, const ModelPin &base)
{
    return pin.model == base.model;
}

} // namespace

void EngineStandin::WeightLoad::add(std::uint64_t offset, std::string_view data)
{
    if (offset >= bytes.size() || data.empty())
        return;
    data = data.substr(0, bytes.size() - offset);
    std::ranges::copy(data, bytes.begin() + static_cast<std::ptrdiff_t>(offset));
    std::uint64_t first = offset;
    std::uint64_t end = offset + data.size();
    // Merges the ranges that overlap or adjoin the new one.
    auto it = received.upper_bound(end);
    while (it != received.begin() && std::prev(it)->second >= first) {
        --it;
        first = std::min(first, it->first);
        end = std::max(end, it->second);
        it = received.erase(it);
    }
    received[first] = end;
}

std::uint64_t EngineStandin::WeightLoad::receivedBytes() const
{
    std::uint64_t sum = 0;
    for (const auto &[first, end] : received)
        sum += end - first;
    return sum;
}

EngineState EngineStandin::state() const
{
    EngineState state;
    state.engine = BackendId(name());
    state.boots = m_boots;
    state.loaded.assign(m_loaded.begin(), m_loaded.end());
    state.role = m_role;
    state.fencing = m_fencing;
    state.author = m_author;
    if (m_weightLoad) {
        state.loading = m_weightLoad->id;
        state.loadingPin = m_weightLoad->order.pin;
        state.loadedBytes = m_weightLoad->receivedBytes();
    }
    state.running = m_running.size();
    state.blockCharacters = m_config.blockCharacters;
    return state;
}

bool EngineStandin::isRunning(const ModelPin &pin) const
{
    return std::ranges::any_of(m_running, [&](const RunPointer &run) { return run->pin == pin; });
}

/// Returns the loaded weights that are removed when \a pin is loaded or unloaded.
std::vector<ModelPin> EngineStandin::replacedBy(const ModelPin &pin) const
{
    std::vector<ModelPin> replaced;
    for (const ModelPin &loaded : m_loaded) {
        // A base model replaces all weights; an adapter replaces its other versions.
        if (pin.adapter.empty() || (belongsTo(loaded, pin) && loaded.adapter == pin.adapter))
            replaced.push_back(loaded);
    }
    return replaced;
}

std::string EngineStandin::refusalCode(const EngineOrder &order) const
{
    if (m_config.checkFencing && order.fencing < m_fencing)
        return "stale_fencing";
    if (order.kind == EngineOrderKind::SetRole)
        return std::ranges::find(Roles, order.role) == std::end(Roles) ? "invalid" : "";
    if (order.pin.model.empty() || order.bytes > WeightLimit)
        return "invalid";
    if (order.kind == EngineOrderKind::Unload) {
        if (!m_loaded.contains(order.pin))
            return "not_loaded";
        const auto replaced = replacedBy(order.pin);
        const bool busy = std::ranges::any_of(
                replaced, [this](const ModelPin &pin) { return isRunning(pin); });
        return busy && !faults().value("swap_under_load") ? "busy" : "";
    }
    if (!order.pin.adapter.empty()
        && !m_loaded.contains({order.pin.model, AdapterId(), order.baseVersion}))
        return "not_loaded";
    return {};
}

void EngineStandin::handleOrder(const HttpRequest &request, const ReplyPointer &reply)
{
    const auto outcome = capture([&] { return parseJson<EngineOrder>(request.body); });
    if (const auto *error = std::get_if<Error>(&outcome)) {
        sendError(reply, 400, "invalid", error->detail);
        return;
    }
    const auto &order = std::get<0>(outcome);
    const std::string code = refusalCode(order);
    m_ledger.orders.push_back({order, code.empty(), code});
    if (code.empty())
        sendJson(reply, 200, applyOrder(order));
    else
        sendRefusal(reply, code);
}

void EngineStandin::sendRefusal(const ReplyPointer &reply, std::string_view code)
{
    const auto it = std::ranges::find(Refusals, code, &Refusal::code);
    sendError(reply, it->status, it->code, it->message);
}

json::object EngineStandin::applyOrder(const EngineOrder &order)
{
    m_fencing = std::max(m_fencing, order.fencing);
    m_author = order.author;
    json::object response{{"engine", name()}};
    if (order.kind == EngineOrderKind::SetRole) {
        m_role = order.role;
    } else if (order.kind == EngineOrderKind::Unload) {
        for (const ModelPin &pin : replacedBy(order.pin))
            m_loaded.erase(pin);
        m_cache.clear();
        publishCacheEvents();
    } else {
        m_weightLoad = std::make_unique<WeightLoad>();
        m_weightLoad->id = std::to_string(m_boots) + '-' + std::to_string(++m_weightLoadCount);
        m_weightLoad->order = order;
        m_weightLoad->bytes.assign(order.bytes, '\0');
        response["load"] = m_weightLoad->id;
    }
    return response;
}

void EngineStandin::handleWeightLoad(const HttpRequest &request, const ReplyPointer &reply)
{
    std::string_view id = request.path().substr(LoadPath.size());
    const bool finish = id.ends_with(FinishSuffix);
    if (finish)
        id.remove_suffix(FinishSuffix.size());
    if (!m_weightLoad || m_weightLoad->id != percentDecode(id)) {
        sendRefusal(reply, "not_loaded");
    } else if (finish && request.method == "POST") {
        finishWeightLoad(reply);
    } else if (request.method == "PUT") {
        putWeights(request, reply);
    } else if (request.method == "DELETE") {
        m_weightLoad.reset();
        sendJson(reply, 200, toJson(state()));
    } else {
        sendError(reply, 405, "invalid", "method not allowed");
    }
}

void EngineStandin::putWeights(const HttpRequest &request, const ReplyPointer &reply)
{
    const std::string text = request.query("offset").value_or("0");
    std::uint64_t offset = 0;
    std::from_chars(text.data(), text.data() + text.size(), offset);
    incrementCounter("weight_bytes", request.body.size());
    m_weightLoad->add(offset, request.body);
    sendJson(reply, 200, json::object{{"received", m_weightLoad->receivedBytes()}});
}

void EngineStandin::finishWeightLoad(const ReplyPointer &reply)
{
    const EngineOrder order = m_weightLoad->order;
    const auto replaced = replacedBy(order.pin);
    const bool busy = std::ranges::any_of(
            replaced, [&](const ModelPin &pin) { return pin != order.pin && isRunning(pin); });
    if (busy && !faults().fires("swap_under_load")) {
        sendRefusal(reply, "busy");
        return;
    }
    const bool complete = m_weightLoad->receivedBytes() == order.bytes
                          && Digest::of(m_weightLoad->bytes) == order.digest;
    m_weightLoad.reset();
    if (!complete || faults().fires("refuse_weights")) {
        incrementCounter("weights_refused");
        sendRefusal(reply, "weights_refused");
        return;
    }
    activate(order.pin);
    sendJson(reply, 200, toJson(state()));
}

void EngineStandin::activate(const ModelPin &pin)
{
    for (const ModelPin &old : replacedBy(pin)) {
        m_loaded.erase(old);
        // Runs on replaced weights exist only with the fault swap_under_load; they continue with
        // the new weights.
        for (const RunPointer &run : m_running) {
            if (run->pin == old)
                run->pin = pin;
        }
    }
    m_loaded.insert(pin);
    m_cache.clear();
    publishCacheEvents();
    sampleLoad();
}

} // namespace godwit::standin
