#pragma once

#include <godwit/base/json.h>
#include <godwit/base/resultcode.h>
#include <godwit/wire/wirestream.h>

#include <functional>
#include <memory>
#include <string>

namespace godwit {

/// Buffers the body of \a stream and calls \a done with it. If the body exceeds \a limit bytes,
/// resets the stream and fails with MessageTooLarge.
void collectBody(const std::shared_ptr<WireStream> &stream, std::size_t limit,
                 std::function<void(Outcome<std::string>)> done);

/// Sends a complete response.
void reply(WireStream &stream, int status, std::string_view body);

/// Field of a response with the result code, if it is not Ok.
constexpr std::string_view ResultCodeField = "x-godwit-code";

/// Result code of a response: that of ResultCodeField, Ok if the field is absent and the status is
/// 200. Any other response is MessageMalformed.
ResultCode resultCodeOf(const WireHeaders &headers);

/// Decodes the body of \a stream as a JSON message of type T and replies with the return value of
/// \a handler. Replies with status 400 and the error text if the body cannot be decoded.
template <typename T, typename Handler>
void handleJsonMessage(const std::shared_ptr<WireStream> &stream, std::size_t limit,
                       Handler handler)
{
    collectBody(stream, limit, [stream, handler](Outcome<std::string> body) {
        if (!succeeded(body))
            return;
        auto message = capture([&] { return parseJson<T>(std::get<0>(body)); });
        if (!succeeded(message)) {
            reply(*stream, 400, toString(std::get<1>(message)));
            return;
        }
        reply(*stream, 200, handler(std::move(std::get<0>(message))));
    });
}

} // namespace godwit
