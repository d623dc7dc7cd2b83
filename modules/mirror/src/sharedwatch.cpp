#include <godwit/mirror/sharedwatch.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace godwit {

/// Watch of one user.
class SharedWatch::Subscription : public CallHandle
{
public:
    Subscription(std::weak_ptr<Hub> hub, std::string prefix, StorePosition from,
                 WatchHandlers handlers)
        : m_hub(std::move(hub))
        , m_prefix(std::move(prefix))
        , m_from(from)
        , m_handlers(std::move(handlers))
    {}

    void cancel() override;

    /// Position from which events are still to be delivered.
    StorePosition from() const { return m_from; }
    bool isEnded() const { return m_isEnded; }
    /// Whether the current call reports all events from the position of this watch on.
    bool isCovered() const { return m_isCovered && !m_isEnded; }
    void cover()
    {
        m_isCovered = true;
        m_firstRevision = m_from.revision;
    }

    void onStarted(StoreRevision current)
    {
        if (!std::exchange(m_isStarted, true) && m_handlers.onStarted)
            m_handlers.onStarted(current);
    }

    void onPollStarted()
    {
        if (m_handlers.onPollStarted)
            m_handlers.onPollStarted();
    }

    void onEvents(const std::vector<WatchEvent> &events)
    {
        std::vector<WatchEvent> own;
        for (const WatchEvent &event : events) {
            advance(event.entry.modified);
            if (event.entry.modified >= m_firstRevision && event.entry.key.starts_with(m_prefix))
                own.push_back(event);
        }
        if (!own.empty())
            m_handlers.onEvents(own);
    }

    void onQuietUntil(TimePoint time)
    {
        if (m_handlers.onQuietUntil)
            m_handlers.onQuietUntil(time);
    }

    void onConfirmed(StoreRevision current, TimePoint requestTime)
    {
        // Replaces the revision of an event that the service has stated wrongly.
        m_from.revision = m_firstRevision;
        advance(current);
        if (m_handlers.onConfirmed)
            m_handlers.onConfirmed(current, requestTime);
    }

    void end(const Outcome<Done> &outcome)
    {
        if (!std::exchange(m_isEnded, true))
            m_handlers.onEnd(outcome);
    }

private:
    /// All writes up to \a revision have been reported.
    void advance(StoreRevision revision)
    {
        m_from.revision.value = std::max(m_from.revision.value, revision.value + 1);
    }

    std::weak_ptr<Hub> m_hub;
    std::string m_prefix;
    StorePosition m_from;
    /// Where the current call began for this watch; the store reports later events once.
    StoreRevision m_firstRevision;
    WatchHandlers m_handlers;
    bool m_isCovered = false;
    bool m_isStarted = false;
    bool m_isEnded = false;
};

/// The common watch and its subscribers. Callbacks may destroy the SharedWatch, so that each
/// function that calls one is run by an owner of the hub.
class SharedWatch::Hub : public std::enable_shared_from_this<Hub>
{
public:
    Hub(KeyValuePort &store, Scheduler &scheduler, SharedWatchOptions options)
        : m_store(store)
        , m_scheduler(scheduler)
        , m_options(options)
    {}

    std::shared_ptr<CallHandle> join(std::string prefix, StorePosition from, WatchHandlers handlers)
    {
        auto subscription = std::make_shared<Subscription>(weak_from_this(), std::move(prefix),
                                                           from, std::move(handlers));
        m_subscriptions.push_back(subscription);
        // Subscribers that join later do not prolong the period.
        if (!m_startTimer)
            scheduleCall(JoinPeriod);
        return subscription;
    }

    /// Drops the subscriptions that have ended, and the common watch with the last one.
    void removeEnded()
    {
        std::erase_if(m_subscriptions, [](const auto &it) { return it->isEnded(); });
        if (m_subscriptions.empty())
            stop();
    }

