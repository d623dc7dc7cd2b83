#include <godwit/control/configurationwriter.h>

#include <algorithm>

namespace godwit {

namespace {

Error storageError(StorageStatus status)
{
    switch (status) {
    case StorageStatus::CompareFailed:
        return {ResultCode::CompareFailed, "another write came first"};
    case StorageStatus::Timeout:
        return {ResultCode::PlatformTimeout, "the key-value service did not reply"};
    case StorageStatus::Refused:
        return {ResultCode::PlatformRefused,
                "the key-value service rejected the call by its rate limit"};
    default:
        return {ResultCode::PlatformUnreachable, "the key-value service is unreachable"};
    }
}

Outcome<Configuration> parseStored(const StorageReply &reply)
{
    if (reply.storedRevision == 0)
        return Configuration();
    return capture([&] { return parseConfiguration(reply.value); });
}

} // namespace

ConfigurationWriter::ConfigurationWriter(Command command, CommandContext context,
                                         Revision minRevision, Settings settings, Random random)
    : m_command(std::move(command))
    , m_context(std::move(context))
    , m_minRevision(minRevision)
    , m_settings(settings)
    , m_random(random)
    , m_backoff(settings.firstBackoff)
{}

std::vector<WriterAction> ConfigurationWriter::start(TimePoint now)
{
    m_deadline = now + m_settings.deadline;
    auto actions = read();
    actions.emplace_back(WakeWriter{m_deadline});
    return actions;
}

std::vector<WriterAction> ConfigurationWriter::read()
{
    m_backingOff = false;
    return {ReadConfiguration{++m_call}};
}

std::vector<WriterAction> ConfigurationWriter::onRead(TimePoint now, std::uint64_t call,
                                                      const StorageReply &reply)
{
    if (m_finished || call != m_call || m_writeInFlight)
        return {};
    if (reply.status != StorageStatus::Success)
        return retry(now, storageError(reply.status));
    if (m_unresolvedWrite && reply.storedRevision < *m_unresolvedWrite)
        return retry(now, {ResultCode::PlatformBadReply,
                           "the read returned an older revision than the previous one"});
    const auto stored = parseStored(reply);
    if (!succeeded(stored))
        return m_unresolvedWrite ? retry(now, std::get<1>(stored))
                                 : finish(WriteDecision::Refused, {}, std::get<1>(stored));
    if (std::get<0>(stored).revision < m_minRevision)
        return retry(now, {ResultCode::ConfigurationUnavailable,
                           "the stored document is older than the confirmed revision "
                                   + std::to_string(m_minRevision.value)});
    return applyAndWrite(now, std::get<0>(stored), reply.storedRevision);
}

std::vector<WriterAction> ConfigurationWriter::applyAndWrite(TimePoint now,
                                                             const Configuration &stored,
                                                             std::uint64_t storedRevision)
{
    m_stored = std::make_shared<const Configuration>(stored);
    const auto next = capture([&] { return applyCommand(stored, m_command, m_context); });
    if (succeeded(next) && findOperation(stored, m_context.operation))
        return finish(WriteDecision::Accepted, findOperation(stored, m_context.operation)->revision,
                      {});
    // A compare-and-swap that expects an older store revision can no longer succeed.
    if (m_unresolvedWrite && storedRevision > *m_unresolvedWrite)
        m_unresolvedWrite.reset();
    if (!succeeded(next))
        return m_unresolvedWrite ? retry(now, std::get<1>(next))
                                 : finish(WriteDecision::Refused, {}, std::get<1>(next));
    m_next = std::make_shared<const Configuration>(std::get<0>(next));
    m_unresolvedWrite = storedRevision;
    m_writeInFlight = true;
    return {WriteConfiguration{++m_call, storedRevision, toJsonText(*m_next)}};
}

std::vector<WriterAction> ConfigurationWriter::onWrite(TimePoint now, std::uint64_t call,
                                                       const StorageReply &reply)
{
    if (m_finished || call != m_call || !m_writeInFlight)
        return {};
    m_writeInFlight = false;
    if (reply.status == StorageStatus::Success) {
        m_stored = m_next;
        return finish(WriteDecision::Accepted, m_next->revision, {});
    }
    // After a timeout the outcome of the write is unknown. A failed compare does not decide the
    // command either: the conflicting write may be an earlier one of this writer, which the next
    // read shows.
    if (reply.status == StorageStatus::CompareFailed)
        return read();
    return retry(now, storageError(reply.status));
}

std::vector<WriterAction> ConfigurationWriter::retry(TimePoint now, const Error &cause)
{
    m_lastError = cause;
    if (now >= m_deadline)
        return finishAtDeadline(cause);
    const auto jitter = Duration(static_cast<std::int64_t>(
            m_random.below(static_cast<std::uint64_t>(m_backoff.count()) + 1)));
    m_retryAt = std::min(m_deadline, now + m_backoff / 2 + jitter);
    m_backoff = std::min(m_backoff * 2, m_settings.maxBackoff);
    m_backingOff = true;
    return {WakeWriter{m_retryAt}};
}

std::vector<WriterAction> ConfigurationWriter::onTimer(TimePoint now)
{
    if (m_finished)
        return {};
    if (now >= m_deadline)
        return finishAtDeadline(m_lastError);
    return m_backingOff && now >= m_retryAt ? read() : std::vector<WriterAction>();
}

std::vector<WriterAction> ConfigurationWriter::finishAtDeadline(const Error &cause)
{
    const std::string detail =
            cause.code == ResultCode::Ok ? "no reply before the deadline" : toString(cause);
    if (m_unresolvedWrite)
        return finish(WriteDecision::Undecided, {}, {ResultCode::ConfigurationUndecided, detail});
    return finish(WriteDecision::Refused, {}, {ResultCode::ConfigurationUnavailable, detail});
}

std::vector<WriterAction> ConfigurationWriter::finish(WriteDecision decision, Revision revision,
                                                      Error error)
{
    m_finished = true;
    return {FinishWrite{{decision, revision, std::move(error), m_stored}}};
}

} // namespace godwit
