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

/// Applies one command to the document in the key-value service by read and compare-and-swap, and
/// retries with backoff until the outcome is known or the deadline passes.
///
/// Each object handles one command. A write whose reply was lost is recognized by its operation id
/// at the next read. Such a write may still take effect until the store revision has passed the one
/// that the write expected; until then the outcome at the deadline is Undecided instead of Refused.
class ConfigurationWriter
{
public:
    struct Settings
    {
        /// Below the limit of 10 s within which an accepted configuration must take effect (P7 in
        /// docs/design.md).
        Duration deadline = std::chrono::seconds(8);
        Duration firstBackoff = std::chrono::milliseconds(50);
        Duration maxBackoff = std::chrono::seconds(1);
    };

    /// \a minRevision is the highest confirmed revision known to the process. An older stored
    /// document means that the service has lost data; the writer does not write to it.
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
    bool m_backingOff = false; ///< Waiting for m_retryAt.
    bool m_writeInFlight = false;
    bool m_finished = false;
    /// Expected store revision of a write that may still take effect.
    std::optional<std::uint64_t> m_unresolvedWrite;
    Error m_lastError;
    std::shared_ptr<const Configuration> m_next;
    std::shared_ptr<const Configuration> m_stored;
};

} // namespace godwit
