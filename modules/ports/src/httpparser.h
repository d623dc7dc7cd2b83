#pragma once

#include <godwit/ports/httpheaders.h>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <functional>
#include <string>
#include <string_view>

namespace godwit {

/// Incremental parser of one HTTP message. Collects the start line and the headers, and delivers
/// the body in parts. Trailers are ignored. Fails if the body has an encoding other than chunked.
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
    void on_response_impl(int code, View, int, Code &) override { status = code; }
    void on_field_impl(boost::beast::http::field field, View name, View value, Code &ec) override
    {
        if (m_isHeaderComplete)
            return;
        // The base class reads a body of an unknown encoding as if it had none: the end of the body
        // would not be found.
        if (field == boost::beast::http::field::transfer_encoding
            && !boost::beast::iequals(value, "chunked"))
            ec = boost::beast::http::error::bad_transfer_encoding;
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
