#pragma once

#include <godwit/base/error.h>
#include <godwit/base/ids.h>
#include <godwit/control/configuration.h>

#include <memory>

namespace godwit {

/// Undecided means that the command may have taken effect or may still take effect. Sending it
/// again with the same operation id gives the outcome.
enum class WriteDecision { Accepted, Refused, Undecided };

/// Final outcome of one command.
struct WriteResult
{
    WriteDecision decision = WriteDecision::Undecided;
    Revision revision; ///< Revision that the command produced, if accepted.
    Error error;       ///< Reason, if not accepted.
    /// Newest document that was read or written, or null.
    std::shared_ptr<const Configuration> stored;
};

} // namespace godwit
