#include <godwit/ports/calleffect.h>
#include <godwit/ports/httpendpoint.h>
#include <godwit/ports/httprequest.h>
#include <godwit/ports/httpresponse.h>

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace godwit {

namespace {

int hexValue(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    if (c >= 'a' && c <= 'f')
        return c - 'a' + 10;
    if (c >= 'A' && c <= 'F')
        return c - 'A' + 10;
    return -1;
}

bool isUnreserved(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-'
           || c == '.' || c == '_' || c == '~';
}

struct ReasonPhrase
{
    int status;
    std::string_view text;
};

constexpr ReasonPhrase ReasonPhrases[] = {
        {100, "Continue"},
        {200, "OK"},
        {201, "Created"},
        {202, "Accepted"},
        {204, "No Content"},
        {206, "Partial Content"},
        {400, "Bad Request"},
        {401, "Unauthorized"},
        {403, "Forbidden"},
        {404, "Not Found"},
        {405, "Method Not Allowed"},
        {408, "Request Timeout"},
        {409, "Conflict"},
        {412, "Precondition Failed"},
        {413, "Content Too Large"},
        {416, "Range Not Satisfiable"},
        {422, "Unprocessable Content"},
        {429, "Too Many Requests"},
        {431, "Request Header Fields Too Large"},
        {500, "Internal Server Error"},
        {502, "Bad Gateway"},
        {503, "Service Unavailable"},
        {504, "Gateway Timeout"},
};

} // namespace

bool mayHaveTakenEffect(ResultCode code)
{
    switch (code) {
    case ResultCode::PlatformUnreachable:
    case ResultCode::PlatformRefused:
    case ResultCode::PlatformRejected:
    case ResultCode::CompareFailed:
    case ResultCode::NotFound:
    case ResultCode::LeaseExpired:
    case ResultCode::WatchCompacted:
    case ResultCode::OrderStale:
    case ResultCode::EngineBusy:
    case ResultCode::WeightsRefused:
        return false;
    default:
        return true;
    }
}

Result<HttpEndpoint> parseHttpEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return fail(ResultCode::AddressInvalid, std::string(text) + ": port is missing");
    std::string_view host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    boost::system::error_code ec;
    const auto address = boost::asio::ip::make_address(std::string(host), ec);
    if (ec)
        return fail(ResultCode::AddressInvalid, std::string(text) + ": not an IP address");
    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error != std::errc() || end != digits.data() + digits.size())
        return fail(ResultCode::AddressInvalid, std::string(text) + ": not a port number");
    return HttpEndpoint{address.to_string(), port};
}

std::string toString(const HttpEndpoint &endpoint)
{
    const bool isIpv6 = endpoint.address.find(':') != std::string::npos;
    return (isIpv6 ? '[' + endpoint.address + ']' : endpoint.address) + ':'
           + std::to_string(endpoint.port);
}

std::string percentDecode(std::string_view text, bool plusIsSpace)
{
    std::string out;
    out.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        const int high = i + 2 < text.size() ? hexValue(text[i + 1]) : -1;
        const int low = high >= 0 ? hexValue(text[i + 2]) : -1;
        if (text[i] == '%' && low >= 0) {
            out += static_cast<char>(high * 16 + low);
            i += 2;
        } else {
            out += plusIsSpace && text[i] == '+' ? ' ' : text[i];
        }
    }
    return out;
}

std::string percentEncode(std::string_view text)
{
    constexpr std::string_view Digits = "0123456789ABCDEF";
    std::string out;
    for (const char c : text) {
        if (isUnreserved(c)) {
            out += c;
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        out += '%';
        out += Digits[byte >> 4];
        out += Digits[byte & 15];
    }
    return out;
}

std::string_view HttpRequest::path() const
{
    return std::string_view(target).substr(0, target.find('?'));
}

std::optional<std::string> HttpRequest::query(std::string_view name) const
{
    const auto mark = target.find('?');
    if (mark == std::string::npos)
        return std::nullopt;
    std::string_view rest = std::string_view(target).substr(mark + 1);
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const std::string_view pair = rest.substr(0, end);
        const auto equals = pair.find('=');
        if (percentDecode(pair.substr(0, equals), true) == name)
            return equals == std::string_view::npos ? std::string()
                                                    : percentDecode(pair.substr(equals + 1), true);
        rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
    }
    return std::nullopt;
}

HttpResponse HttpResponse::json(int status, std::string body)
{
    return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

std::string_view httpReason(int status)
{
    for (const ReasonPhrase &reason : ReasonPhrases) {
        if (reason.status == status)
            return reason.text;
    }
    return "Status";
}

} // namespace godwit
