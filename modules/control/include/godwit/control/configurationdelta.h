#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/json.h>
#include <godwit/base/result.h>
#include <godwit/control/configuration.h>

#include <string>

namespace godwit {

template <>
struct JsonCodec<boost::json::value>
{
    static boost::json::value encode(const boost::json::value &value) { return value; }
    static Result<boost::json::value> decode(const boost::json::value &json, const std::string &)
    {
        return json;
    }
};

/// Difference between two revisions of the document as a JSON merge patch (RFC 7396). The digest of
/// the resulting document ensures that a patch is never applied to another base.
struct ConfigurationDelta
{
    Revision base;
    Revision revision;
    std::string digest; ///< Digest of the JSON text of the result, 64 hexadecimal digits.
    boost::json::value patch;

    friend bool operator==(const ConfigurationDelta &, const ConfigurationDelta &) = default;
};

/// Returns the merge patch that turns \a from into \a to. Neither may contain null, which means
/// removal in a merge patch.
boost::json::value mergePatch(const boost::json::value &from, const boost::json::value &to);

void applyMergePatch(boost::json::value &target, const boost::json::value &patch);

/// Applies \a delta to \a base, which has revision \a baseRevision, and returns the resulting
/// document; \a base becomes its JSON value. Fails with ConfigurationMalformed if the base revision
/// or the digest of the result does not match; the contents of \a base are then undefined.
Result<Configuration> applyDelta(Revision baseRevision, boost::json::value &base,
                                 const ConfigurationDelta &delta);

template <>
struct JsonFields<ConfigurationDelta>
{
    static constexpr auto table = std::tuple{field("base", &ConfigurationDelta::base),
                                             field("revision", &ConfigurationDelta::revision),
                                             field("digest", &ConfigurationDelta::digest),
                                             field("patch", &ConfigurationDelta::patch)};
};

} // namespace godwit
