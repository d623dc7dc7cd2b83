#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/priorityclass.h>
#include <godwit/base/resultcode.h>
#include <godwit/base/time.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace godwit {

/// Queue of requests that wait at an entry process for capacity of a backend server.
///
/// Weighted fair queueing on two levels: between the priority classes, and within a class between
/// the customers. The cost can be any additive measure of work, such as expected tokens. A request
/// is refused at once if its expected wait, computed from its customer's share of the measured
/// drain rate, exceeds its deadline. If the queue is full, the newest request of the customer with
/// the highest queued cost per weight is refused. A refused request has not run, and its
/// Retry-After is the time after which the drain rate is expected to have freed enough capacity.
class AdmissionQueue
{
public:
    struct Item
    {
        RequestId id;
        CustomerId customer;
        PriorityClass priority = PriorityClass::Interactive;
        double cost = 1.0;
        /// Service time on the backend server that is rarely exceeded, such as the 95% quantile.
        /// With the mean, a third of the requests that waited longest would miss their deadline.
        Duration serviceTime{0};
        TimePoint deadline;
    };
    struct Refusal
    {
        RequestId id;
        ResultCode code = ResultCode::QueueFull;
        Duration retryAfter{0};
    };
    struct Limits
    {
        std::size_t maxItems = 10'000;
        std::size_t maxItemsPerCustomer = 5'000;
    };

    static constexpr std::array<double, 3> ClassWeights{6.0, 3.0, 1.0};
    static constexpr Duration MaxDeadline = std::chrono::hours(1);
    static constexpr std::size_t MaxCustomerIdLength = 128;
    static constexpr Duration MinRetryAfter = std::chrono::milliseconds(500);
    static constexpr Duration MaxRetryAfter = std::chrono::seconds(60);

    explicit AdmissionQueue(Limits limits);

    /// Sets the weight of \a customer, 1 by default. Takes effect with the next request of the
    /// customer.
    void setWeight(const CustomerId &customer, double weight);

    /// Queues \a item. Returns the refused requests, which may include requests queued earlier.
    std::vector<Refusal> push(const Item &item, TimePoint now);

    /// Removes and returns the next request to run. Requests that can no longer meet their deadline
    /// are appended to \a refused.
    std::optional<Item> pop(TimePoint now, std::vector<Refusal> &refused);

    /// Removes a request whose caller has disconnected.
    void cancel(const RequestId &id);

    std::size_t size() const { return m_size; }

    /// Smoothed cost per second that was taken from the queue while it was not empty.
    double drainRate() const { return m_drainRate; }

private:
    struct Flow
    {
        std::deque<Item> items;
        double queuedCost = 0.0;    ///< Total cost of the items.
        double virtualFinish = 0.0; ///< Virtual finish time of the last served item.
        double weight = 1.0;
    };
    struct ClassQueue
    {
        /// Contains only customers that have queued items or were served recently.
        std::map<CustomerId, Flow> flows;
        double virtualTime = 0.0;
        double virtualFinish = 0.0;
    };

    static std::optional<ResultCode> validate(const Item &item, TimePoint now);
    Duration expectedWait(const ClassQueue &classQueue, const Flow &flow,
                          double additionalCost) const;
    Refusal makeRefusal(const RequestId &id, ResultCode code, Duration wait) const;
    std::optional<Refusal> refuseForSpace(const Item &item);
    ClassQueue *selectClass();
    Flow &selectFlow(ClassQueue &classQueue);
    void updateDrainRate(double cost, TimePoint now);
    Item dequeue(ClassQueue &classQueue, Flow &flow);
    double weightOf(const CustomerId &customer) const;

    Limits m_limits;
    std::map<CustomerId, double> m_weights;
    std::array<ClassQueue, 3> m_classes;
    double m_virtualTime = 0.0;
    std::size_t m_size = 0;
    double m_drainRate = 0.0;
    double m_windowCost = 0.0;
    std::optional<TimePoint> m_windowStart;
};

} // namespace godwit
