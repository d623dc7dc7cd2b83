#pragma once

#include <godwit/language/operatorreply.h>

namespace godwit {

/// Result of one operator request.
struct ClientResult
{
    OperatorReply reply;
    /// True if the reply refuses a resend, but an earlier attempt got no final reply and may still
    /// take effect.
    bool earlierAttemptUndecided = false;
};

} // namespace godwit
