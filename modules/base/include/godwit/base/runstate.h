#pragma once

namespace godwit {

/// Whether a request was executed. NotRun means that it is proven not to have been executed, not
/// that it probably was not.
enum class RunState {
    NotRun,
    Ran,
    Unknown,
};

} // namespace godwit
