#pragma once

#include <godwit/base/result.h>

#include <functional>
#include <variant>

namespace godwit {

/// Result type of an asynchronous call that returns no value on success.
using Done = std::monostate;

/// Completion callback of an asynchronous call. Runs exactly once, on the thread of the io_context
/// that the adapter uses, and never inside the function that starts the call. An adapter may be
/// destroyed before its calls end. Destroying the HttpClient destroys the callbacks of pending
/// calls without running them.
template <typename T>
using Completion = std::function<void(Outcome<T>)>;

} // namespace godwit
