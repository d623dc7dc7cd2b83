#include "rollout.h"

namespace godwit {

namespace {

struct PhaseName
{
    const char *operator()(const IdlePhase &) const { return "idle"; }
    const char *operator()(const ManifestRetryPhase &) const { return "manifest_retry"; }
    const char *operator()(const ReadingManifestPhase &) const { return "reading_manifest"; }
    const char *operator()(const ListingStagedPhase &) const { return "listing_staged"; }
    const char *operator()(const LoadingPhase &loading) const
    {
        switch (loading.progress) {
        case LoadingPhase::Progress::Fetching:
            return "fetching";
        case LoadingPhase::Progress::AwaitingOrder:
            return "awaiting_order";
        case LoadingPhase::Progress::Loaded:
            return "loaded";
        }
        return "unknown";
    }
};

} // namespace

const char *phaseName(const Rollout &rollout)
{
    return std::visit(PhaseName(), rollout.phase);
}

} // namespace godwit
