#pragma once

#include <span>
#include <string_view>

namespace godwit {

/// Numeric code of the result of an operation, stable across releases. Ranges: 1xxx settings and
/// input formats, 2xxx platform, 3xxx connections, 4xxx weights, 5xxx requests and routing, 6xxx
/// configuration and language, 7xxx membership, leases and fencing.
enum class ResultCode : int {
#define GODWIT_RESULT_CODE(number, name, explanation) name = number,
#include <godwit/base/resultcodes.def>
#undef GODWIT_RESULT_CODE
};

/// Entry of the result code table.
struct ResultCodeInfo
{
    ResultCode code;
    std::string_view name;
    std::string_view explanation;
};

/// Returns all result codes in ascending order.
std::span<const ResultCodeInfo> resultCodes();

/// Returns the name of \a code, or "Unrecognized" for a number that this version does not define.
std::string_view resultCodeName(ResultCode code);

} // namespace godwit
