#include <godwit/control/configurationdelta.h>

namespace godwit {

boost::json::value mergePatch(const boost::json::value &from, const boost::json::value &to)
{
    if (!from.is_object() || !to.is_object())
        return to;
    boost::json::object patch;
    for (const auto &item : from.get_object()) {
        if (!to.get_object().contains(item.key()))
            patch[item.key()] = nullptr;
    }
    for (const auto &item : to.get_object()) {
        const auto *old = from.get_object().if_contains(item.key());
        if (!old)
            patch[item.key()] = item.value();
        else if (*old != item.value())
            patch[item.key()] = mergePatch(*old, item.value());
    }
    return patch;
}

void applyMergePatch(boost::json::value &target, const boost::json::value &patch)
{
    if (!patch.is_object()) {
        target = patch;
        return;
    }
    if (!target.is_object())
        target = boost::json::object();
    auto &object = target.get_object();
    for (const auto &item : patch.get_object()) {
        if (item.value().is_null())
            object.erase(item.key());
        else
            applyMergePatch(object[item.key()], item.value());
    }
}

Result<Configuration> applyDelta(Revision baseRevision, boost::json::value &base,
                                 const ConfigurationDelta &delta)
{
    if (delta.base != baseRevision || delta.revision <= delta.base)
        return fail(ResultCode::ConfigurationMalformed, "the delta is based on another revision");
    applyMergePatch(base, delta.patch);
    auto next = capture([&] { return fromJson<Configuration>(base); });
    if (!succeeded(next))
        return fail(ResultCode::ConfigurationMalformed, std::get<1>(next).detail);
    // The digest belongs to a stored document, which passed all checks of applyCommand().
    if (std::get<0>(next).revision != delta.revision
        || Digest::of(toJsonText(std::get<0>(next))).toHex() != delta.digest)
        return fail(ResultCode::ConfigurationMalformed,
                    "the result of the delta does not match its revision and digest");
    BOOST_LEAF_CHECK(validate(std::get<0>(next)));
    return std::get<0>(std::move(next));
}

} // namespace godwit
