#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace godwit {

/// Splits a text/event-stream into complete events, so that a stream that breaks off in the middle
/// of an event can resume after the last complete one. The bytes of an event are passed on
/// unchanged.
class EventSplitter
{
public:
    static constexpr std::size_t MaxEventBytes = 64UL * 1024;

    /// Appends \a bytes and returns the events that are complete. Drops events whose numeric id is
    /// not above that of an earlier event: a backend server that resumes a stream may repeat some.
    std::string feed(std::string_view bytes);

    /// Discards the incomplete event before another backend server resumes the stream.
    void discardPartialEvent() { m_buffer.clear(); }

    /// Whether the buffered bytes end in the middle of an event.
    bool hasPartialEvent() const { return !m_buffer.empty(); }

    /// Whether the incomplete event exceeds MaxEventBytes; the stream cannot be used any more.
    bool isEventTooLarge() const { return m_buffer.size() > MaxEventBytes; }

    /// Id of the last event returned by feed() that had one.
    const std::optional<std::string> &lastId() const { return m_lastId; }

private:
    bool isNew(std::string_view event);

    std::string m_buffer;
    std::optional<std::string> m_lastId;
    std::optional<unsigned long long> m_lastNumber;
};

} // namespace godwit
