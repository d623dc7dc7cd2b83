#include <godwit/ports/sseparser.h>

#include <utility>

namespace godwit {

bool SseParser::feed(std::string_view bytes, const Callback &onEvent)
{
    while (!bytes.empty()) {
        const auto end = bytes.find('\n');
        if (end == std::string_view::npos) {
            m_partialLine += bytes;
            break;
        }
        if (m_partialLine.empty()) {
            parseLine(bytes.substr(0, end), onEvent);
        } else {
            m_partialLine += bytes.substr(0, end);
            const std::string completeLine = std::exchange(m_partialLine, {});
            parseLine(completeLine, onEvent);
        }
        bytes.remove_prefix(end + 1);
    }
    return m_partialLine.size() + m_data.size() <= MaxEventSize;
}

void SseParser::parseLine(std::string_view text, const Callback &onEvent)
{
    if (text.ends_with('\r'))
        text.remove_suffix(1);
    if (text.empty()) {
        if (std::exchange(m_hasData, false))
            onEvent(std::exchange(m_data, {}));
        return;
    }
    if (!text.starts_with("data:"))
        return;
    text.remove_prefix(5);
    if (text.starts_with(' '))
        text.remove_prefix(1);
    if (m_hasData)
        m_data += '\n';
    m_data += text;
    m_hasData = true;
}

} // namespace godwit
