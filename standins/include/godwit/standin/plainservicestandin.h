#pragma once

#include <godwit/base/digest.h>
#include <godwit/standin/standin.h>

#include <vector>

namespace godwit::standin {

/// Configuration of a simulated plain service.
struct PlainServiceConfig : StandinConfig
{
    Duration serviceTime{0}; ///< Delay between the run and the reply.

    friend bool operator==(const PlainServiceConfig &, const PlainServiceConfig &) = default;
};

/// Ledger entry for one run of a request.
struct PlainRun
{
    std::uint64_t number = 0; ///< Sequence number over all runs, from 1.
    std::string key;          ///< Value of the header Idempotency-Key.
    std::string target;
    Digest body;
    Duration time{0};        ///< Time of the run on the monotonic clock.
    std::uint64_t count = 0; ///< Number of runs with this key so far, including this one.

    friend bool operator==(const PlainRun &, const PlainRun &) = default;
};

/// Simulates a backend service without idempotency protection: it runs each request that it
/// receives and records all runs in a ledger. Replies with {"service", "key", "number", "count",
/// "digest"}.
class PlainServiceStandin : public Standin
{
public:
    PlainServiceStandin(boost::asio::io_context &io, PlainServiceConfig config);

    const std::vector<PlainRun> &runs() const { return m_runs; }
    boost::json::value ledger() const override;

protected:
    void handle(HttpRequest request, const ReplyPointer &reply) override;
    std::string requestKind(const HttpRequest &request) const override;

private:
    Duration m_serviceTime;
    std::vector<PlainRun> m_runs;
    std::map<std::string, std::uint64_t> m_runsByKey;
};

} // namespace godwit::standin

template <>
struct godwit::JsonFields<godwit::standin::PlainServiceConfig>
{
    using Config = godwit::standin::PlainServiceConfig;
    static constexpr auto table =
            std::tuple_cat(JsonFields<godwit::standin::StandinConfig>::table,
                           std::tuple{field("service_time_us", &Config::serviceTime)});
};

template <>
struct godwit::JsonFields<godwit::standin::PlainRun>
{
    using Run = godwit::standin::PlainRun;
    static constexpr auto table =
            std::tuple{field("number", &Run::number), field("key", &Run::key),
                       field("target", &Run::target), field("body", &Run::body),
                       field("time_us", &Run::time),  field("count", &Run::count)};
};
