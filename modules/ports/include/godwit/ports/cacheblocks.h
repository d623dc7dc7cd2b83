#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace godwit {

/// Returns the text whose prefix an engine caches: the prompt of a completions request, or the role
/// and content of each message of a chat completions request. Empty if \a body is neither.
std::string promptText(std::string_view body);

/// Returns one hash of 16 hexadecimal digits for each full block of \a prompt. Hash i covers the
/// prompt up to (i + 1) * \a blockCharacters bytes, so equal hashes mean equal prefixes.
std::vector<std::string> cacheBlocks(std::string_view prompt, std::size_t blockCharacters);

} // namespace godwit
