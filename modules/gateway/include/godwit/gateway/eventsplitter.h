#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace godwit {

/// Cuts a text/event-stream into complete events, so that a stream that breaks off within an event
/// can go on behind the last complete one. The bytes of an event are passed on unchanged.
class EventSplitter
{
public:
    static constexpr std::size_t MaxEventBytes = 1024UL * 1024; ///< Bytes.

    /// Adds \a bytes and returns the complete events. Events whose numeric id is not above that of
    /// an earlier one are left out: a backend server that goes on with a stream may repeat some.
    std::string feed(std::string_view bytes);

    /// Forgets the incomplete event, before another backend server goes on with the stream.
    void discardPartialEvent() { m_partial.clear(); }

    /// Whether the bytes end within an event.
    bool hasPartialEvent() const { return !m_partial.empty(); }

    /// An event grew beyond LargestEvent; the stream is unusable.
    bool isEventTooLarge() const { return m_partial.size() > MaxEventBytes; }

    /// Id of the last event that feed() returned, if it had one.
    const std::optional<std::string> &lastId() const { return m_lastId; }

private:
    bool isNew(std::string_view event);

    std::string m_partial;
    std::optional<std::string> m_lastId;
    std::optional<unsigned long long> m_lastNumber;
};

} // namespace godwit
