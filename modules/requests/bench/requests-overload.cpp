#include <godwit/base/random.h>
#include <godwit/requests/admissionqueue.h>
#include <godwit/requests/concurrencylimiter.h>
#include <godwit/requests/retrybudget.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <numeric>
#include <queue>
#include <string_view>
#include <vector>

using namespace godwit;
using namespace std::chrono_literals;

namespace {

// Capacity: 16 servers that run 8 requests each, which take 0.4 s on average, give 320 requests/s.
constexpr int ServerCount = 16;
constexpr int SlotsPerServer = 8;
constexpr double MeanServiceTime = 0.4;
constexpr double Capacity = ServerCount * SlotsPerServer / MeanServiceTime;
constexpr Duration ServiceTimeP95 = 1200ms; ///< 95% of the requests take at most this time.
constexpr Duration FirstByteDelay = 60ms;
constexpr Duration Deadline = 2s;
constexpr Duration RetryTimeout = 1s;
constexpr int MaxAttempts = 3;
constexpr double FailureChance = 0.02;
constexpr Duration WarmUp = 10s;
constexpr Duration RunTime = 130s;
// Share of the load of each customer: three large and seven small ones, the last one is the
// smallest.
constexpr std::array<double, 10> DemandShares{0.30, 0.25, 0.15, 0.05, 0.05,
                                              0.05, 0.04, 0.04, 0.04, 0.03};

struct Options
{
    double overload = 2.0;
    std::uint64_t seed = 1;
};

struct Request
{
    std::size_t customer = 0;
    TimePoint arrived;
    int attempts = 0;
    int running = 0;
    bool isStarted = false; ///< The first bytes have arrived.
    bool isDone = false;
};

struct QueuedAttempt
{
    std::size_t request = 0;
    TimePoint sentAt;
    Duration service{0};
    bool fails = false;
};

struct Server
{
    std::deque<QueuedAttempt> queue;
    int running = 0;
};

struct Report
{
    std::array<std::uint64_t, DemandShares.size()> offered{};
    std::array<std::uint64_t, DemandShares.size()> completedInTime{};
    std::uint64_t attempts = 0;
    std::uint64_t retries = 0;
    std::uint64_t requests = 0;
    std::uint64_t refused = 0;
    std::vector<double> refusalDelays;
};

/// Returns the max-min fair share of the capacity for each customer, in requests/s.
std::array<double, DemandShares.size()> fairShares(double offered)
{
    std::array<double, DemandShares.size()> share{};
    double remaining = Capacity;
    std::vector<std::size_t> order(DemandShares.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(),
              [](auto a, auto b) { return DemandShares[a] < DemandShares[b]; });
    for (std::size_t i = 0; i < order.size(); ++i) {
        share[order[i]] = std::min(DemandShares[order[i]] * offered,
                                   remaining / static_cast<double>(order.size() - i));
        remaining -= share[order[i]];
    }
    return share;
}

/// Simulates an entry process and its servers in virtual time. Without limits, requests go directly
/// to the shorter of two server queues, and every request without first bytes after a second is
/// sent again.
class OverloadSimulation
{
public:
    OverloadSimulation(const Options &options, bool hasLimits)
        : m_random(options.seed)
        , m_offered(options.overload * Capacity)
        , m_hasLimits(hasLimits)
        , m_queue(AdmissionQueue::Limits{})
    {}

    Report run()
    {
        scheduleArrival();
        while (!m_events.empty() && m_events.top().at < TimePoint(RunTime)) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.function();
        }
        return m_report;
    }

private:
    struct Event
    {
        TimePoint at;
        std::uint64_t sequence;
        std::function<void()> function;
        bool operator<(const Event &other) const
        {
            return std::pair(at, sequence) > std::pair(other.at, other.sequence);
        }
    };

    void schedule(Duration delay, std::function<void()> function)
    {
        m_events.push({m_now + delay, m_sequence++, std::move(function)});
    }

    double exponential(double mean) { return -mean * std::log(1.0 - m_random.uniform()); }
    bool isCounted(const Request &request) const { return request.arrived >= TimePoint(WarmUp); }

    std::size_t drawCustomer()
    {
        double at = m_random.uniform();
        for (std::size_t i = 0; i < DemandShares.size(); ++i) {
            if (at < DemandShares[i])
                return i;
            at -= DemandShares[i];
        }
        return DemandShares.size() - 1;
    }

