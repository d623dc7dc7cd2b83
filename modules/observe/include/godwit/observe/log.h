#pragma once

#include <boost/json/object.hpp>

#include <ostream>
#include <string>
#include <string_view>

namespace godwit {

enum class LogLevel {
    Info,
    Warning,
    Error,
};

/// Configures easylogging++ to write one JSON object per line to standard error, or to \a out. Each
/// line has the fields `time` (UTC), `level` and `event`. Messages logged with the easylogging++
/// macros have the event `message`. Must be called once at program start; \a out must outlive all
/// logging.
void setUpLogging();
void setUpLogging(std::ostream &out);

/// Logs a change of state. Not for events that occur per request: use a metric instead. Thread
/// safe.
///
///     logStateChange("backend_leaving", {{"backend", id.value()}, {"source", "host list"}});
void logStateChange(std::string_view event, const boost::json::object &fields,
                    LogLevel level = LogLevel::Info);

/// Serializes \a value to JSON text. Escapes control characters and replaces bytes that are not
/// valid UTF-8 by U+FFFD, so that untrusted values can neither forge log lines nor send control
/// sequences to a terminal.
std::string toLogText(const boost::json::value &value);

} // namespace godwit
