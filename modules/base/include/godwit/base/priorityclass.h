#pragma once

#include <godwit/base/json.h>

#include <array>
#include <string_view>
#include <utility>

namespace godwit {

/// Priority class of a request, highest first. The entry process schedules the classes by weight.
enum class PriorityClass { Interactive, Booking, Draft };

template <>
struct JsonNames<PriorityClass>
{
    static constexpr std::array<std::pair<PriorityClass, std::string_view>, 3> table{
            {{PriorityClass::Interactive, "interactive"},
             {PriorityClass::Booking, "booking"},
             {PriorityClass::Draft, "draft"}}};
};

} // namespace godwit
