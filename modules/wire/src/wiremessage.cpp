#include <godwit/wire/wiremessage.h>

#include <charconv>

namespace godwit {

void collectBody(const std::shared_ptr<WireStream> &stream, std::size_t limit,
                 std::function<void(Outcome<std::string>)> done)
{
    const auto body = std::make_shared<std::string>();
    const auto callback =
            std::make_shared<std::function<void(Outcome<std::string>)>>(std::move(done));
    StreamEvents events;
    events.onData = [body, callback, limit, weak = std::weak_ptr(stream)](std::string_view data) {
        if (body->size() + data.size() <= limit) {
            *body += data;
            return;
        }
        if (const auto openStream = weak.lock())
            openStream->cancel();
        (*callback)(Error{ResultCode::MessageTooLarge,
                          "message exceeds " + std::to_string(limit) + " bytes"});
    };
    events.onEnd = [body, callback](const WireFields &) { (*callback)(std::move(*body)); };
    events.onError = [callback](const Error &error) { (*callback)(error); };
    stream->setEvents(std::move(events));
}

void reply(WireStream &stream, int status, std::string_view body)
{
    stream.respond(status);
    stream.write(body);
    stream.finish();
}

ResultCode resultCodeOf(const WireHeaders &headers)
{
    constexpr int Success = 200;
    const std::string_view text = fieldValue(headers.fields, ResultCodeField);
    if (text.empty())
        return headers.status == Success ? ResultCode::Ok : ResultCode::MessageMalformed;
    int code = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), code);
    const bool isNumber = ec == std::errc() && end == text.data() + text.size();
    return isNumber && code > 0 ? static_cast<ResultCode>(code) : ResultCode::MessageMalformed;
}

} // namespace godwit