    /// The store and the scheduler are not used any more.
    void close()
    {
        m_isClosed = true;
        m_subscriptions.clear();
        stop();
    }

private:
    using Subscriptions = std::vector<std::shared_ptr<Subscription>>;

    void stop()
    {
        m_startTimer.reset();
        cancelCall();
    }

    void cancelCall()
    {
        ++m_callNumber;
        if (const auto call = std::exchange(m_call, nullptr))
            call->cancel();
    }

    void scheduleCall(Duration delay)
    {
        m_startTimer = m_scheduler.after(delay, [weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->startCall();
        });
    }

    void startCall()
    {
        const auto timer = std::exchange(m_startTimer, nullptr);
        cancelCall();
        endEarlierEras();
        // A subscriber that has joined since has scheduled another call.
        if (m_subscriptions.empty() || m_startTimer)
            return;
        const StorePosition from = oldestPosition();
        for (const auto &it : m_subscriptions)
            it->cover();
        const std::uint64_t number = m_callNumber;
        const auto call = m_store.watch({}, from, handlers(number));
        // The start of the call is reported to subscribers, which may cancel their watches.
        if (number == m_callNumber)
            m_call = call;
        else if (call)
            call->cancel();
    }

    /// The events of one call belong to one era.
    void endEarlierEras()
    {
        StoreEra newest;
        for (const auto &it : m_subscriptions)
            newest = std::max(newest, it->from().era);
        Subscriptions earlier = m_subscriptions;
        std::erase_if(earlier, [&](const auto &it) { return it->from().era == newest; });
        std::erase_if(m_subscriptions, [&](const auto &it) { return it->from().era != newest; });
        endAll(earlier, Error{ResultCode::StoreRestored,
                              "another watch has read era " + std::to_string(newest.value)});
    }

    StorePosition oldestPosition() const
    {
        StorePosition oldest = m_subscriptions.front()->from();
        for (const auto &it : m_subscriptions) {
            const StorePosition from = it->from();
            if (oldest.revision.value == 0
                || (from.revision.value > 0 && from.revision < oldest.revision))
                oldest = from;
        }
        return oldest;
    }

    WatchHandlers handlers(std::uint64_t number)
    {
        const auto current = [weak = weak_from_this(), number] {
            auto self = weak.lock();
            return self && self->m_callNumber == number ? self : nullptr;
        };
        WatchHandlers handlers;
        handlers.onStarted = [current](StoreRevision revision) {
            if (const auto self = current())
                self->forEachCovered([=](Subscription &it) { it.onStarted(revision); });
        };
        handlers.onPollStarted = [current] {
            if (const auto self = current())
                self->onPollStarted();
        };
        handlers.onEvents = [current](const std::vector<WatchEvent> &events) {
            if (const auto self = current())
                self->onEvents(events);
        };
        handlers.onQuietUntil = [current](TimePoint time) {
            if (const auto self = current())
                self->forEachCovered([=](Subscription &it) { it.onQuietUntil(time); });
        };
        handlers.onConfirmed = [current](StoreRevision revision, TimePoint requestTime) {
            if (const auto self = current())
                self->onConfirmed(revision, requestTime);
        };
        handlers.onEnd = [current](const Outcome<Done> &outcome) {
            if (const auto self = current())
                self->onEnd(outcome);
        };
        return handlers;
    }

    /// Calls \a function for each subscription that the call covers. A callback may end any of
    /// them and add others, which the call does not cover.
    template <typename Function>
    void forEachCovered(const Function &function)
    {
        Subscriptions covered = m_subscriptions;
        std::erase_if(covered, [](const auto &it) { return !it->isCovered(); });
        for (const auto &it : covered) {
            if (it->isCovered() && !m_isClosed)
                function(*it);
        }
    }

    void onPollStarted()
    {
        m_pollStart = m_scheduler.now();
        m_hasEvents = false;
        forEachCovered([](Subscription &it) { it.onPollStarted(); });
    }

