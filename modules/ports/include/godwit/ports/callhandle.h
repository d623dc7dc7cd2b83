#pragma once

namespace godwit {

/// Handle of one asynchronous call. All functions may be called from any thread. They do nothing
/// once the call has ended. Destroying the handle does not cancel the call.
class CallHandle
{
public:
    CallHandle() = default;
    CallHandle(const CallHandle &) = delete;
    CallHandle &operator=(const CallHandle &) = delete;
    virtual ~CallHandle() = default;

    /// Ends the call. Its completion runs with CallCancelled; the call may already have taken
    /// effect.
    virtual void cancel() = 0;

    /// Stops the delivery of data until resume(). TCP flow control then stops the peer from
    /// sending. The idle timeout is suspended while the call is paused.
    virtual void pause() {}
    virtual void resume() {}
};

} // namespace godwit
