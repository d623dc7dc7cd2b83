#pragma once

#include <godwit/base/json.h>
#include <godwit/base/priorityclass.h>

#include <array>

namespace godwit {

/// Share of a customer in a deployment.
struct CustomerShare
{
    double weight = 1; ///< Weight in weighted fair queueing, above 0 and at most 1000.
    PriorityClass priorityClass = PriorityClass::Interactive;

    friend bool operator==(const CustomerShare &, const CustomerShare &) = default;
};

template <>
struct JsonFields<CustomerShare>
{
    static constexpr auto table = std::tuple{field("weight", &CustomerShare::weight),
                                             field("class", &CustomerShare::priorityClass)};
};

} // namespace godwit
