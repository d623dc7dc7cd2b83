#include <godwit/gateway/eventsplitter.h>

#include <charconv>

namespace godwit {

namespace {

/// Position after the blank line that ends the first event of \a text, searched from \a from on;
/// npos if there is none.
std::size_t endOfEvent(std::string_view text, std::size_t from)
{
    for (std::size_t at = text.find('\n', from); at != std::string_view::npos;
         at = text.find('\n', at + 1)) {
        if (at + 1 < text.size() && text[at + 1] == '\n')
            return at + 2;
        if (at + 2 < text.size() && text[at + 1] == '\r' && text[at + 2] == '\n')
            return at + 3;
    }
    return std::string_view::npos;
}

/// Value of the "id" field of \a event, if present.
std::optional<std::string_view> eventId(std::string_view event)
{
    constexpr std::string_view Key = "id:";
    std::size_t start = 0;
    while (start < event.size()) {
        std::size_t end = event.find('\n', start);
        if (end == std::string_view::npos)
            end = event.size();
        std::string_view line = event.substr(start, end - start);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        if (line.starts_with(Key)) {
            line.remove_prefix(Key.size());
            if (line.starts_with(' '))
                line.remove_prefix(1);
            return line;
        }
        start = end + 1;
    }
    return std::nullopt;
}

std::optional<unsigned long long> parseNumber(std::string_view text)
{
    unsigned long long n = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    if (ec != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return n;
}

} // namespace

std::string EventSplitter::feed(std::string_view bytes)
{
    // The blank line may have started in the bytes of an earlier call.
    constexpr std::size_t LongestBlankLine = 3;
    std::size_t from = m_buffer.size() > LongestBlankLine ? m_buffer.size() - LongestBlankLine : 0;
    m_buffer += bytes;
    std::string complete;
    std::size_t start = 0;
    for (std::size_t end = endOfEvent(m_buffer, from); end != std::string::npos;
         end = endOfEvent(m_buffer, end)) {
        const auto event = std::string_view(m_buffer).substr(start, end - start);
        if (isNew(event))
            complete += event;
        start = end;
    }
    m_buffer.erase(0, start);
    return complete;
}

bool EventSplitter::isNew(std::string_view event)
{
    const auto id = eventId(event);
    if (!id)
        return true;
    const auto number = parseNumber(*id);
    if (number && m_lastNumber && *number <= *m_lastNumber)
        return false;
    m_lastId = std::string(*id);
    m_lastNumber = number;
    return true;
}

} // namespace godwit
