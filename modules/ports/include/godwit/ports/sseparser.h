#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace godwit {

/// Incremental parser of a text/event-stream. Delivers the data of each event; comments, ids and
/// event names are ignored.
class SseParser
{
public:
    using Callback = std::function<void(std::string data)>;

    /// Adds \a bytes and calls \a onEvent for each event that they complete. Returns false if an
    /// event exceeds SizeLimit; the stream is then unusable.
    bool feed(std::string_view bytes, const Callback &onEvent);

    static constexpr std::size_t SizeLimit = 1024UL * 1024; ///< Bytes of one event.

private:
    void line(std::string_view text, const Callback &onEvent);

    std::string m_partial; ///< Line without its end.
    std::string m_data;
    bool m_hasData = false;
};

} // namespace godwit
