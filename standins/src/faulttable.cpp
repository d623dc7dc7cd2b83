#include <godwit/standin/faulttable.h>

#include <algorithm>
#include <array>

namespace godwit::standin {

namespace {

constexpr auto KnownFaults = std::to_array<FaultInfo>({
        {"outage", "all", "Closes the connection instead of serving the call."},
        {"refuse", "all", "Answers 429 without serving the call."},
        {"call_rate", "all", "Answers 429 above `value` calls per second."},
        {"silent", "all", "Never answers the call and keeps its connection open."},
        {"slow", "all", "Serves the call `value` seconds late."},
        {"reply_lost", "all", "Serves the call and closes the connection instead of answering."},
        {"read_rate", "key-value service", "Answers 429 above `value` reads per second."},
        {"write_rate", "key-value service", "Answers 429 above `value` writes per second."},
        {"expire_leases", "key-value service", "When set, expires all leases immediately."},
        {"compact", "key-value service", "When set, drops the history of all keys."},
        {"corrupt", "origin", "Changes one byte of the body."},
        {"truncate", "origin", "Omits the second half of the body without reporting an error."},
        {"cut", "origin", "Closes the connection in the middle of the body."},
        {"crash", "engine", "When set, crashes the engine."},
        {"silent_stream", "engine", "Stops sending after `value` tokens, without closing."},
        {"cut_stream", "engine", "Closes the connection after `value` tokens."},
        {"mixed_reply", "engine", "Events name a wrong weight version from token `value` on."},
        {"crossed_reply", "engine", "Events name a wrong request from token `value` on."},
        {"gap_reply", "engine", "Omits tokens, starting with token `value`."},
        {"swap_under_load", "engine", "Accepts orders that replace weights in use."},
        {"refuse_weights", "engine", "Reports a digest mismatch for a complete load."},
        {"cache_event_lost", "engine", "Drops a cache event, which leaves a gap in the sequence."},
        {"load_lag", "engine", "Load reports are `value` seconds old."},
});

} // namespace

std::span<const FaultInfo> knownFaults()
{
    return KnownFaults;
}

FaultTable::FaultTable(std::uint64_t seed)
    : m_random(seed)
{}

Result<void> FaultTable::set(Fault fault)
{
    if (std::ranges::find(KnownFaults, fault.name, &FaultInfo::name) == KnownFaults.end())
        return fail(ResultCode::SettingsInvalid, "unknown fault: " + fault.name);
    m_rows[fault.name] = std::move(fault);
    return {};
}

bool FaultTable::fires(std::string_view name, std::string_view target)
{
    const auto it = m_rows.find(name);
    if (it == m_rows.end())
        return false;
    Fault &fault = it->second;
    if (!fault.on || fault.times == 0 || target.find(fault.path) == std::string_view::npos)
        return false;
    if (fault.probability < 1 && !m_random.chance(fault.probability))
        return false;
    if (fault.times > 0)
        --fault.times;
    return true;
}

std::optional<double> FaultTable::value(std::string_view name) const
{
    const auto it = m_rows.find(name);
    if (it == m_rows.end() || !it->second.on)
        return std::nullopt;
    return it->second.value;
}

std::vector<Fault> FaultTable::rows() const
{
    std::vector<Fault> rows;
    for (const auto &[name, fault] : m_rows)
        rows.push_back(fault);
    return rows;
}

} // namespace godwit::standin
