#pragma once

#include <godwit/base/error.h>
#include <godwit/base/json.h>

#include <string>

namespace godwit {

/// An error as sent to operators. The code may be unknown to the receiver.
struct ReportedError
{
    int code = 0; ///< Value of a ResultCode; 0 means no error.
    std::string name;
    std::string message;

    friend bool operator==(const ReportedError &, const ReportedError &) = default;
};

/// Converts \a error. Replaces characters of the message that are not printable ASCII by '?', so
/// that the reply is valid JSON and safe to print on a terminal.
ReportedError toReportedError(const Error &error);

/// Formats \a error as "CODE NAME: MESSAGE".
std::string toString(const ReportedError &error);

template <>
struct JsonFields<ReportedError>
{
    static constexpr auto table =
            std::tuple{field("code", &ReportedError::code), field("name", &ReportedError::name),
                       field("message", &ReportedError::message)};
};

} // namespace godwit
