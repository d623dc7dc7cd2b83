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

/// One request at an entry process: its pin, its attempts, the position of its stream, and its
/// final outcome, which is given exactly once.
///
/// A response comes from one attempt. If that attempt breaks, the stream goes on only with an
/// attempt that was started to resume it, at the same position and with the same pin. Events of
/// attempts that are closed, belong to another request or lost against another attempt are ignored
/// and counted.
///
/// The object only says that another attempt is allowed; the retry budget and server selection are
/// up to the caller, who then calls start() or giveUp().
class RequestTracker
{
public:
    struct Spec
    {
        RequestId id;
        Pin pin;
        bool isIdempotent = true;
        bool hasIdempotencyKey =
                false; ///< Hosts run it at most once, so a new attempt cannot run it twice.
        bool isResumable = false;
        TimePoint deadline;
    };
    struct StartedAttempt
    {
        AttemptKey key;
        std::uint64_t resumeAt = 0; ///< Position in bytes at which the stream has to start.
    };
    struct FinalResponse
    {
        ResultCode code = ResultCode::Ok;
        RunState state = RunState::Ran;
        Duration retryAfter{0};
    };
    struct Actions
    {
        std::string deliver;                ///< Next bytes of the response.
        std::vector<AttemptKey> withdraw;   ///< Send `/withdraw` for these.
        bool mayRetry = false;              ///< Call start() or giveUp().
        std::optional<FinalResponse> final; ///< Goes to the caller after the bytes, at once.
    };

    /// How long before the deadline open attempts are withdrawn, to learn whether they ran.
    static constexpr Duration WithdrawLead = std::chrono::milliseconds(200);

    explicit RequestTracker(Spec spec);

    const Spec &spec() const { return m_spec; }
    bool isFinal() const { return m_isFinal; }
    std::uint64_t position() const { return m_position; }
    std::uint64_t ignoredEvents() const { return m_ignoredEvents; }

    /// Starts an attempt; the request must not be final.
    StartedAttempt startAttempt();

    /// Bytes of the response from \a position on.
    Actions handleChunk(const AttemptKey &key, const Pin &pin, std::uint64_t position,
                        std::string_view bytes);

    /// The final trailer of an attempt. \a length is the length of the whole response if code is
    /// Ok.
    Actions handleReply(const AttemptKey &key, const Pin &pin, ResultCode code, RunState state,
                        std::uint64_t length, Duration retryAfter = Duration(0));

    /// The host went silent or its connection broke. The attempt counts as unknown unless
    /// withdrawn() proves otherwise.
    Actions handleSilence(const AttemptKey &key);

    /// Reply to `/withdraw`.
    Actions handleWithdrawReply(const AttemptKey &key, RunState state);

    /// Ends the request because no further attempt is made.
    Actions abandon(ResultCode code, Duration retryAfter);

    /// The caller closed its connection.
    Actions cancel();

    /// To be called at the deadline and WithdrawLead before.
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
    std::optional<AttemptKey> m_sourceAttempt; ///< Attempt that the response comes from.
    std::uint64_t m_position = 0;
    std::uint64_t m_ignoredEvents = 0;
};

} // namespace godwit
