#pragma once

#include <godwit/base/result.h>

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace godwit {

/// SHA-256 digest.
class Digest
{
public:
    static constexpr std::size_t Size = 32;

    Digest() = default;

    /// Computes the digest of \a bytes.
    static Digest of(std::string_view bytes);

    /// Parses 64 hexadecimal digits of either case. Fails with DigestMalformed.
    static Result<Digest> parse(std::string_view hex);

    /// Returns the digest as 64 lower-case hexadecimal digits.
    std::string toHex() const;

    /// Returns the first eight bytes as a big-endian integer, for use as a hash value.
    std::uint64_t prefix() const;

    friend auto operator<=>(const Digest &, const Digest &) = default;

private:
    std::array<std::uint8_t, Size> m_bytes{};
};

} // namespace godwit

template <>
struct std::hash<godwit::Digest>
{
    std::size_t operator()(const godwit::Digest &digest) const noexcept { return digest.prefix(); }
};
