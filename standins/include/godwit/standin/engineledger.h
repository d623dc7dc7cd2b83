#pragma once

#include <godwit/base/digest.h>
#include <godwit/ports/engineorder.h>
#include <godwit/ports/modelpin.h>

#include <array>
#include <vector>

namespace godwit::standin {

enum class RunOutcome {
    Queued, ///< Received, not started.
    Running,
    Finished,
    Cancelled, ///< The caller closed the connection.
    Crashed,   ///< The engine crashed while the request ran.
    Dropped,   ///< Not started: refused, engine crash or closed connection.
};

/// Ledger entry for one completion request.
struct EngineRun
{
    RequestId request;
    AttemptId attempt;
    ModelPin pin; ///< Weights chosen on receipt; empty if not loaded.
    Digest body;
    std::uint64_t boots = 0; ///< EngineState::boots when the request was received.
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
    std::uint64_t tokens = 0; ///< Generated tokens.
    RunOutcome outcome = RunOutcome::Queued;
    Duration received{0}; ///< Time of receipt on the monotonic clock.

    friend bool operator==(const EngineRun &, const EngineRun &) = default;
};

/// Ledger entry for one order.
struct OrderRecord
{
    EngineOrder order;
    bool accepted = false;
    std::string refusalCode; ///< Error code if the order was refused.

    friend bool operator==(const OrderRecord &, const OrderRecord &) = default;
};

/// All requests and orders that an engine has received.
struct EngineLedger
{
    std::vector<EngineRun> runs;
    std::vector<OrderRecord> orders;

    friend bool operator==(const EngineLedger &, const EngineLedger &) = default;
};

} // namespace godwit::standin

template <>
struct godwit::JsonNames<godwit::standin::RunOutcome>
{
    using Outcome = godwit::standin::RunOutcome;
    static constexpr std::array<std::pair<Outcome, std::string_view>, 6> table{
            {{Outcome::Queued, "queued"},
             {Outcome::Running, "running"},
             {Outcome::Finished, "finished"},
             {Outcome::Cancelled, "cancelled"},
             {Outcome::Crashed, "crashed"},
             {Outcome::Dropped, "dropped"}}};
};

template <>
struct godwit::JsonFields<godwit::standin::EngineRun>
{
    using Run = godwit::standin::EngineRun;
    static constexpr auto table = std::tuple{field("request", &Run::request),
                                             field("attempt", &Run::attempt),
                                             field("pin", &Run::pin),
                                             field("body", &Run::body),
                                             field("boots", &Run::boots),
                                             field("prompt_tokens", &Run::promptTokens),
                                             field("cached_tokens", &Run::cachedTokens),
                                             field("tokens", &Run::tokens),
                                             field("outcome", &Run::outcome),
                                             field("received", &Run::received)};
};

template <>
struct godwit::JsonFields<godwit::standin::OrderRecord>
{
    using Record = godwit::standin::OrderRecord;
    static constexpr auto table =
            std::tuple{field("order", &Record::order), field("obeyed", &Record::accepted),
                       field("refusal", &Record::refusalCode)};
};

template <>
struct godwit::JsonFields<godwit::standin::EngineLedger>
{
    using Ledger = godwit::standin::EngineLedger;
    static constexpr auto table =
            std::tuple{field("runs", &Ledger::runs), field("orders", &Ledger::orders)};
};
