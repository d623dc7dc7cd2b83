#pragma once

#include "virtualscheduler.h"

#include <godwit/ports/keyvalueport.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace godwit {

/// Key-value store in virtual time whose watches make long-poll calls like those of the platform's
/// adapter, without a delay between them.
class PollingStore : public KeyValuePort
{
public:
    static constexpr Duration LinkDelay = std::chrono::milliseconds(10);
    static constexpr Duration Wait = std::chrono::seconds(1);

    explicit PollingStore(VirtualScheduler &scheduler)
        : m_scheduler(scheduler)
    {}

    int watchCalls = 0;                  ///< Polls, not watches.
    std::vector<StorePosition> started;  ///< Position of each watch.
    std::vector<std::string> prefixes;   ///< Of each watch.
    std::vector<TimePoint> requestTimes; ///< Of each poll.
    std::vector<std::string> otherCalls;
    int lists = 0;
    bool isReachable = true;

    std::uint64_t put(const std::string &key, const std::string &value)
    {
        const KeyValueEntry entry{key, value, StoreRevision{++m_state.revision}, LeaseId{}};
        m_state.items[key] = entry;
        m_state.history.push_back({entry, false});
        notify();
        return m_state.revision;
    }

    void remove(const std::string &key)
    {
        m_state.items.erase(key);
        m_state.history.push_back({{key, {}, StoreRevision{++m_state.revision}, {}}, true});
        notify();
    }

    /// An event that states \a revision although the store has not reached it.
    void putWithWrongRevision(const std::string &key, std::uint64_t revision)
    {
        ++m_state.revision;
        m_state.history.push_back({{key, "odd", StoreRevision{revision}, {}}, false});
        m_wrong = {m_state.revision, revision};
        notify();
    }

    void compact()
    {
        m_state.compacted = m_state.revision;
        m_state.history.clear();
        failWaiting(ResultCode::WatchCompacted);
    }

    void copy() { m_copy = m_state; }

    void restore()
    {
        m_state = m_copy;
        ++m_era.value;
        failWaiting(ResultCode::StoreRestored);
    }

    void setReachable(bool reachable)
    {
        isReachable = reachable;
        if (!reachable)
            failWaiting(ResultCode::PlatformUnreachable);
    }

    std::uint64_t revision() const { return m_state.revision; }
    /// Watches that have neither ended nor been cancelled.
    std::size_t openWatches() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(m_watches, [](const auto &it) {
            const auto watch = it.lock();
            return watch && !watch->isEnded();
        }));
    }

    StoreEra era() const override { return m_era; }
    void get(std::string key, Completion<std::optional<KeyValueEntry>>) override
    {
        otherCalls.push_back("get " + key);
    }
    void list(std::string prefix, Completion<KeyValueList> done) override
    {
        ++lists;
        later(LinkDelay, [this, prefix = std::move(prefix), done = std::move(done)] {
            if (!isReachable) {
                done(Error{ResultCode::PlatformUnreachable, "away"});
                return;
            }
            KeyValueList found{{m_era, StoreRevision{m_state.revision}}, {}};
            for (const auto &[key, it] : m_state.items) {
                if (key.starts_with(prefix))
                    found.entries.push_back(it);
            }
            later(LinkDelay, [done, found] { done(found); });
        });
    }
    void compareAndSwap(std::string key, StoreRevision, std::string, LeaseId,
                        Completion<StoreRevision>) override
    {
        otherCalls.push_back("put " + key);
    }
    void deleteKey(std::string key, StoreRevision, Completion<Done>) override
    {
        otherCalls.push_back("delete " + key);
    }
    void grantLease(Duration, Completion<LeaseId>) override { otherCalls.push_back("grant"); }
    void keepLeaseAlive(LeaseId, Completion<Duration>) override { otherCalls.push_back("keep"); }
    void revokeLease(LeaseId, Completion<Done>) override { otherCalls.push_back("revoke"); }

    std::shared_ptr<CallHandle> watch(std::string prefix, StorePosition from,
                                      WatchHandlers handlers) override
    {
        started.push_back(from);
        prefixes.push_back(prefix);
        auto watch = std::make_shared<Watch>(*this, std::move(prefix), from, std::move(handlers));
        m_watches.push_back(watch);
        watch->poll();
        return watch;
    }