    void onEvents(const std::vector<WatchEvent> &events)
    {
        m_hasEvents = true;
        forEachCovered([&](Subscription &it) { it.onEvents(events); });
    }

    void onConfirmed(StoreRevision revision, TimePoint requestTime)
    {
        const std::uint64_t number = m_callNumber;
        forEachCovered([=](Subscription &it) { it.onConfirmed(revision, requestTime); });
        if (number == m_callNumber)
            delayNextCall();
    }

    /// Called at the end of a response. Without a delay, and if all subscriptions are covered, the
    /// store starts the next call by itself.
    void delayNextCall()
    {
        const bool isJoined = std::ranges::any_of(m_subscriptions,
                                                  [](const auto &it) { return !it->isCovered(); });
        Duration delay{0};
        if (m_hasEvents) {
            const Duration untilTimeout =
                    m_pollStart + m_options.longPollTimeout - m_scheduler.now();
            delay = std::clamp(untilTimeout, Duration::zero(), m_options.batchDelay);
        }
        if (delay == Duration::zero() && !isJoined)
            return;
        cancelCall();
        scheduleCall(delay);
    }

    void onEnd(const Outcome<Done> &outcome)
    {
        ++m_callNumber;
        m_call.reset();
        m_startTimer.reset();
        // A subscriber may start a new watch when its old one ends.
        endAll(std::exchange(m_subscriptions, {}), outcome);
    }

    void endAll(const Subscriptions &subscriptions, const Outcome<Done> &outcome)
    {
        for (const auto &it : subscriptions) {
            if (!m_isClosed)
                it->end(outcome);
        }
    }

    KeyValuePort &m_store;
    Scheduler &m_scheduler;
    SharedWatchOptions m_options;
    Subscriptions m_subscriptions;
    std::shared_ptr<CallHandle> m_call;
    std::uint64_t m_callNumber = 0; ///< Callbacks of earlier calls are ignored.
    std::unique_ptr<Timer> m_startTimer;
    TimePoint m_pollStart;
    bool m_hasEvents = false; ///< In the response to the current poll.
    bool m_isClosed = false;
};

void SharedWatch::Subscription::cancel()
{
    if (std::exchange(m_isEnded, true))
        return;
    if (const auto hub = m_hub.lock())
        hub->removeEnded();
}

SharedWatch::SharedWatch(KeyValuePort &store, Scheduler &scheduler, SharedWatchOptions options)
    : m_store(store)
    , m_hub(std::make_shared<Hub>(store, scheduler, options))
{}

SharedWatch::~SharedWatch()
{
    m_hub->close();
}

void SharedWatch::get(std::string key, Completion<std::optional<KeyValueEntry>> done)
{
    m_store.get(std::move(key), std::move(done));
}

void SharedWatch::list(std::string prefix, Completion<KeyValueList> done)
{
    m_store.list(std::move(prefix), std::move(done));
}

void SharedWatch::compareAndSwap(std::string key, StoreRevision expected, std::string value,
                                 LeaseId lease, Completion<StoreRevision> done)
{
    m_store.compareAndSwap(std::move(key), expected, std::move(value), lease, std::move(done));
}

void SharedWatch::deleteKey(std::string key, StoreRevision expected, Completion<Done> done)
{
    m_store.deleteKey(std::move(key), expected, std::move(done));
}

void SharedWatch::grantLease(Duration span, Completion<LeaseId> done)
{
    m_store.grantLease(span, std::move(done));
}

void SharedWatch::keepLeaseAlive(LeaseId lease, Completion<Duration> done)
{
    m_store.keepLeaseAlive(lease, std::move(done));
}

void SharedWatch::revokeLease(LeaseId lease, Completion<Done> done)
{
    m_store.revokeLease(lease, std::move(done));
}

std::shared_ptr<CallHandle> SharedWatch::watch(std::string prefix, StorePosition from,
                                               WatchHandlers handlers)
{
    return m_hub->join(std::move(prefix), from, std::move(handlers));
}

} // namespace godwit
