#pragma once

#include <godwit/base/error.h>

#include <boost/leaf.hpp>

#include <utility>
#include <variant>

namespace godwit {

/// Result of a synchronous operation. A failed result carries exactly one Error.
template <typename T>
using Result = boost::leaf::result<T>;

/// Result of an asynchronous operation. Carries the error by value because the LEAF error handling
/// scope of the caller has ended when the operation completes.
template <typename T>
using Outcome = std::variant<T, Error>;

/// Creates a failed Result with \a code and \a detail.
inline boost::leaf::error_id fail(ResultCode code, std::string detail)
{
    return boost::leaf::new_error(Error{code, std::move(detail)});
}

/// Creates a failed Result from an existing error.
inline boost::leaf::error_id fail(Error error)
{
    return boost::leaf::new_error(std::move(error));
}

namespace detail {

template <typename T>
T resultValue(const Result<T> &);

} // namespace detail

/// Calls \a function and converts the Result<T> that it returns to an Outcome<T>. T must not be
/// void.
template <typename Function>
auto capture(Function &&function) -> Outcome<decltype(detail::resultValue(function()))>
{
    using T = decltype(detail::resultValue(function()));
    return boost::leaf::try_handle_all(
            [&]() -> Result<Outcome<T>> {
                auto result = function();
                if (!result)
                    return result.error();
                return Outcome<T>{std::in_place_index<0>, std::move(result.value())};
            },
            [](const Error &error) {
                return Outcome<T>{std::in_place_index<1>, error};
            },
            [] {
                return Outcome<T>{std::in_place_index<1>,
                                  Error{ResultCode::MessageMalformed,
                                        "operation failed without an error object"}};
            });
}

/// Returns true if \a outcome holds a value.
template <typename T>
bool succeeded(const Outcome<T> &outcome)
{
    return outcome.index() == 0;
}

} // namespace godwit
