#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace godwit {

/// Strongly typed string identifier. Identifiers with different tags do not compare or convert.
template <typename Tag>
class StrongId
{
public:
    StrongId() = default;
    explicit StrongId(std::string value)
        : m_value(std::move(value))
    {}

    const std::string &value() const { return m_value; }
    bool empty() const { return m_value.empty(); }

    friend auto operator<=>(const StrongId &, const StrongId &) = default;
    friend std::ostream &operator<<(std::ostream &out, const StrongId &id)
    {
        return out << id.m_value;
    }

private:
    std::string m_value;
};

/// Strongly typed number. Numbers with different tags do not compare or convert.
template <typename Tag>
struct StrongNumber
{
    std::uint64_t value = 0;

    friend auto operator<=>(const StrongNumber &, const StrongNumber &) = default;
    friend std::ostream &operator<<(std::ostream &out, const StrongNumber &number)
    {
        return out << number.value;
    }
};

} // namespace godwit

template <typename Tag>
struct std::hash<godwit::StrongId<Tag>>
{
    std::size_t operator()(const godwit::StrongId<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.value());
    }
};

template <typename Tag>
struct std::hash<godwit::StrongNumber<Tag>>
{
    std::size_t operator()(const godwit::StrongNumber<Tag> &number) const noexcept
    {
        return std::hash<std::uint64_t>()(number.value);
    }
};
