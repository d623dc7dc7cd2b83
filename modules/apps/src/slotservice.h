#pragma once

#include "runmessages.h"

#include <godwit/control/configuration.h>
#include <godwit/ports/httpresponse.h>
#include <godwit/requests/slothost.h>
#include <godwit/settings/daemonsettings.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace godwit {

/// Requests of non-idempotent deployments in a host process: connects one SlotHost per deployment
/// to the key-value service, to the successors and to the backend servers. Used on the traffic
/// thread only.
class SlotService
{
public:
    struct Environment
    {
        /// Calls the key-value service; the reply is delivered on the traffic thread.
        std::function<void(const SlotStorageCall &, std::function<void(SlotStorageReply)>)> storage;
        /// Sends a promise request to a host. The reply is delivered on the traffic thread, but may
        /// be lost.
        std::function<void(const HostId &, const DeploymentId &, const PromiseRequest &,
                           std::function<void(PromiseReply)>)>
                ask;
        /// Sends the request of an attempt to its backend server.
        std::function<void(const AttemptKey &)> dispatch;
        /// Sends the final reply of an attempt.
        std::function<void(const SlotReply &)> reply;
    };

    SlotService(const DaemonSettings &settings, Incarnation incarnation, AttemptTable &attempts,
                Environment environment);

    /// Creates the slot hosts of the non-idempotent deployments that have a backend server here.
    void setConfiguration(const Configuration &configuration);

    /// True if \a deployment runs its requests at most once here.
    bool serves(const DeploymentId &deployment) const { return m_slotHosts.contains(deployment); }

    void run(const DeploymentId &deployment, const SlotRequest &request, const AttemptTerms &terms);
    void finished(const DeploymentId &deployment, const IdempotencyKey &key, RunState state,
                  const std::string &response);
    RunState withdraw(const DeploymentId &deployment, const IdempotencyKey &key,
                      const AttemptKey &attempt, const AttemptTerms &terms);

    /// Handles the promise request of another owner.
    PromiseReply handlePromiseRequest(const DeploymentId &deployment,
                                      const PromiseRequest &request);

    void tick();

    /// Slot documents, which tell entry processes the slot owners.
    std::map<DeploymentId, SlotDocument> documents() const;

private:
    void execute(const DeploymentId &deployment, const SlotActions &actions);

    const DaemonSettings &m_settings;
    Incarnation m_incarnation;
    AttemptTable &m_attempts;
    Environment m_environment;
    std::map<DeploymentId, std::unique_ptr<SlotHost>> m_slotHosts;
};

/// Serialises the response of a backend server, which is stored for duplicate requests.
std::string encodeResponse(const HttpResponse &response);

/// Inverse of encodeResponse().
HttpResponse decodeResponse(const std::string &text);

} // namespace godwit
