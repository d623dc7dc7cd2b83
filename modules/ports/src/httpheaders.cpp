#include <godwit/ports/httpheaders.h>

#include <algorithm>

namespace godwit {

namespace {

char toLower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool equalIgnoringCase(std::string_view a, std::string_view b)
{
    return std::ranges::equal(a, b, {}, toLower, toLower);
}

std::string removeControlCharacters(std::string_view text)
{
    std::string result;
    result.reserve(text.size());
    std::ranges::copy_if(text, std::back_inserter(result),
                         [](char c) { return static_cast<unsigned char>(c) >= ' ' && c != 0x7F; });
    return result;
}

} // namespace

HttpHeaders::HttpHeaders(std::initializer_list<Field> fields)
{
    for (const auto &[name, value] : fields)
        add(name, value);
}

void HttpHeaders::add(std::string_view name, std::string_view value)
{
    m_fields.emplace_back(removeControlCharacters(name), removeControlCharacters(value));
}

const std::string *HttpHeaders::find(std::string_view name) const
{
    const auto it = std::ranges::find_if(
            m_fields, [&](const Field &field) { return equalIgnoringCase(field.first, name); });
    return it == m_fields.end() ? nullptr : &it->second;
}

std::string_view HttpHeaders::value(std::string_view name) const
{
    const std::string *text = find(name);
    return text ? std::string_view(*text) : std::string_view();
}

} // namespace godwit
