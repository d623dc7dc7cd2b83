#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace godwit {

/// Incremental parser of server-sent events (text/event-stream). Delivers the data of each event;
/// comments, ids and event names are ignored.
class SseParser
{
public:
    using Callback = std::function<void(std::string data)>;

    /// Parses \a bytes and calls \a onEvent for each event that they complete. Returns false if an
    /// event exceeds MaxEventSize; the parser must not be used after that.
    bool feed(std::string_view bytes, const Callback &onEvent);

    static constexpr std::size_t MaxEventSize = 1024UL * 1024; ///< In bytes.

private:
    void parseLine(std::string_view text, const Callback &onEvent);

    std::string m_partialLine; ///< Start of a line whose end has not arrived yet.
    std::string m_data;
    bool m_hasData = false;
};

} // namespace godwit
