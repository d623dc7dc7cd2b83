#pragma once

#include <godwit/base/digest.h>
#include <godwit/ports/engineorder.h>
#include <godwit/ports/modelpin.h>

#include <array>
#include <vector>

namespace godwit::standin {

enum class RunOutcome {
    Queued, ///< Received, has not run.
    Running,
    Finished,
    Cancelled, ///< The caller closed the connection.
    Crashed,   ///< The engine crashed while it ran.
    Dropped,   ///< The engine crashed or the caller left before it ran.
};

/// One request in the ledger of an engine.
struct EngineRun
{
    RequestId request;
    AttemptId attempt;
    ModelPin pin; ///< At the start.
    Digest body;
    std::uint64_t boots = 0; ///< Of the engine when it received the request.
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
    std::uint64_t tokens = 0; ///< Generated.
    RunOutcome outcome = RunOutcome::Queued;
    Duration received{0}; ///< On the monotonic clock of the machine.

    friend bool operator==(const EngineRun &, const EngineRun &) = default;
};

/// One order in the ledger of an engine.
struct OrderRecord
{
    EngineOrder order;
    bool obeyed = false;
    std::string refusal; ///< Code of the error if not obeyed.

    friend bool operator==(const OrderRecord &, const OrderRecord &) = default;
};

/// Everything that an engine was asked to do.
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
            std::tuple{field("order", &Record::order), field("obeyed", &Record::obeyed),
                       field("refusal", &Record::refusal)};
};

template <>
struct godwit::JsonFields<godwit::standin::EngineLedger>
{
    using Ledger = godwit::standin::EngineLedger;
    static constexpr auto table =
            std::tuple{field("runs", &Ledger::runs), field("orders", &Ledger::orders)};
};
