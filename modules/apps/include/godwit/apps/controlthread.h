#pragma once

#include <caf/all.hpp>

#include <functional>
#include <memory>
#include <utility>

namespace godwit {

/// Typed message to a control actor. Events are moved, never serialised.
template <typename Event>
struct ControlMessage
{
    std::shared_ptr<Event> event;
};

} // namespace godwit

template <typename Event>
struct caf::allowed_unsafe_message_type<godwit::ControlMessage<Event>> : std::true_type
{};

namespace godwit {

/// The control thread of a process: one detached CAF actor that owns a \a Core and passes it the
/// events one at a time. Only this thread touches the core.
///
/// Core has a handle(Event) for each of \a Events. It is created and destroyed on the control
/// thread. CAF is used within the process only; its network layer is not linked.
template <typename Core, typename... Events>
class ControlThread
{
public:
    using Factory = std::function<std::unique_ptr<Core>()>;

    explicit ControlThread(Factory factory)
        : m_system(m_config)
    {
        m_actor = m_system.template spawn<caf::detached>(
                [factory = std::move(factory)](caf::event_based_actor *) -> caf::behavior {
                    const std::shared_ptr<Core> core = factory();
                    return {[core](const ControlMessage<Events> &message) {
                        core->handle(std::move(*message.event));
                    }...};
                });
    }

    ~ControlThread() { stop(); }
    ControlThread(const ControlThread &) = delete;
    ControlThread &operator=(const ControlThread &) = delete;

    /// Handles the events that were posted before, destroys the core and ends the thread. Events
    /// that are posted later are dropped, so that other threads may still call post().
    void stop()
    {
        caf::scoped_actor self(m_system);
        self->send_exit(m_actor, caf::exit_reason::user_shutdown);
        self->wait_for(m_actor);
    }

    /// Queues \a event; may be called from any thread.
    template <typename Event>
    void post(Event event)
    {
        caf::anon_send(m_actor, ControlMessage<Event>{std::make_shared<Event>(std::move(event))});
    }

private:
    struct Config : caf::actor_system_config
    {
        // The control actor has its own thread; the scheduler of CAF is idle.
        Config() { set("scheduler.max-threads", 1); }
    };

    Config m_config;
    caf::actor_system m_system;
    caf::actor m_actor;
};

} // namespace godwit
