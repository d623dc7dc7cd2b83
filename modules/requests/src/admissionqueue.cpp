#include <godwit/requests/admissionqueue.h>

#include <algorithm>

namespace godwit {

namespace {

/// Length of the windows over which the drain rate is measured before smoothing.
constexpr Duration RateWindow = std::chrono::milliseconds(250);
constexpr double Smoothing = 0.3;

} // namespace

AdmissionQueue::AdmissionQueue(Limits limits)
    : m_limits(limits)
{}

void AdmissionQueue::setWeight(const CustomerId &customer, double weight)
{
    m_weights[customer] = std::max(weight, 0.001);
}

std::vector<AdmissionQueue::Refusal> AdmissionQueue::push(const Item &item, TimePoint now)
{
    if (const auto code = validate(item, now))
        return {{item.id, *code, Duration(0)}};
    if (m_size == 0)
        m_windowStart.reset();
    ClassQueue &classQueue = m_classes[static_cast<std::size_t>(item.priority)];
    Flow &flow = classQueue.flows[item.customer];
    flow.weight = weightOf(item.customer);
    const Duration wait = expectedWait(classQueue, flow, item.cost);
    if (now + wait + item.serviceTime > item.deadline)
        return {makeRefusal(item.id, ResultCode::DeadlineUnreachable, wait)};
    if (flow.items.size() >= m_limits.maxItemsPerCustomer)
        return {makeRefusal(item.id, ResultCode::QueueFull, wait)};
    std::vector<Refusal> refused;
    if (m_size >= m_limits.maxItems) {
        refused.push_back(*refuseForSpace(item));
        if (refused.back().id == item.id)
            return refused;
    }
    // A customer that was idle continues at the current virtual time, so it cannot accumulate
    // unused service.
    if (flow.items.empty())
        flow.virtualFinish = std::max(flow.virtualFinish, classQueue.virtualTime);
    flow.items.push_back(item);
    flow.queuedCost += item.cost;
    ++m_size;
    return refused;
}

std::optional<AdmissionQueue::Item> AdmissionQueue::pop(TimePoint now,
                                                        std::vector<Refusal> &refused)
{
    while (ClassQueue *classQueue = selectClass()) {
        Flow &flow = selectFlow(*classQueue);
        if (now + flow.items.front().serviceTime > flow.items.front().deadline) {
            const Item &lateItem = flow.items.front();
            refused.push_back(makeRefusal(lateItem.id, ResultCode::DeadlineUnreachable,
                                          expectedWait(*classQueue, flow, 0.0)));
            flow.queuedCost -= lateItem.cost;
            flow.items.pop_front();
            --m_size;
            continue;
        }
        Item item = dequeue(*classQueue, flow);
        updateDrainRate(item.cost, now);
        return item;
    }
    return {};
}

void AdmissionQueue::cancel(const RequestId &id)
{
    for (ClassQueue &classQueue : m_classes) {
        for (auto &[customer, flow] : classQueue.flows) {
            const auto it = std::find_if(flow.items.begin(), flow.items.end(),
                                         [&](const Item &item) { return item.id == id; });
            if (it == flow.items.end())
                continue;
            flow.queuedCost -= it->cost;
            flow.items.erase(it);
            --m_size;
            return;
        }
    }
}

std::optional<ResultCode> AdmissionQueue::validate(const Item &item, TimePoint now)
{
    if (item.customer.value().empty() || item.customer.value().size() > MaxCustomerIdLength)
        return ResultCode::CustomerInvalid;
    if (item.deadline <= now || item.deadline > now + MaxDeadline)
        return ResultCode::DeadlineInvalid;
    return {};
}

Duration AdmissionQueue::expectedWait(const ClassQueue &classQueue, const Flow &flow,
                                      double additionalCost) const
{
    if (m_drainRate <= 0.0)
        return Duration(0);
    double classWeights = 0.0;
    for (std::size_t i = 0; i < m_classes.size(); ++i) {
        const auto &flows = m_classes[i].flows;
        const bool isBusy = &m_classes[i] == &classQueue
                            || std::any_of(flows.begin(), flows.end(), [](const auto &other) {
                                   return !other.second.items.empty();
                               });
        classWeights += isBusy ? ClassWeights[i] : 0.0;
    }
    double flowWeights = flow.items.empty() ? flow.weight : 0.0;
    for (const auto &[customer, other] : classQueue.flows)
        flowWeights += other.items.empty() ? 0.0 : other.weight;
    const auto index = static_cast<std::size_t>(&classQueue - m_classes.data());
    const double flowRate =
            m_drainRate * ClassWeights[index] / classWeights * flow.weight / flowWeights;
    return fromSeconds((flow.queuedCost + additionalCost) / flowRate);
}

AdmissionQueue::Refusal AdmissionQueue::makeRefusal(const RequestId &id, ResultCode code,
                                                    Duration wait) const
{
    return {id, code, std::clamp(wait, MinRetryAfter, MaxRetryAfter)};
}

std::optional<AdmissionQueue::Refusal> AdmissionQueue::refuseForSpace(const Item &item)
{
    ClassQueue *largestClass = nullptr;
    Flow *largestFlow = nullptr;
    for (ClassQueue &classQueue : m_classes) {
        for (auto &[customer, flow] : classQueue.flows) {
            if (!flow.items.empty()
                && (!largestFlow
                    || flow.queuedCost / flow.weight
                               > largestFlow->queuedCost / largestFlow->weight)) {
                largestClass = &classQueue;
                largestFlow = &flow;
            }
        }
    }
    ClassQueue &classQueue = m_classes[static_cast<std::size_t>(item.priority)];
    Flow &ownFlow = classQueue.flows[item.customer];
    if (!largestFlow
        || (ownFlow.queuedCost + item.cost) / ownFlow.weight
                   >= largestFlow->queuedCost / largestFlow->weight)
        return makeRefusal(item.id, ResultCode::QueueFull,
                           expectedWait(classQueue, ownFlow, item.cost));
    const Item newest = largestFlow->items.back();
    largestFlow->items.pop_back();
    largestFlow->queuedCost -= newest.cost;
    --m_size;
    return makeRefusal(newest.id, ResultCode::QueueFull,
                       expectedWait(*largestClass, *largestFlow, newest.cost));
}

AdmissionQueue::ClassQueue *AdmissionQueue::selectClass()
{
    ClassQueue *next = nullptr;
    for (ClassQueue &classQueue : m_classes) {
        std::erase_if(classQueue.flows, [&](const auto &item) {
            return item.second.items.empty() && item.second.virtualFinish <= classQueue.virtualTime;
        });
        const bool isBusy =
                std::any_of(classQueue.flows.begin(), classQueue.flows.end(),
                            [](const auto &item) { return !item.second.items.empty(); });
        if (!isBusy)
            continue;
        classQueue.virtualFinish = std::max(classQueue.virtualFinish, m_virtualTime);
        if (!next || classQueue.virtualFinish < next->virtualFinish)
            next = &classQueue;
    }
    return next;
}

AdmissionQueue::Flow &AdmissionQueue::selectFlow(ClassQueue &classQueue)
{
    Flow *next = nullptr;
    for (auto &[customer, flow] : classQueue.flows) {
        if (!flow.items.empty() && (!next || flow.virtualFinish < next->virtualFinish))
            next = &flow;
    }
    return *next;
}

AdmissionQueue::Item AdmissionQueue::dequeue(ClassQueue &classQueue, Flow &flow)
{
    Item item = std::move(flow.items.front());
    flow.items.pop_front();
    flow.queuedCost = flow.items.empty() ? 0.0 : flow.queuedCost - item.cost;
    --m_size;
    classQueue.virtualTime = std::max(classQueue.virtualTime, flow.virtualFinish);
    flow.virtualFinish += item.cost / flow.weight;
    m_virtualTime = std::max(m_virtualTime, classQueue.virtualFinish);
    classQueue.virtualFinish +=
            item.cost / ClassWeights[static_cast<std::size_t>(&classQueue - m_classes.data())];
    return item;
}

void AdmissionQueue::updateDrainRate(double cost, TimePoint now)
{
    if (!m_windowStart) {
        m_windowStart = now;
        m_windowCost = 0.0;
    }
    m_windowCost += cost;
    const Duration span = now - *m_windowStart;
    if (span < RateWindow)
        return;
    const double rate = m_windowCost / toSeconds(span);
    m_drainRate = m_drainRate <= 0.0 ? rate : m_drainRate + Smoothing * (rate - m_drainRate);
    m_windowStart = now;
    m_windowCost = 0.0;
}

double AdmissionQueue::weightOf(const CustomerId &customer) const
{
    const auto it = m_weights.find(customer);
    return it == m_weights.end() ? 1.0 : it->second;
}

} // namespace godwit
