#include <godwit/gateway/requestcontent.h>

#include <godwit/base/digest.h>

#include <initializer_list>
#include <string_view>

namespace godwit {

namespace {

/// Digits of a hash that are kept: enough that two contents practically never share a key.
constexpr std::size_t KeyDigits = 16;

constexpr std::string_view PartKind = "part-";
constexpr std::string_view RequestKind = "request-";

ContentKey makeKey(std::string_view kind, std::initializer_list<std::string_view> fields)
{
    std::string text;
    for (const std::string_view it : fields) {
        // The length keeps apart fields that would read alike when joined.
        text += std::to_string(it.size());
        text += ':';
        text += it;
    }
    return ContentKey(std::string(kind) + Digest::of(text).toHex().substr(0, KeyDigits));
}

} // namespace

bool isWholeRequest(const ContentKey &key)
{
    return key.value().starts_with(RequestKind);
}

RequestContent describeContent(const ClientRequest &request, const std::string &service,
                               const CustomerId &customer)
{
    RequestContent content;
    // The last part belongs to this request alone.
    for (std::size_t i = 0; i + 1 < request.promptParts.size(); ++i)
        content.sharedParts.push_back(makeKey(PartKind, {service, request.promptParts[i]}));
    content.whole = makeKey(RequestKind, {service, request.target, customer.value(), request.body});
    return content;
}

} // namespace godwit
