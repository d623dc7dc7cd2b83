#pragma once

#include <godwit/base/error.h>
#include <godwit/wire/wireheaders.h>

#include <functional>
#include <string_view>

namespace godwit {

/// Callbacks of one stream, invoked on the thread of its connection. Any of them may be empty.
///
/// Client side: exactly one of onEnd and onError is called, as the last callback. Server side:
/// onEnd is called when the request is complete; onError may follow if the stream is reset or the
/// connection is lost before the response is complete.
struct StreamEvents
{
    std::function<void(const WireHeaders &)> onHeaders; ///< Client side: response headers.
    std::function<void(std::string_view)> onData;
    std::function<void(const WireFields &)> onEnd; ///< The peer ended its side; has its trailers.
    std::function<void(const Error &)> onError; ///< NotSent: the peer has not processed the stream.
    std::function<void()> onDrained;            ///< The send buffer has been emptied.
};

} // namespace godwit
