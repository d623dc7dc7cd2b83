#include <godwit/base/error.h>
#include <godwit/base/resultcode.h>

#include <algorithm>
#include <array>

namespace godwit {

namespace {

constexpr auto ResultCodeTable = std::to_array<ResultCodeInfo>({
#define GODWIT_RESULT_CODE(number, name, explanation) {ResultCode::name, #name, explanation},
#include <godwit/base/resultcodes.def>
#undef GODWIT_RESULT_CODE
});

} // namespace

std::span<const ResultCodeInfo> resultCodes()
{
    return ResultCodeTable;
}

std::string_view resultCodeName(ResultCode code)
{
    const auto it = std::ranges::find(ResultCodeTable, code, &ResultCodeInfo::code);
    return it == ResultCodeTable.end() ? std::string_view("Unrecognized") : it->name;
}

std::string toString(const Error &error)
{
    return std::to_string(static_cast<int>(error.code)) + ' '
           + std::string(resultCodeName(error.code)) + ": " + error.detail;
}

} // namespace godwit
