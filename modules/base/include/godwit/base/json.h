#pragma once

#include <godwit/base/digest.h>
#include <godwit/base/result.h>
#include <godwit/base/strongid.h>
#include <godwit/base/time.h>

#include <boost/json.hpp>

#include <concepts>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <type_traits>
#include <utility>
#include <vector>

/// JSON codec for aggregates, driven by tables of member pointers.
///
/// To make a type serializable, specialise JsonFields:
///
///     template <> struct godwit::JsonFields<Link> {
///         static constexpr auto table = std::tuple{field("zone", &Link::zone),
///                                                  field("rate", &Link::bitsPerSecond)};
///     };
///
/// For an enumeration, specialise JsonNames with pairs of value and text. Decoding ignores unknown
/// fields and leaves missing fields at their default, so that processes of different versions are
/// compatible. Durations are encoded in microseconds.
namespace godwit {

template <typename Owner, typename Member>
struct JsonField
{
    const char *name;
    Member Owner::*member;
};

template <typename Owner, typename Member>
constexpr JsonField<Owner, Member> field(const char *name, Member Owner::*member)
{
    return {name, member};
}

/// Field table of T. Specialise with `static constexpr auto table`, a tuple of JsonField.
template <typename T>
struct JsonFields;

/// Names of the values of enumeration T. Specialise with `static constexpr auto table`, an array of
/// std::pair<T, std::string_view>.
template <typename T>
struct JsonNames;

namespace detail {

template <typename T>
concept HasJsonFields = requires
{
    JsonFields<T>::table;
};

template <typename T>
concept HasJsonNames = requires
{
    JsonNames<T>::table;
};

inline boost::leaf::error_id wrongType(const std::string &path, std::string_view expected)
{
    return fail(ResultCode::JsonFieldInvalid, (path.empty() ? std::string("value") : path)
                                                      + ": expected " + std::string(expected));
}

} // namespace detail

template <typename T>
struct JsonCodec;

template <typename T>
boost::json::value toJson(const T &value)
{
    return JsonCodec<T>::encode(value);
}

/// Converts \a json to T. Fails with JsonFieldInvalid and the path of the invalid field.
template <typename T>
Result<T> fromJson(const boost::json::value &json, const std::string &path = {})
{
    return JsonCodec<T>::decode(json, path);
}

/// Parses \a text and converts it. Fails with JsonMalformed or JsonFieldInvalid.
template <typename T>
Result<T> parseJson(std::string_view text)
{
    boost::json::error_code ec;
    const auto json = boost::json::parse(boost::json::string_view(text.data(), text.size()), ec);
    if (ec)
        return fail(ResultCode::JsonMalformed, ec.message());
    return fromJson<T>(json);
}

/// Serializes \a value to JSON text.
template <typename T>
std::string toJsonText(const T &value)
{
    return boost::json::serialize(toJson(value));
}

template <>
struct JsonCodec<bool>
{
    static boost::json::value encode(bool value) { return value; }
    static Result<bool> decode(const boost::json::value &json, const std::string &path)
    {
        if (!json.is_bool())
            return detail::wrongType(path, "true or false");
        return json.get_bool();
    }
};

template <>
struct JsonCodec<std::string>
{
    static boost::json::value encode(const std::string &value)
    {
        return boost::json::string(value);
    }
    static Result<std::string> decode(const boost::json::value &json, const std::string &path)
    {
        if (!json.is_string())
            return detail::wrongType(path, "a string");
        return std::string(json.get_string());
    }
};

template <std::integral T>
struct JsonCodec<T>
{
    static boost::json::value encode(T value) { return value; }
    static Result<T> decode(const boost::json::value &json, const std::string &path)
    {
        boost::json::error_code ec;
        const T value = json.to_number<T>(ec);
        if (ec)
            return detail::wrongType(path, "an integer in range");
        return value;
    }
};

template <std::floating_point T>
struct JsonCodec<T>
{
    static boost::json::value encode(T value) { return value; }
    static Result<T> decode(const boost::json::value &json, const std::string &path)
    {
        if (!json.is_number())
            return detail::wrongType(path, "a number");
        return json.to_number<T>();
    }
};

template <typename T>
requires detail::HasJsonNames<T>
struct JsonCodec<T>
{
    static boost::json::value encode(T value)
    {
        for (const auto &[candidate, name] : JsonNames<T>::table) {
            if (candidate == value)
                return boost::json::string(name.data(), name.size());
        }
        return nullptr;
    }
    static Result<T> decode(const boost::json::value &json, const std::string &path)
    {
        std::string allowed = "one of";
        for (const auto &[candidate, name] : JsonNames<T>::table) {
            if (json.is_string() && std::string_view(json.get_string()) == name)
                return candidate;
            allowed += ' ';
            allowed += name;
        }
        return detail::wrongType(path, allowed);
    }
};

template <typename Tag>
struct JsonCodec<StrongId<Tag>>
{
    static boost::json::value encode(const StrongId<Tag> &id) { return toJson(id.value()); }
    static Result<StrongId<Tag>> decode(const boost::json::value &json, const std::string &path)
    {
        BOOST_LEAF_AUTO(text, fromJson<std::string>(json, path));
        return StrongId<Tag>(std::move(text));
    }
};

template <typename Tag>
struct JsonCodec<StrongNumber<Tag>>
{
    static boost::json::value encode(StrongNumber<Tag> number) { return number.value; }
    static Result<StrongNumber<Tag>> decode(const boost::json::value &json, const std::string &path)
    {
        BOOST_LEAF_AUTO(value, fromJson<std::uint64_t>(json, path));
        return StrongNumber<Tag>{value};
    }
};

template <>
struct JsonCodec<Duration>
{
    static boost::json::value encode(Duration value) { return value.count(); }
    static Result<Duration> decode(const boost::json::value &json, const std::string &path)
    {
        BOOST_LEAF_AUTO(count, fromJson<std::int64_t>(json, path));
        return Duration(count);
    }
};

template <>
struct JsonCodec<Digest>
{
    static boost::json::value encode(const Digest &digest) { return toJson(digest.toHex()); }
    static Result<Digest> decode(const boost::json::value &json, const std::string &path)
    {
        BOOST_LEAF_AUTO(text, fromJson<std::string>(json, path));
        return Digest::parse(text);
    }
};

template <typename T>
struct JsonCodec<std::optional<T>>
{
    static boost::json::value encode(const std::optional<T> &value)
    {
        return value ? toJson(*value) : boost::json::value(nullptr);
    }
    static Result<std::optional<T>> decode(const boost::json::value &json, const std::string &path)
    {
        if (json.is_null())
            return std::optional<T>();
        BOOST_LEAF_AUTO(value, fromJson<T>(json, path));
        return std::optional<T>(std::move(value));
    }
};

template <typename T>
struct JsonCodec<std::vector<T>>
{
    static boost::json::value encode(const std::vector<T> &values)
    {
        boost::json::array array;
        array.reserve(values.size());
        for (const T &value : values)
            array.push_back(toJson(value));
        return array;
    }
    static Result<std::vector<T>> decode(const boost::json::value &json, const std::string &path)
    {
        if (!json.is_array())
            return detail::wrongType(path, "an array");
        std::vector<T> values;
        values.reserve(json.get_array().size());
        for (const auto &item : json.get_array()) {
            BOOST_LEAF_AUTO(value,
                            fromJson<T>(item, path + '[' + std::to_string(values.size()) + ']'));
            values.push_back(std::move(value));
        }
        return values;
    }
};

template <typename T>
struct JsonCodec<std::set<T>>
{
    static boost::json::value encode(const std::set<T> &values)
    {
        return toJson(std::vector<T>(values.begin(), values.end()));
    }
    static Result<std::set<T>> decode(const boost::json::value &json, const std::string &path)
    {
        BOOST_LEAF_AUTO(values, fromJson<std::vector<T>>(json, path));
        return std::set<T>(values.begin(), values.end());
    }
};

/// Encodes a map as an object. The key type is std::string or a StrongId.
template <typename Key, typename T>
struct JsonCodec<std::map<Key, T>>
{
    static boost::json::value encode(const std::map<Key, T> &values)
    {
        boost::json::object object;
        for (const auto &[key, value] : values) {
            if constexpr (std::is_same_v<Key, std::string>)
                object[key] = toJson(value);
            else
                object[key.value()] = toJson(value);
        }
        return object;
    }
    static Result<std::map<Key, T>> decode(const boost::json::value &json, const std::string &path)
    {
        if (!json.is_object())
            return detail::wrongType(path, "an object");
        std::map<Key, T> values;
        for (const auto &item : json.get_object()) {
            const std::string name(item.key());
            BOOST_LEAF_AUTO(value, fromJson<T>(item.value(), path + '.' + name));
            values.emplace(Key(name), std::move(value));
        }
        return values;
    }
};

template <typename T>
requires detail::HasJsonFields<T>
struct JsonCodec<T>
{
    static boost::json::value encode(const T &value)
    {
        boost::json::object object;
        std::apply(
                [&](const auto &...fields) {
                    ((object[fields.name] = toJson(value.*fields.member)), ...);
                },
                JsonFields<T>::table);
        return object;
    }
    static Result<T> decode(const boost::json::value &json, const std::string &path)
    {
        if (!json.is_object())
            return detail::wrongType(path, "an object");
        T value{};
        Result<void> status;
        std::apply(
                [&](const auto &...fields) {
                    ((status = decodeField(json.get_object(), path, fields, value),
                      static_cast<bool>(status))
                     && ...);
                },
                JsonFields<T>::table);
        if (!status)
            return status.error();
        return value;
    }

private:
    template <typename Field>
    static Result<void> decodeField(const boost::json::object &object, const std::string &path,
                                    const Field &field, T &value)
    {
        const auto *it = object.if_contains(field.name);
        if (!it)
            return {};
        using Member = std::remove_reference_t<decltype(value.*field.member)>;
        auto result = fromJson<Member>(*it, path.empty() ? field.name : path + '.' + field.name);
        if (!result)
            return result.error();
        value.*field.member = std::move(result.value());
        return {};
    }
};

} // namespace godwit
