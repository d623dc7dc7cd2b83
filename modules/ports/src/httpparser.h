#pragma once

#include <godwit/ports/httpheaders.h>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <functional>
#include <string>
#include <string_view>

namespace godwit {

/// Whether \a status is one of HTTP. A response with another one is broken.
constexpr bool isHttpStatus(int status)
{
    return status >= 100 && status <= 599;
}

/// Whether \a text contains the beginning of a status line, such as "HTTP/1.1 200".
inline bool containsStatusLine(std::string_view text)
{
    constexpr std::string_view Version = "HTTP/1.";
    const auto isDigit = [](char c) { return c >= '0' && c <= '9'; };
    for (auto at = text.find(Version); at != std::string_view::npos;
         at = text.find(Version, at + 1)) {
        // The minor version, a space and the status.
        const std::string_view rest = text.substr(at + Version.size(), 5);
        if (rest.size() == 5 && rest[1] == ' ' && isDigit(rest[0])
            && std::ranges::all_of(rest.substr(2), isDigit))
            return true;
    }
    return false;
}

/// Incremental parser of one HTTP message. Collects the start line and the headers, and delivers
/// the body in parts. Trailers are ignored. Fails if the body has an encoding other than chunked.
/// Fails if the head of a response contains a second status line: it has run together with a
/// response of which only a part was sent, and its headers may be those of either one. Fails if the
/// status of a response is not three digits from 100 to 599.
template <bool IsRequest>
class HttpParser : public boost::beast::http::basic_parser<IsRequest>
{
public:
    std::string method;
    std::string target;
    int status = 0;
    HttpHeaders headers;
    std::function<void()> onHeader;
    std::function<void(std::string_view)> onBody;

private:
    using Code = boost::beast::error_code;
    using View = boost::beast::string_view;
    using Length = boost::optional<std::uint64_t>;

    static std::string_view view(View text) { return {text.data(), text.size()}; }

    void on_request_impl(boost::beast::http::verb, View methodText, View targetText, int,
                         Code &) override
    {
        method = std::string(view(methodText));
        target = std::string(view(targetText));
    }
    void on_response_impl(int code, View reason, int, Code &ec) override
    {
        status = code;
        if (!isHttpStatus(code))
            ec = boost::beast::http::error::bad_status;
        else if (containsStatusLine(view(reason)))
            ec = boost::beast::http::error::bad_reason;
    }
    void on_field_impl(boost::beast::http::field field, View name, View value, Code &ec) override
    {
        if (m_isHeaderComplete)
            return;
        // The base class reads a body of an unknown encoding as if it had none: the end of the body
        // would not be found.
        if (field == boost::beast::http::field::transfer_encoding
            && !boost::beast::iequals(value, "chunked"))
            ec = boost::beast::http::error::bad_transfer_encoding;
        if (!IsRequest && containsStatusLine(view(value)))
            ec = boost::beast::http::error::bad_value;
        headers.add(view(name), view(value));
    }
    void on_header_impl(Code &) override
    {
        m_isHeaderComplete = true;
        if (onHeader)
            onHeader();
    }
    void on_body_init_impl(const Length &, Code &) override {}
    std::size_t on_body_impl(View data, Code &) override { return deliverBody(data); }
    void on_chunk_header_impl(std::uint64_t, View, Code &) override {}
    std::size_t on_chunk_body_impl(std::uint64_t, View data, Code &) override
    {
        return deliverBody(data);
    }
    void on_finish_impl(Code &) override {}

    std::size_t deliverBody(View data)
    {
        if (onBody && !data.empty())
            onBody(view(data));
        return data.size();
    }

    bool m_isHeaderComplete = false; ///< Further fields are trailers.
};

} // namespace godwit
