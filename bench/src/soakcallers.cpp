#include "soakcallers.h"

#include <charconv>

namespace godwit {

using standin::FleetRequestKind;

namespace {

constexpr std::uint64_t DeadlineMs = 3000;
constexpr Duration DefaultPause = std::chrono::milliseconds(40);
constexpr Duration MaxPause = std::chrono::milliseconds(1000);
constexpr double StreamShare = 2.0 / 3; ///< Of the requests other than bookings.
constexpr double LiveStreamShare = 0.3; ///< Of the rest.
constexpr double LongBodyShare = 0.1;
constexpr std::size_t MaxBodyBytes = 40'000;
constexpr double CancelShare = 0.05;
constexpr double UnknownKeyShare = 0.02;
constexpr double UnknownRouteShare = 0.02;
constexpr double SecondCustomerShare = 0.3;
/// Share of the requests of the first customer that use one of its further keys, which are revoked
/// during the run.
constexpr double RevocableKeyShare = 0.2;
constexpr double AddedRouteShare = 0.1;
constexpr std::size_t RevocableKeys = 3;

Duration parseSeconds(std::string_view text)
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
        scheduleNext(*it, DefaultPause * static_cast<int>(it->random.below(10)));
}

void SoakCallers::scheduleNext(Caller &caller, Duration pause)
{
    caller.timer = std::make_unique<boost::asio::steady_timer>(m_io, pause);
    caller.timer->async_wait([this, &caller](const boost::system::error_code &ec) {
        if (!ec && !m_isStopped)
            send(caller);
    });
}

void SoakCallers::chooseRequest(Caller &caller)
{
    Random &random = caller.random;
    SoakOutcome &outcome = caller.outcome;
    outcome = {};
    standin::FleetAttempt &attempt = outcome.attempt;
    attempt.id = "a" + std::to_string(caller.number) + '-' + std::to_string(++caller.sent);
    attempt.deadlineMs = DeadlineMs;
    attempt.kind = random.chance(m_options.bookingShare) ? FleetRequestKind::Booking
                   : random.chance(StreamShare)          ? FleetRequestKind::Stream
                   : random.chance(LiveStreamShare)      ? FleetRequestKind::LiveStream
                                                         : FleetRequestKind::Lookup;
    if (random.chance(LongBodyShare))
        attempt.bodyBytes = random.below(MaxBodyBytes);
    attempt.key = "key-0";
    outcome.customer = "customer-0";
    if (random.chance(SecondCustomerShare)) {
        attempt.key = "key-1";
        outcome.customer = "customer-1";
    } else if (random.chance(RevocableKeyShare)) {
        attempt.key += static_cast<char>('b' + random.below(RevocableKeys));
    } else if (random.chance(UnknownKeyShare)) {
        attempt.key = "key-of-nobody";
        outcome.customer.clear();
    }
    const auto &routes = m_fleet.configuration().addedRoutes;
    if (random.chance(UnknownRouteShare)) {
        attempt.route = "no-such-route";
        outcome.hasRoute = false;
    } else if (attempt.kind == FleetRequestKind::Lookup && !routes.empty()
               && random.chance(AddedRouteShare)) {
        // May be denied, since not every process knows an added route yet.
        attempt.route = *routes.rbegin();
    }
}

void SoakCallers::send(Caller &caller)
{
    chooseRequest(caller);
    ++m_inProgress;
    SoakOutcome &outcome = caller.outcome;
    outcome.sent = MonotonicClock::now();
    caller.retryAfter = Duration::zero();
    HttpStreamHandlers handlers;
    handlers.onHeader = [this, &caller](int status, const HttpHeaders &headers) {
        onResponseHeader(caller, status, headers);
    };
    handlers.onData = [&caller](std::string_view data) { caller.outcome.body += data; };
    handlers.onEnd = [this, &caller](const Outcome<std::monostate> &result) {
        onResponseEnd(caller, succeeded(result));
    };
    outcome.entry = caller.random.below(m_options.entries);
    const HttpEndpoint entry = m_fleet.entry(outcome.entry);
    caller.call =
            m_client.stream(standin::makeFleetCall(entry, outcome.attempt), std::move(handlers));
    if (!caller.random.chance(CancelShare))
        return;
    caller.cancelTimer = std::make_unique<boost::asio::steady_timer>(
            m_io, std::chrono::milliseconds(10 + caller.random.below(300)));
    caller.cancelTimer->async_wait([&caller, n = caller.sent](const boost::system::error_code &ec) {
        // The timer may have expired just before the response completed.
        if (ec || caller.sent != n || !caller.call)
            return;
        caller.outcome.isCancelled = true;
        caller.call->cancel();
    });
}

void SoakCallers::onResponseHeader(Caller &caller, int status, const HttpHeaders &headers)
{
    caller.outcome.status = status;
    caller.outcome.headAt = MonotonicClock::now();
    caller.outcome.headers = headers;
    if (isRefusal(status))
        caller.retryAfter = parseSeconds(headers.value("Retry-After"));
}

void SoakCallers::onResponseEnd(Caller &caller, bool isComplete)
{
    caller.cancelTimer.reset();
    caller.call.reset();
    --m_inProgress;
    SoakOutcome &outcome = caller.outcome;
    outcome.ended = MonotonicClock::now();
    outcome.isComplete = isComplete;
    m_record.outcomes.push_back(std::move(outcome));
    const Duration pause = std::clamp(caller.retryAfter, DefaultPause / m_loadFactor, MaxPause);
    scheduleNext(caller, pause);
}

} // namespace godwit
