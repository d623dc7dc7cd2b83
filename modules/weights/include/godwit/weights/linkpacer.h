#pragma once

#include <godwit/base/digest.h>
#include <godwit/base/time.h>

#include <cstdint>
#include <map>
#include <optional>

namespace godwit {

/// Settings of a LinkPacer.
struct LinkPacerSettings
{
    double bytesPerSecond = 125e6; ///< Rate of the link.
    double maxUtilization = 0.9;   ///< Fraction of the rate for weights and live traffic together.
    std::uint32_t quantum = 16384; ///< Largest grant; a live message waits behind at most one.
    /// Queueing delay above which the rate of weights is reduced.
    Duration delayTarget = std::chrono::milliseconds(2);
    /// Minimum time between two adjustments of the rate.
    Duration adjustInterval = std::chrono::milliseconds(20);
    double initialRateFactor = 1;  ///< Below 1 on a link that other hosts use too.
    double minRateFraction = 0.02; ///< Fraction of the rate that weights keep under any live load.
};

/// Paces the model weights that this host sends over one link. Live traffic takes precedence: its
/// bytes are charged to the budget for weights. Concurrent transfers share the rest in proportion
/// to their priority weights; the share of an idle transfer goes to the others. On a link that
/// other hosts use too, a high queueing delay reduces the rate.
class LinkPacer
{
public:
    explicit LinkPacer(LinkPacerSettings settings)
        : m_settings(settings)
        , m_rateFactor(settings.initialRateFactor)
    {}

    /// Sets the priority weight of a transfer (at least 1).
    void setWeight(const Digest &transfer, std::uint32_t weight);
    void remove(const Digest &transfer) { m_transfers.erase(transfer); }

    /// Charges \a bytes of live traffic that were sent.
    void recordLiveTraffic(TimePoint now, std::uint64_t bytes);

    /// Records the queueing delay of a packet, measured as its delay above the smallest one seen.
    void recordQueueingDelay(TimePoint now, Duration queueing);

    /// Grants up to \a wanted bytes to \a transfer; 0 if it has to wait until nextGrant().
    std::uint32_t acquire(TimePoint now, const Digest &transfer, std::uint32_t wanted);

    /// Charges \a bytes of weights that the pacer of a slower link has granted, independently of
    /// the shares. The budget may go into debt.
    void charge(TimePoint now, std::uint32_t bytes);

    /// True while more has been sent than the budget allows.
    bool isInDebt(TimePoint now);

    /// Changes the rate of the link.
    void setBytesPerSecond(TimePoint now, double bytesPerSecond);

    /// Time at which a transfer that was granted nothing should retry.
    TimePoint nextGrant(TimePoint now) const;

    /// Rate for weights in the absence of live traffic, in bytes per second.
    double rate() const
    {
        return m_settings.bytesPerSecond * m_settings.maxUtilization * m_rateFactor;
    }

private:
    struct Transfer
    {
        std::uint32_t weight = 1;
        double served = 0; ///< Granted bytes divided by the weight.
        TimePoint lastRequest{};
    };

    void refill(TimePoint now);
    double minServed(TimePoint now) const;

    LinkPacerSettings m_settings;
    std::map<Digest, Transfer> m_transfers;
    TimePoint m_refilledAt{};
    TimePoint m_adjustedAt{};
    bool m_started = false;
    std::optional<Duration> m_minDelay; ///< Since the last adjustment of the rate.
    double m_credit = 0; ///< Bytes; negative while more has been sent than the budget allows.
    double m_rateFactor;
};

} // namespace godwit
