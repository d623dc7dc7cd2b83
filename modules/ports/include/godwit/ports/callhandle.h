#pragma once

namespace godwit {

/// Handle of one asynchronous call. All functions may be called from any thread and after the end
/// of the call, when they do nothing. Dropping the handle does not cancel the call.
class CallHandle
{
public:
    CallHandle() = default;
    CallHandle(const CallHandle &) = delete;
    CallHandle &operator=(const CallHandle &) = delete;
    virtual ~CallHandle() = default;

    /// Ends the call. Its completion runs with CallCancelled; the call may have taken effect.
    virtual void cancel() = 0;

    /// Stops the delivery of data until resume(). The peer is held back by TCP flow control; the
    /// idle timeout does not run meanwhile.
    virtual void pause() {}
    virtual void resume() {}
};

} // namespace godwit
