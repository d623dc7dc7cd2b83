#pragma once

#include "runmessages.h"
#include "slotservice.h"

#include <godwit/observe/metricsregistry.h>
#include <godwit/observe/tracer.h>
#include <godwit/ports/httpengine.h>
#include <godwit/ports/httpplainservice.h>
#include <godwit/requests/attempttable.h>
#include <godwit/settings/daemonsettings.h>
#include <godwit/wire/wirestream.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string_view>

namespace godwit {

/// Runs the requests of one host process on its backend servers. Used on the traffic thread only.
class RunService
{
public:
    /// \a environment supplies the storage and ask functions; RunService sets the others.
    RunService(const DaemonSettings &settings, boost::asio::io_context &io, Incarnation incarnation,
               MetricsRegistry &metrics, Tracer &tracer, SlotService::Environment environment);
    ~RunService();

    /// Handles a `/run` stream.
    void run(const std::shared_ptr<WireStream> &stream);

    /// Handles a `/withdraw` message and returns the reply.
    std::string withdraw(const WithdrawMessage &message);

    /// Refuses every further request as not run.
    void stopAccepting() { m_accepting = false; }

    /// Start number of \a backend as read by the control thread.
    void setBoots(const BackendId &backend, std::uint64_t boots);

    /// \a onBytesSent is called with the size of each token and response that is sent to an entry
    /// process.
    void setBytesSentListener(std::function<void(std::size_t)> onBytesSent)
    {
        m_onBytesSent = std::move(onBytesSent);
    }

    SlotService &slotService() { return m_slotService; }

    /// Requests in progress, per backend server and in total.
    std::map<BackendId, std::uint32_t> running() const;
    std::size_t runningTotal() const { return m_running.size(); }

    /// Ids of the requests in progress, logged at the end of a shutdown.
    std::vector<std::string> runningRequests() const;

private:
    struct Backend
    {
        BackendSettings settings;
        std::unique_ptr<HttpEngine> engine;
        std::unique_ptr<HttpPlainService> plain;
        std::uint64_t boots = 0; ///< Start number of the engine, as last read.
    };
    struct Attempt;
    using AttemptPtr = std::shared_ptr<Attempt>;

    SlotService::Environment slotEnvironment(SlotService::Environment environment);
    void runAtMostOnce(const AttemptPtr &attempt);
    void dispatchAtMostOnce(const AttemptKey &key);
    void replyAtMostOnce(const SlotReply &reply);
    void send(const AttemptPtr &attempt, std::string_view bytes);
    void start(const AttemptPtr &attempt);
    void dispatch(const AttemptPtr &attempt);
    void runEngine(const AttemptPtr &attempt, Backend &backend);
    void runPlain(const AttemptPtr &attempt, Backend &backend);
    void onEngineEvent(const AttemptPtr &attempt, const EngineEvent &event);
    void onEngineEnd(const AttemptPtr &attempt, const Outcome<EngineUsage> &outcome);
    void onPlainEnd(const AttemptPtr &attempt, Outcome<HttpResponse> outcome);
    void onCallerDisconnected(const AttemptPtr &attempt);
    void refuse(const AttemptPtr &attempt, ResultCode code, RunState state, std::string detail);
    void finish(const AttemptPtr &attempt, const RunOutcome &outcome);

    HttpClient m_client;
    AttemptTable m_attempts;
    SlotService m_slotService;
    Tracer &m_tracer;
    Counter &m_started;
    Counter &m_refused;
    Counter &m_tokens;
    std::map<BackendId, Backend> m_backends;
    std::map<AttemptKey, AttemptPtr> m_running;
    std::function<void(std::size_t)> m_onBytesSent;
    bool m_accepting = true;
};

} // namespace godwit
