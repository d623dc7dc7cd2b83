#pragma once

#include <godwit/gateway/requestcontent.h>

#include <cstdint>
#include <limits>

namespace godwit {

/// How far a backend server got with a request, which shows when its content does not crash it.
enum class AnswerProgress {
    Begun,    ///< Content that crashes before the answer begins is ruled out.
    Complete, ///< Content that crashes at any time is ruled out.
};

/// Content that is harmless to backend servers with some weights.
struct HarmlessContent
{
    /// Stands for all versions of the weights.
    static constexpr std::uint64_t AnyVersion = std::numeric_limits<std::uint64_t>::max();

    ContentKey content;
    /// The newest weights that have answered it; 0 for backend servers without weights.
    std::uint64_t weightsVersion = 0;
    AnswerProgress progress = AnswerProgress::Begun;

    friend bool operator==(const HarmlessContent &, const HarmlessContent &) = default;
};

} // namespace godwit
