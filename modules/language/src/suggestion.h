#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace godwit {

/// Case-insensitive Damerau-Levenshtein distance (optimal string alignment): a transposition of two
/// adjacent characters counts as one edit.
std::size_t editDistance(std::string_view a, std::string_view b);

/// The word in \a allowed with the smallest edit distance to \a word. Empty if no distance is
/// within a third of the length of the longer word.
std::string suggest(std::string_view word, const std::vector<std::string> &allowed);

} // namespace godwit
