#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace godwit {

/// Encodes \a bytes as standard base64 with padding.
std::string base64Encode(std::string_view bytes);

/// Decodes standard base64 with padding. Returns std::nullopt if \a text is malformed.
std::optional<std::string> base64Decode(std::string_view text);

} // namespace godwit
