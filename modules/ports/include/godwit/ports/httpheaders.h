#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace godwit {

/// Header fields of an HTTP message in order of arrival. Names are case-insensitive.
class HttpHeaders
{
public:
    using Field = std::pair<std::string, std::string>;

    HttpHeaders() = default;
    HttpHeaders(std::initializer_list<Field> fields);

    /// Appends a field. Removes control characters, which prevents header injection by line breaks.
    void add(std::string_view name, std::string_view value);

    /// Returns the value of the first field called \a name, or nullptr.
    const std::string *find(std::string_view name) const;

    /// Like find(), but returns an empty string if there is no such field.
    std::string_view value(std::string_view name) const;

    auto begin() const { return m_fields.begin(); }
    auto end() const { return m_fields.end(); }
    bool empty() const { return m_fields.empty(); }

    friend bool operator==(const HttpHeaders &, const HttpHeaders &) = default;

private:
    std::vector<Field> m_fields;
};

} // namespace godwit
