#pragma once

#include <godwit/base/resultcode.h>

#include <string>

namespace godwit {

/// Error code with a message for operators. The message must not contain secrets or newlines.
struct Error
{
    ResultCode code = ResultCode::Ok;
    std::string detail;

    friend bool operator==(const Error &, const Error &) = default;
};

/// Formats \a error as "CODE NAME: DETAIL" for log lines and command output.
std::string toString(const Error &error);

} // namespace godwit
