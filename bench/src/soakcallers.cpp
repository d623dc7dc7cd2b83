#include "soakcallers.h"

#include <charconv>

namespace godwit {

using standin::FleetRequestKind;

namespace {

constexpr std::uint64_t DeadlineMs = 3000;
constexpr Duration UsualPause = std::chrono::milliseconds(40);
constexpr Duration LongestPause = std::chrono::milliseconds(1000);
constexpr double GiveUpShare = 0.05;
constexpr double WrongKeyShare = 0.02;
constexpr double WrongRouteShare = 0.02;
constexpr double SecondCustomerShare = 0.3;
/// Of the requests of the first customer; its further keys are taken away in the run.
constexpr double FurtherKeyShare = 0.2;
constexpr double AddedRouteShare = 0.1;
constexpr std::size_t FurtherKeys = 3;

Duration seconds(std::string_view text)
{
    double value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return fromSeconds(value);
}

} // namespace

SoakCallers::SoakCallers(boost::asio::io_context &io, const SoakFleet &fleet, SoakOptions options,
                         SoakRecord &record)
    : m_io(io)
    , m_fleet(fleet)
    , m_options(std::move(options))
    , m_record(record)
    , m_client(io)
{
    Random seeds(m_options.seed);
    for (std::size_t i = 0; i < m_options.callers; ++i)
        m_callers.push_back(std::make_unique<Caller>(Random(seeds()), i));
}

SoakCallers::~SoakCallers() = default;

void SoakCallers::start()
{
    for (const auto &it : m_callers)
        wait(*it, UsualPause * static_cast<int>(it->random.below(10)));
}

void SoakCallers::wait(Caller &caller, Duration pause)
{
    caller.timer = std::make_unique<boost::asio::steady_timer>(m_io, pause);
    caller.timer->async_wait([this, &caller](const boost::system::error_code &ec) {
        if (!ec && !m_isStopped)
            send(caller);
    });
}

void SoakCallers::choose(Caller &caller)
{
    Random &random = caller.random;
    SoakOutcome &outcome = caller.outcome;
    outcome = {};
    standin::FleetAttempt &attempt = outcome.attempt;
    attempt.id = "a" + std::to_string(caller.number) + '-' + std::to_string(++caller.sent);
    attempt.deadlineMs = DeadlineMs;
    attempt.kind = random.chance(0.5)   ? FleetRequestKind::Stream
                   : random.chance(0.5) ? FleetRequestKind::Booking
                                        : FleetRequestKind::Lookup;
    attempt.key = "key-0";
    outcome.customer = "customer-0";
    if (random.chance(SecondCustomerShare)) {
        attempt.key = "key-1";
        outcome.customer = "customer-1";
    } else if (random.chance(FurtherKeyShare)) {
        attempt.key += static_cast<char>('b' + random.below(FurtherKeys));
    } else if (random.chance(WrongKeyShare)) {
        attempt.key = "key-of-nobody";
        outcome.customer.clear();
    }
    const auto &routes = m_fleet.configuration().addedRoutes;
    if (random.chance(WrongRouteShare)) {
        attempt.route = "no-such-route";
        outcome.hasRoute = false;
    } else if (attempt.kind == FleetRequestKind::Lookup && !routes.empty()
               && random.chance(AddedRouteShare)) {
        // Not yet known everywhere, so it may be denied.
        attempt.route = *routes.rbegin();
    }
}

void SoakCallers::send(Caller &caller)
{
    choose(caller);
    ++m_inProgress;
    SoakOutcome &outcome = caller.outcome;
    outcome.sent = MonotonicClock::now();
    caller.retryAfter = Duration::zero();
    HttpStreamHandlers handlers;
    handlers.onHeader = [this, &caller](int status, const HttpHeaders &headers) {
        headed(caller, status, headers);
    };
    handlers.onData = [&caller](std::string_view data) { caller.outcome.body += data; };
    handlers.onEnd = [this, &caller](const Outcome<std::monostate> &result) {
        ended(caller, succeeded(result));
    };
    const HttpEndpoint entry = m_fleet.entry(caller.random.below(m_options.entries));
    caller.call =
            m_client.stream(standin::makeFleetCall(entry, outcome.attempt), std::move(handlers));
    if (!caller.random.chance(GiveUpShare))
        return;
    caller.patience = std::make_unique<boost::asio::steady_timer>(
            m_io, std::chrono::milliseconds(10 + caller.random.below(300)));
    caller.patience->async_wait([&caller, n = caller.sent](const boost::system::error_code &ec) {
        // It may have expired just before the response was complete.
        if (ec || caller.sent != n || !caller.call)
            return;
        caller.outcome.gaveUp = true;
        caller.call->cancel();
    });
}

void SoakCallers::headed(Caller &caller, int status, const HttpHeaders &headers)
{
    caller.outcome.status = status;
    caller.outcome.headers = headers;
    if (isRefusal(status))
        caller.retryAfter = seconds(headers.value("Retry-After"));
}

void SoakCallers::ended(Caller &caller, bool isComplete)
{
    caller.patience.reset();
    caller.call.reset();
    --m_inProgress;
    SoakOutcome &outcome = caller.outcome;
    outcome.ended = MonotonicClock::now();
    outcome.isComplete = isComplete;
    m_record.outcomes.push_back(std::move(outcome));
    const Duration pause = std::clamp(caller.retryAfter, UsualPause / m_pressure, LongestPause);
    wait(caller, pause);
}

} // namespace godwit
