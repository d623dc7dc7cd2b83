#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace godwit {

/// The text whose prefix an engine caches: the prompt, or role and content of each message. Empty
/// if \a body is not a request of the completions or chat completions API.
std::string promptText(std::string_view body);

/// Hashes of the full blocks of \a prompt: block i covers the prompt up to (i + 1) *
/// \a blockCharacters bytes, so that equal hashes mean equal prefixes. 16 hexadecimal digits each.
std::vector<std::string> cacheBlocks(std::string_view prompt, std::size_t blockCharacters);

} // namespace godwit
