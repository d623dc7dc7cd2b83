#pragma once

#include <godwit/ports/callhandle.h>
#include <godwit/ports/completion.h>
#include <godwit/ports/httpresponse.h>
#include <godwit/ports/plaincall.h>

#include <memory>

namespace godwit {

/// A plain service: one that runs on the host but is not a model engine. The port sends each call
/// at most once and never retries.
class PlainServicePort
{
public:
    PlainServicePort() = default;
    PlainServicePort(const PlainServicePort &) = delete;
    PlainServicePort &operator=(const PlainServicePort &) = delete;
    virtual ~PlainServicePort() = default;

    /// Forwards \a call. Any complete reply is a success whatever its status, because the service
    /// has received the call. Only the error PlatformUnreachable proves that the call was not
    /// executed; after PlatformTimeout, PlatformReplyLost, PlatformBadReply and CallCancelled it
    /// may have been executed or may still be.
    virtual std::shared_ptr<CallHandle> forward(PlainCall call, Completion<HttpResponse> done) = 0;
};

} // namespace godwit
