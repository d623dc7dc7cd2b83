#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/time.h>

#include <cstddef>
#include <cstdint>
#include <deque>

namespace godwit {

/// Load report of a backend server.
struct LoadReport
{
    BackendId backend;
    TimePoint takenAt; ///< Receiver's clock: arrival time minus the reported age.
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 1;           ///< Maximum number of requests that run concurrently.
    std::uint64_t queuedTokens = 0;    ///< Prompt tokens not processed yet.
    double prefillTokensPerSecond = 0; ///< 0 if unknown.
    Duration meanHoldTime{0};          ///< Mean time for which a request occupies a slot.
};

/// Estimates the current load of one server from its last report and the requests that this process
/// has sent and finished since the report was taken.
class LoadEstimate
{
public:
    /// Prefill rate in tokens per second assumed until the server reports one. Lower values send a
    /// new server too few requests.
    static constexpr double DefaultPrefillRate = 8000;

    /// Reports up to this age have full confidence. The time spans four report intervals, so that
    /// one lost report does not lower the confidence.
    static constexpr Duration MaxFreshAge{2'000'000};

    /// Reports of this age or older have zero confidence.
    static constexpr Duration StaleAge{10'000'000};

    /// Sets the number of processes, including this one, that send requests to the server. Used by
    /// admissionWait().
    void setSenderCount(std::size_t senders);

    /// Applies a report unless it is older than the last one.
    void applyReport(const LoadReport &report);

    /// Records that this process sent a request, which adds \a tokens prompt tokens to the queue.
    void recordSent(double tokens, TimePoint now);

    /// Records that a request sent by this process finished.
    void recordFinished(TimePoint now);

    /// Confidence in the last report, from 1 (fresh) to 0 (stale or no report).
    double confidence(TimePoint now) const;

    /// Estimated number of prompt tokens that wait to be processed, assuming that the server
    /// processes them at prefillRate().
    double queuedTokens(TimePoint now) const;

    /// Estimated number of running and waiting requests.
    double requests() const;

    /// Estimated time until the server starts to process the prompt of a new request.
    Duration queueingTime(TimePoint now) const;

    /// Like queueingTime(), but assumes that each of the other senders has sent and finished as
    /// many requests since the report as this process, because all of them select servers from the
    /// same reports by the same rules. Use it to decide whether a request can meet its deadline. Do
    /// not use it to compare servers: it would move prompts away from servers that have them
    /// cached.
    Duration admissionWait(TimePoint now) const;

    double prefillRate() const;
    std::uint32_t slots() const { return m_report.slots; }

    /// Number of unfinished requests sent by this process.
    std::uint32_t ownRequests() const { return m_ownRequests; }

private:
    struct RequestChange
    {
        TimePoint at;
        double tokens;
        int requestDelta; ///< 1 if a request was sent, -1 if one finished.
    };

    /// Bounds memory use while no reports arrive; the oldest changes are dropped.
    static constexpr std::size_t MaxRequestChanges = 512;

    void addRequestChange(const RequestChange &change);
    void applyRequestChange(const RequestChange &change);
    Duration estimateWait(double requests, TimePoint now) const;

    LoadReport m_report;
    bool m_reported = false;
    std::deque<RequestChange> m_requestChanges; ///< Since the last report was taken.
    int m_netRequests = 0;     ///< Requests sent minus requests finished since the last report.
    double m_queuedTokens = 0; ///< Prompt tokens that were waiting at m_queuedTokensAt.
    TimePoint m_queuedTokensAt;
    double m_senderCount = 1;
    std::uint32_t m_ownRequests = 0;
};

} // namespace godwit
