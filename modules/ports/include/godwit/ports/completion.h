#pragma once

#include <godwit/base/result.h>

#include <functional>
#include <variant>

namespace godwit {

/// Value of an asynchronous call that only succeeds or fails.
using Done = std::monostate;

/// Completion callback of an asynchronous call. Runs exactly once, on the thread of the io_context
/// that the adapter uses, and never inside the function that starts the call. An adapter may be
/// destroyed before its calls end. Destroying the HttpClient drops the callbacks of pending calls.
template <typename T>
using Completion = std::function<void(Outcome<T>)>;

} // namespace godwit