    void scheduleArrival()
    {
        schedule(fromSeconds(exponential(1.0 / m_offered)), [this] {
            const std::size_t number = m_requests.size();
            m_requests.push_back({drawCustomer(), m_now});
            if (isCounted(m_requests.back())) {
                ++m_report.offered[m_requests.back().customer];
                ++m_report.requests;
            }
            m_budget.recordRequest();
            attempt(number);
            scheduleArrival();
        });
    }

    void attempt(std::size_t number)
    {
        if (m_hasLimits)
            enqueue(number);
        else
            send(number, shortestQueue());
    }

    void enqueue(std::size_t number)
    {
        const Request &request = m_requests[number];
        const AdmissionQueue::Item item{RequestId(std::to_string(number)),
                                        CustomerId("c" + std::to_string(request.customer)),
                                        PriorityClass::Interactive,
                                        1.0,
                                        ServiceTimeP95,
                                        request.arrived + Deadline};
        refuse(m_queue.push(item, m_now));
        fillServers();
    }

    void refuse(const std::vector<AdmissionQueue::Refusal> &refusals)
    {
        for (const auto &refusal : refusals) {
            const Request &request = m_requests[std::stoul(refusal.id.value())];
            if (!isCounted(request))
                continue;
            ++m_report.refused;
            m_report.refusalDelays.push_back(toSeconds(m_now - request.arrived));
        }
    }

    void fillServers()
    {
        while (m_queue.size() > 0) {
            std::array<int, ServerCount> order{};
            std::iota(order.begin(), order.end(), 0);
            std::sort(order.begin(), order.end(),
                      [this](int a, int b) { return load(a) < load(b); });
            if (!m_limiter.tryAcquire(backendId(order.front())))
                return;
            std::vector<AdmissionQueue::Refusal> refused;
            const auto item = m_queue.pop(m_now, refused);
            refuse(refused);
            if (!item) {
                m_limiter.release(backendId(order.front()),
                                  ConcurrencyLimiter::ReleaseReason::Abandoned, {}, m_now);
                return;
            }
            send(std::stoul(item->id.value()), order.front());
        }
    }

    double load(int server) const
    {
        return static_cast<double>(m_limiter.inUse(backendId(server)))
               / static_cast<double>(m_limiter.limit(backendId(server)));
    }

    static BackendId backendId(int server) { return BackendId("s" + std::to_string(server)); }

    int shortestQueue()
    {
        // Power of two random choices, as in a simple load balancer.
        const int a = static_cast<int>(m_random.below(ServerCount));
        const int b = static_cast<int>(m_random.below(ServerCount));
        return m_servers[a].queue.size() <= m_servers[b].queue.size() ? a : b;
    }

    void send(std::size_t number, int server)
    {
        Request &request = m_requests[number];
        ++request.attempts;
        ++request.running;
        if (isCounted(request)) {
            ++m_report.attempts;
            m_report.retries += request.attempts > 1 ? 1 : 0;
        }
        const double service = std::clamp(exponential(MeanServiceTime), 0.05, 3.0);
        m_servers[server].queue.push_back(
                {number, m_now, fromSeconds(service), m_random.chance(FailureChance)});
        startNext(server);
        if (!m_hasLimits)
            schedule(RetryTimeout, [this, number] { retryIfNoFirstByte(number); });
    }

    void retryIfNoFirstByte(std::size_t number)
    {
        const Request &request = m_requests[number];
        if (!request.isStarted && !request.isDone && request.attempts < MaxAttempts)
            attempt(number);
    }

    void startNext(int server)
    {
        Server &target = m_servers[server];
        if (target.running >= SlotsPerServer || target.queue.empty())
            return;
        const QueuedAttempt queued = target.queue.front();
        target.queue.pop_front();
        ++target.running;
        m_requests[queued.request].isStarted = true;
        const auto first =
                fromSeconds(toSeconds(FirstByteDelay) * (0.8 + 0.4 * m_random.uniform()));
        const Duration latency = m_now + first - queued.sentAt;
        schedule(queued.service,
                 [this, server, queued, latency] { finish(server, queued, latency); });
    }

