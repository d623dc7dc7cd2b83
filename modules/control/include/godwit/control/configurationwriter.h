#pragma once

#include <godwit/base/random.h>
#include <godwit/base/time.h>
#include <godwit/control/command.h>
#include <godwit/control/storagereply.h>
#include <godwit/control/writeraction.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace godwit {

/// Writes one command to the key-value service: read, apply, compare-and-swap, repeated with
/// backoff until the command is decided or the deadline passes.
///
/// One object serves one command and is not reused. A write whose reply is lost is found again by
/// its operation id. Until the stored revision has passed the one that the lost write expected, the
/// write may still arrive, so the outcome is then Undecided instead of Refused.
class ConfigurationWriter
{
public:
    struct Settings
    {
        Duration deadline = std::chrono::seconds(8); ///< Below the 10 s limit of P7.
        Duration firstBackoff = std::chrono::milliseconds(50);
        Duration maxBackoff = std::chrono::seconds(1);
    };

    /// \a minRevision is the highest revision known to be confirmed; an older stored document means
    /// that the service lost data, and the writer does not build on it.
    ConfigurationWriter(Command command, CommandContext context, Revision minRevision,
                        Settings settings, Random random);

    std::vector<WriterAction> start(TimePoint now);
    std::vector<WriterAction> onRead(TimePoint now, std::uint64_t call, const StorageReply &reply);
    std::vector<WriterAction> onWrite(TimePoint now, std::uint64_t call, const StorageReply &reply);
    std::vector<WriterAction> onTimer(TimePoint now);

    bool isFinished() const { return m_finished; }

private:
    std::vector<WriterAction> read();
    std::vector<WriterAction> retry(TimePoint now, const Error &cause);
    std::vector<WriterAction> finish(WriteDecision decision, Revision revision, Error error);
    std::vector<WriterAction> finishAtDeadline(const Error &cause);
    std::vector<WriterAction> applyAndWrite(TimePoint now, const Configuration &stored,
                                            std::uint64_t storedRevision);

    Command m_command;
    CommandContext m_context;
    Revision m_minRevision;
    Settings m_settings;
    Random m_random;
    TimePoint m_deadline;
    TimePoint m_retryAt;
    Duration m_backoff;
    std::uint64_t m_call = 0;
    bool m_backingOff = false;    ///< A backoff runs.
    bool m_writeInFlight = false; ///< A write is in flight.
    bool m_finished = false;
    /// Expected stored revision of a write that may still take effect.
    std::optional<std::uint64_t> m_unresolvedWrite;
    Error m_lastError;
    std::shared_ptr<const Configuration> m_next;
    std::shared_ptr<const Configuration> m_stored;
};

} // namespace godwit
