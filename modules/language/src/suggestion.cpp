#include "suggestion.h"

#include <algorithm>
#include <numeric>

namespace godwit {

namespace {

constexpr std::size_t MaxSuggestedLength = 32; // longer than every keyword

char lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

} // namespace

std::size_t editDistance(std::string_view a, std::string_view b)
{
    std::vector<std::size_t> beforePrevious(b.size() + 1);
    std::vector<std::size_t> previous(b.size() + 1);
    std::iota(previous.begin(), previous.end(), 0);
    for (std::size_t i = 1; i <= a.size(); ++i) {
        std::vector<std::size_t> row(b.size() + 1, i);
        for (std::size_t j = 1; j <= b.size(); ++j) {
            const bool equal = lower(a[i - 1]) == lower(b[j - 1]);
            row[j] = std::min({previous[j] + 1, row[j - 1] + 1, previous[j - 1] + (equal ? 0 : 1)});
            if (i > 1 && j > 1 && lower(a[i - 1]) == lower(b[j - 2])
                && lower(a[i - 2]) == lower(b[j - 1]))
                row[j] = std::min(row[j], beforePrevious[j - 2] + 1);
        }
        beforePrevious = std::move(previous);
        previous = std::move(row);
    }
    return previous.back();
}

std::string suggest(std::string_view word, const std::vector<std::string> &allowed)
{
    if (word.empty() || word.size() > MaxSuggestedLength)
        return {};
    std::string best;
    std::size_t bestDistance = MaxSuggestedLength;
    for (const std::string &candidate : allowed) {
        const std::size_t distance = editDistance(word, candidate);
        const std::size_t limit = std::max(word.size(), candidate.size()) / 3;
        if (distance <= limit && distance < bestDistance) {
            best = candidate;
            bestDistance = distance;
        }
    }
    return best;
}

} // namespace godwit