    void finish(int server, const QueuedAttempt &queued, Duration latency)
    {
        Request &request = m_requests[queued.request];
        --m_servers[server].running;
        --request.running;
        startNext(server);
        if (m_hasLimits) {
            using ReleaseReason = ConcurrencyLimiter::ReleaseReason;
            m_limiter.release(backendId(server),
                              queued.fails ? ReleaseReason::Abandoned : ReleaseReason::Complete,
                              latency, m_now);
        }
        if (!queued.fails && !request.isDone) {
            request.isDone = true;
            if (isCounted(request) && m_now <= request.arrived + Deadline)
                ++m_report.completedInTime[request.customer];
        } else if (queued.fails && !request.isDone && request.attempts < MaxAttempts
                   && (!m_hasLimits || m_budget.tryAcquire())) {
            attempt(queued.request);
        }
        if (m_hasLimits)
            fillServers();
    }

    Random m_random;
    double m_offered;
    bool m_hasLimits;
    TimePoint m_now;
    std::uint64_t m_sequence = 0;
    std::priority_queue<Event> m_events;
    std::vector<Request> m_requests;
    std::array<Server, ServerCount> m_servers;
    AdmissionQueue m_queue;
    ConcurrencyLimiter m_limiter;
    RetryBudget m_budget;
    Report m_report;
};

void print(const char *name, const Options &options, Report report)
{
    const double seconds = toSeconds(RunTime - WarmUp);
    const auto fair = fairShares(options.overload * Capacity);
    const std::size_t smallest = DemandShares.size() - 1;
    const auto total =
            std::accumulate(report.completedInTime.begin(), report.completedInTime.end(), 0.0);
    // The requests that the customer actually offered with this seed, not the mean demand, are the
    // upper bound.
    const double bound =
            std::min(fair[smallest] * seconds, static_cast<double>(report.offered[smallest]));
    std::sort(report.refusalDelays.begin(), report.refusalDelays.end());
    const double refusalDelayP99 =
            report.refusalDelays.empty()
                    ? 0.0
                    : report.refusalDelays[report.refusalDelays.size() * 99 / 100];
    std::printf("| %-22s | %8.3f | %8.3f | %8.3f | %8llu | %8.3f |\n", name,
                total / seconds / Capacity,
                static_cast<double>(report.completedInTime[smallest]) / bound,
                static_cast<double>(report.retries) / static_cast<double>(report.attempts),
                static_cast<unsigned long long>(report.refused), refusalDelayP99);
}

void printCustomers(const Options &options, const Report &limited, const Report &baseline)
{
    const double seconds = toSeconds(RunTime - WarmUp);
    const auto fair = fairShares(options.overload * Capacity);
    std::printf("\n| customer | offered/s | fair share/s | with limits/s | baseline/s |\n"
                "| --- | --- | --- | --- | --- |\n");
    for (std::size_t i = 0; i < DemandShares.size(); ++i) {
        std::printf("| %zu | %.1f | %.1f | %.1f | %.1f |\n", i,
                    static_cast<double>(limited.offered[i]) / seconds, fair[i],
                    static_cast<double>(limited.completedInTime[i]) / seconds,
                    static_cast<double>(baseline.completedInTime[i]) / seconds);
    }
}

template <typename T>
bool readFlag(std::string_view argument, std::string_view name, T &value)
{
    if (!argument.starts_with(name))
        return false;
    argument.remove_prefix(name.size());
    const auto end = argument.data() + argument.size();
    return std::from_chars(argument.data(), end, value).ptr == end;
}

} // namespace

/// Compares admission control with a FIFO baseline at the same arrival rate.
int main(int argc, char **argv)
{
    Options options;
    for (int i = 1; i < argc; ++i) {
        if (!readFlag(argv[i], "--overload=", options.overload)
            && !readFlag(argv[i], "--seed=", options.seed)) {
            std::fprintf(stderr, "usage: requests-overload [--overload=X] [--seed=N]\n");
            return 2;
        }
    }
    const Report limited = OverloadSimulation(options, true).run();
    const Report baseline = OverloadSimulation(options, false).run();
    std::printf("capacity %.0f requests/s, offered %.1fx, seed %llu\n\n", Capacity,
                options.overload, static_cast<unsigned long long>(options.seed));
    std::printf("| variant | goodput / capacity | smallest customer / fair share | "
                "retries / attempts | refused | p99 s until refused |\n"
                "| --- | --- | --- | --- | --- | --- |\n");
    print("with limits", options, limited);
    print("FIFO without limits", options, baseline);
    printCustomers(options, limited, baseline);
    return 0;
}
