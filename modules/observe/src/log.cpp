#include <godwit/observe/log.h>

#include <boost/json.hpp>
#include <easylogging++.h>

#include <array>
#include <atomic>
#include <chrono>
#include <ctime>
#include <iostream>

namespace godwit {

namespace {

namespace json = boost::json;

/// Logger whose messages are already formatted as members of a JSON object.
constexpr const char *EventLogger = "event";

std::atomic<std::ostream *> output{nullptr};

std::string_view levelName(el::Level level)
{
    switch (level) {
    case el::Level::Warning:
        return "warning";
    case el::Level::Error:
        return "error";
    case el::Level::Fatal:
        return "fatal";
    case el::Level::Debug:
    case el::Level::Trace:
    case el::Level::Verbose:
        return "debug";
    default:
        return "info";
    }
}

std::string utcNow()
{
    const auto now = std::chrono::system_clock::now();
    const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
    const auto millis =
            std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count()
            % 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> date{};
    const std::size_t n = std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    const std::string fraction = std::to_string(1000 + millis).substr(1);
    return std::string(date.data(), n) + '.' + fraction + 'Z';
}

class JsonLogDispatcher : public el::LogDispatchCallback
{
protected:
    void handle(const el::LogDispatchData *data) override
    {
        std::ostream *out = output.load();
        if (!out)
            return;
        const el::LogMessage &message = *data->logMessage();
        std::string members = message.message();
        if (message.logger()->id() != EventLogger) {
            const std::string text = toLogText(json::string(members));
            members = R"("event":"message","message":)" + text;
        }
        std::string line = R"({"time":")" + utcNow() + R"(","level":")";
        line += levelName(message.level());
        line += "\"," + members + "}\n";
        // easylogging++ holds its global lock here, so that lines of different threads do not
        // interleave.
        *out << line << std::flush;
    }
};

/// Returns the length of the UTF-8 sequence at the start of \a text, or 0 if it is malformed.
std::size_t utf8SequenceLength(std::string_view text)
{
    const auto byte = [&](std::size_t i) { return static_cast<unsigned char>(text[i]); };
    const unsigned first = byte(0);
    const std::size_t n = first < 0x80   ? 1
                          : first < 0xC2 ? 0
                          : first < 0xE0 ? 2
                          : first < 0xF0 ? 3
                          : first < 0xF5 ? 4
                                         : 0;
    if (n == 0 || n > text.size())
        return 0;
    for (std::size_t i = 1; i < n; ++i) {
        if ((byte(i) & 0xC0) != 0x80)
            return 0;
    }
    const unsigned second = n > 1 ? byte(1) : 0;
    const bool overlong = (first == 0xE0 && second < 0xA0) || (first == 0xF0 && second < 0x90);
    const bool surrogate = first == 0xED && second > 0x9F;
    const bool tooLarge = first == 0xF4 && second > 0x8F;
    return overlong || surrogate || tooLarge ? 0 : n;
}

/// Returns the JSON escape of sequences that Boost.JSON does not escape: DEL, the C1 control
/// characters and the Unicode line and paragraph separators. Empty for all others.
std::string_view escapeSequence(std::string_view sequence, std::string &buf)
{
    if (sequence == "\x7F")
        return "\\u007f";
    if (sequence == "\xE2\x80\xA8")
        return "\\u2028";
    if (sequence == "\xE2\x80\xA9")
        return "\\u2029";
    const auto second = sequence.size() == 2 ? static_cast<unsigned char>(sequence[1]) : 0;
    if (sequence.front() != '\xC2' || second > 0x9F)
        return {};
    constexpr std::string_view digits = "0123456789abcdef";
    buf = "\\u00";
    buf += digits[second >> 4];
    buf += digits[second & 15];
    return buf;
}

} // namespace

std::string toLogText(const json::value &value)
{
    const std::string text = json::serialize(value);
    std::string out;
    std::string buf;
    for (std::size_t i = 0; i < text.size();) {
        const std::size_t n = utf8SequenceLength(std::string_view(text).substr(i));
        if (n == 0) {
            out += "\\ufffd";
            ++i;
            continue;
        }
        const std::string_view sequence = std::string_view(text).substr(i, n);
        const std::string_view escaped = escapeSequence(sequence, buf);
        out += escaped.empty() ? sequence : escaped;
        i += n;
    }
    return out;
}

void setUpLogging()
{
    setUpLogging(std::cerr);
}

void setUpLogging(std::ostream &out)
{
    output = &out;
    el::Loggers::getLogger(EventLogger);
    el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>(
            "DefaultLogDispatchCallback");
    el::Helpers::installLogDispatchCallback<JsonLogDispatcher>("JsonLogDispatcher");
}

void logStateChange(std::string_view event, const json::object &fields, LogLevel level)
{
    std::string members = R"("event":)" + toLogText(json::string(event.data(), event.size()));
    for (const auto &field : fields) {
        const std::string_view name(field.key().data(), field.key().size());
        if (name == "time" || name == "level" || name == "event")
            continue;
        members += ',' + toLogText(json::string(name.data(), name.size())) + ':'
                   + toLogText(field.value());
    }
    switch (level) {
    case LogLevel::Info:
        CLOG(INFO, EventLogger) << members;
        break;
    case LogLevel::Warning:
        CLOG(WARNING, EventLogger) << members;
        break;
    case LogLevel::Error:
        CLOG(ERROR, EventLogger) << members;
        break;
    }
}

} // namespace godwit