private:
    struct State
    {
        std::uint64_t revision = 10;
        std::uint64_t compacted = 0;
        std::map<std::string, KeyValueEntry> items;
        std::vector<WatchEvent> history;
    };

    class Watch : public CallHandle, public std::enable_shared_from_this<Watch>
    {
    public:
        Watch(PollingStore &store, std::string prefix, StorePosition from, WatchHandlers handlers)
            : m_store(store)
            , m_prefix(std::move(prefix))
            , m_era(from.era)
            , m_after(from.revision.value - 1)
            , m_handlers(std::move(handlers))
        {}

        void poll()
        {
            ++m_store.watchCalls;
            m_store.requestTimes.push_back(m_store.m_scheduler.now());
            if (m_handlers.onPollStarted)
                m_handlers.onPollStarted();
            m_requestTime = m_store.m_scheduler.now();
            later(LinkDelay, [this] { arrive(); });
        }

        void cancel() override
        {
            m_isEnded = true;
            m_isWaiting = false;
        }

        bool isEnded() const { return m_isEnded; }

        /// Answers if there are events.
        void answerEvents()
        {
            if (!m_isWaiting)
                return;
            std::vector<WatchEvent> events;
            for (const WatchEvent &it : m_store.m_state.history) {
                if (m_store.storeRevisionOf(it) > m_after && it.entry.key.starts_with(m_prefix))
                    events.push_back(it);
            }
            if (!events.empty())
                answer(std::move(events), false);
        }

        void fail(ResultCode code)
        {
            if (m_isEnded || !std::exchange(m_isWaiting, false))
                return;
            later(LinkDelay, [this, code] { end(code); });
        }

    private:
        template <typename Function>
        void later(Duration delay, Function function)
        {
            m_store.later(delay, [self = shared_from_this(), function] {
                if (!self->m_isEnded)
                    function();
            });
        }

        void arrive()
        {
            if (!m_store.isReachable) {
                end(ResultCode::PlatformUnreachable);
                return;
            }
            if (m_era != m_store.m_era) {
                end(ResultCode::StoreRestored);
                return;
            }
            if (m_after < m_store.m_state.compacted || m_after > m_store.m_state.revision) {
                end(ResultCode::WatchCompacted);
                return;
            }
            m_isWaiting = true;
            answerEvents();
            if (m_isWaiting)
                later(Wait, [this, number = ++m_waitNumber] {
                    if (m_isWaiting && number == m_waitNumber)
                        answer({}, true);
                });
        }

        void answer(std::vector<WatchEvent> events, bool isQuiet)
        {
            m_isWaiting = false;
            const std::uint64_t current = m_store.m_state.revision;
            later(LinkDelay, [this, events = std::move(events), isQuiet, current] {
                m_after = std::max(m_after, current);
                if (!events.empty())
                    m_handlers.onEvents(events);
                else if (isQuiet && m_handlers.onQuietUntil)
                    m_handlers.onQuietUntil(m_requestTime + Wait);
                if (!m_isEnded && m_handlers.onConfirmed)
                    m_handlers.onConfirmed(StoreRevision{m_after}, m_requestTime);
                if (!m_isEnded)
                    poll();
            });
        }

        void end(ResultCode code)
        {
            m_isEnded = true;
            m_handlers.onEnd(Error{code, "ended"});
        }

        PollingStore &m_store;
        std::string m_prefix;
        StoreEra m_era;
        std::uint64_t m_after;
        WatchHandlers m_handlers;
        TimePoint m_requestTime;
        int m_waitNumber = 0;
        bool m_isWaiting = false;
        bool m_isEnded = false;
    };

    void later(Duration delay, std::function<void()> function)
    {
        m_timers.push_back(m_scheduler.after(delay, std::move(function)));
    }

    std::uint64_t storeRevisionOf(const WatchEvent &event) const
    {
        const std::uint64_t stated = event.entry.modified.value;
        return m_wrong && m_wrong->second == stated ? m_wrong->first : stated;
    }

    void notify()
    {
        for (const auto &it : std::vector(m_watches)) {
            if (const auto watch = it.lock())
                watch->answerEvents();
        }
    }

    void failWaiting(ResultCode code)
    {
        for (const auto &it : std::vector(m_watches)) {
            if (const auto watch = it.lock())
                watch->fail(code);
        }
    }

    VirtualScheduler &m_scheduler;
    StoreEra m_era{1};
    State m_state;
    State m_copy;
    std::optional<std::pair<std::uint64_t, std::uint64_t>> m_wrong; ///< True and stated revision.
    std::vector<std::weak_ptr<Watch>> m_watches;
    std::vector<std::unique_ptr<Timer>> m_timers;
};

} // namespace godwit
