#include <godwit/base/digest.h>
#include <godwit/ports/cacheblocks.h>

#include <boost/json.hpp>

namespace godwit {

namespace {

constexpr std::size_t HashDigits = 16;

std::string stringMember(const boost::json::object &object, boost::json::string_view name)
{
    const auto *value = object.if_contains(name);
    const auto *text = value ? value->if_string() : nullptr;
    return text ? std::string(*text) : std::string();
}

} // namespace

std::string promptText(std::string_view body)
{
    boost::json::error_code ec;
    const auto json = boost::json::parse(boost::json::string_view(body.data(), body.size()), ec);
    if (ec || !json.is_object())
        return {};
    const auto *messages = json.get_object().if_contains("messages");
    if (!messages || !messages->is_array())
        return stringMember(json.get_object(), "prompt");
    std::string text;
    for (const auto &message : messages->get_array()) {
        if (message.is_object())
            text += stringMember(message.get_object(), "role") + '\n'
                    + stringMember(message.get_object(), "content") + '\n';
    }
    return text;
}

std::vector<std::string> cacheBlocks(std::string_view prompt, std::size_t blockCharacters)
{
    std::vector<std::string> blocks;
    if (blockCharacters == 0)
        return blocks;
    // Each hash covers the previous hash and one block, so the cost is linear in the prompt length.
    std::string previous;
    for (std::size_t end = blockCharacters; end <= prompt.size(); end += blockCharacters) {
        previous += prompt.substr(end - blockCharacters, blockCharacters);
        previous = Digest::of(previous).toHex().substr(0, HashDigits);
        blocks.push_back(previous);
    }
    return blocks;
}

} // namespace godwit
