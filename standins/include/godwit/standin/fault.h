#pragma once

#include <godwit/base/json.h>

#include <cstdint>
#include <string>

namespace godwit::standin {

/// Settings of one injected fault, as in scenario files and POST /_standin/faults.
struct Fault
{
    std::string name;
    bool on = true;
    double probability = 1;  ///< That the fault fires each time it is checked.
    std::int64_t times = -1; ///< Remaining number of times it fires; -1 for no limit.
    double value = 0;        ///< Depends on the fault, see FaultInfo::explanation.
    std::string path;        ///< Limits the fault to calls whose target contains this text.

    friend bool operator==(const Fault &, const Fault &) = default;
};

} // namespace godwit::standin

template <>
struct godwit::JsonFields<godwit::standin::Fault>
{
    using Fault = godwit::standin::Fault;
    static constexpr auto table = std::tuple{field("name", &Fault::name),
                                             field("on", &Fault::on),
                                             field("probability", &Fault::probability),
                                             field("times", &Fault::times),
                                             field("value", &Fault::value),
                                             field("path", &Fault::path)};
};
