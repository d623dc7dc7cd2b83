#pragma once

#include <godwit/ports/callhandle.h>
#include <godwit/ports/completion.h>
#include <godwit/ports/httpresponse.h>
#include <godwit/ports/plaincall.h>

#include <memory>

namespace godwit {

/// One plain service beside the engines. The port sends each call at most once, whatever happens.
class PlainServicePort
{
public:
    PlainServicePort() = default;
    PlainServicePort(const PlainServicePort &) = delete;
    PlainServicePort &operator=(const PlainServicePort &) = delete;
    virtual ~PlainServicePort() = default;

    /// Forwards \a call. Any complete reply is a success, whatever its status: the service has
    /// seen the call. Of the errors only PlatformUnreachable proves that the call has not run;
    /// after PlatformTimeout, PlatformReplyLost, PlatformBadReply and CallCancelled it may have
    /// run, or may still.
    virtual std::shared_ptr<CallHandle> forward(PlainCall call, Completion<HttpResponse> done) = 0;
};

} // namespace godwit
