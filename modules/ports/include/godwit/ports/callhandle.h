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

    /// Cancels the call if no byte of its request has been passed to a connection, so that the call
    /// cannot have taken effect. Returns whether that is so; no byte is passed then afterwards. A
    /// handle that does not know returns false.
    virtual bool cancelUnsent() { return false; }

    /// The caller has had no answer for unusually long but goes on waiting. Idle connections to the
    /// same server are closed if the call uses one that has been idle: a network device may have
    /// dropped its state, and that of the others.
    virtual void reportSilence() {}

    /// Stops the delivery of data until resume(). TCP flow control then stops the peer from
    /// sending. The idle timeout is suspended while the call is paused.
    virtual void pause() {}
    virtual void resume() {}
};

} // namespace godwit
