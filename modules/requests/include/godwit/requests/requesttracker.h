#pragma once

#include <godwit/base/resultcode.h>
#include <godwit/base/runstate.h>
#include <godwit/requests/attemptkey.h>
#include <godwit/requests/pin.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace godwit {

/// State of one request at an entry process: its pin, its attempts, the position in the response
/// stream and the final response, which is produced exactly once.
///
/// A response is taken from one attempt. If that attempt fails, the stream is continued only by an
/// attempt that was started to resume it, at the same position and with the same pin. Events are
/// ignored and counted if their attempt is closed, belongs to another request, or is not the one
/// that the response is taken from.
///
/// The tracker only decides whether another attempt is allowed. The caller is responsible for the
/// retry budget and the choice of a server, and then calls startAttempt() or abandon().
class RequestTracker
{
public:
    struct Spec
    {
        RequestId id;
        Pin pin;
        bool isIdempotent = true;
        /// The hosts run the request at most once, so it may be attempted again even if it is not
        /// idempotent.
        bool hasIdempotencyKey = false;
        bool isResumable = false;
        TimePoint deadline;
    };
    struct StartedAttempt
    {
        AttemptKey key;
        std::uint64_t resumeAt = 0; ///< Position in bytes at which the stream must start.
    };
    struct FinalResponse
    {
        ResultCode code = ResultCode::Ok;
        RunState state = RunState::Ran;
        Duration retryAfter{0};
    };
    struct Actions
    {
        std::string deliver;              ///< Next bytes of the response.
        std::vector<AttemptKey> withdraw; ///< Send `/withdraw` for these.
        bool mayRetry = false;            ///< The caller must call startAttempt() or abandon().
        /// Must be sent to the caller immediately after the bytes.
        std::optional<FinalResponse> final;
    };

    /// Time before the deadline at which open attempts are withdrawn to find out whether they ran.
    static constexpr Duration WithdrawLead = std::chrono::milliseconds(200);

    explicit RequestTracker(Spec spec);

    const Spec &spec() const { return m_spec; }
    bool isFinal() const { return m_isFinal; }
    std::uint64_t position() const { return m_position; }
    std::uint64_t ignoredEvents() const { return m_ignoredEvents; }

    /// Starts an attempt. The request must not be final.
    StartedAttempt startAttempt();

    /// Handles the bytes of the response that start at \a position.
    Actions handleChunk(const AttemptKey &key, const Pin &pin, std::uint64_t position,
                        std::string_view bytes);

    /// Handles the final trailer of an attempt. \a length is the length of the complete response if
    /// \a code is Ok.
    Actions handleReply(const AttemptKey &key, const Pin &pin, ResultCode code, RunState state,
                        std::uint64_t length, Duration retryAfter = Duration(0));

    /// Called when the host stopped responding or its connection broke. The state of the attempt is
    /// Unknown unless handleWithdrawReply() proves otherwise.
    Actions handleSilence(const AttemptKey &key);

    /// Handles the reply to `/withdraw`.
    Actions handleWithdrawReply(const AttemptKey &key, RunState state);

    /// Ends the request because no further attempt is made.
    Actions abandon(ResultCode code, Duration retryAfter);

    /// Called when the caller closed its connection.
    Actions cancel();

    /// Must be called at the deadline and WithdrawLead before it.
    Actions tick(TimePoint now);

private:
    struct Attempt
    {
        bool isOpen = true;
        bool isSilent = false;
        bool isWithdrawing = false;
        RunState state = RunState::Unknown;
        std::uint64_t resumeAt = 0;
    };

    Attempt *findOpenAttempt(const AttemptKey &key);
    void closeAttempt(const AttemptKey &key, Attempt &attempt, RunState state);
    Actions handleAttemptFailure(ResultCode code, Duration retryAfter);
    bool hasOpenAttempt() const;
    bool mayRetry(ResultCode code) const;
    RunState combinedState() const;
    Actions finish(ResultCode code, RunState state, Duration retryAfter);

    Spec m_spec;
    bool m_isFinal = false;
    std::uint64_t m_nextAttempt = 1;
    std::map<AttemptKey, Attempt> m_attempts;
    std::optional<AttemptKey> m_sourceAttempt; ///< Attempt that the response is taken from.
    std::uint64_t m_position = 0;
    std::uint64_t m_ignoredEvents = 0;
};

} // namespace godwit
