#pragma once

#include <godwit/base/result.h>
#include <godwit/ports/httpheaders.h>

#include <cstddef>
#include <functional>
#include <string_view>
#include <variant>

namespace godwit {

/// Callbacks of a streamed response, run on the thread of the client's io_context: onHeader at most
/// once, then onData any number of times, and finally onEnd exactly once. Before onHeader,
/// onOtherHeader any number of times.
struct HttpStreamHandlers
{
    /// Before the first byte of the request is written, also when it is written again on another
    /// connection. \a earlierCalls is the number of calls that the connection has carried before.
    std::function<void(std::size_t earlierCalls)> onSending;
    std::function<void(int status, const HttpHeaders &headers)> onHeader;
    /// Header of an interim (1xx) response, or of a late response to an earlier call on the same
    /// connection. Their bodies are discarded.
    std::function<void(int status, const HttpHeaders &headers)> onOtherHeader;
    std::function<void(std::string_view data)> onData; ///< \a data is valid only during the call.
    std::function<void(Outcome<std::monostate>)> onEnd;
};

} // namespace godwit
