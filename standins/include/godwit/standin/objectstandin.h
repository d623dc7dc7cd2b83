#pragma once

#include <godwit/ports/modelpin.h>
#include <godwit/standin/standin.h>

#include <memory>
#include <vector>

namespace godwit::standin {

/// An object with pseudorandom content.
struct GeneratedObject
{
    std::string name;
    std::uint64_t bytes = 0;
    std::uint64_t seed = 1;

    friend bool operator==(const GeneratedObject &, const GeneratedObject &) = default;
};

/// Returns \a bytes pseudorandom bytes that depend only on \a seed.
std::string generateBytes(std::uint64_t bytes, std::uint64_t seed);

/// Configuration of a simulated origin and weight store.
struct ObjectConfig : StandinConfig
{
    std::vector<GeneratedObject> objects;
    double bytesPerSecond = 0; ///< Send rate shared by all clients; 0 for no limit.

    friend bool operator==(const ObjectConfig &, const ObjectConfig &) = default;
};

/// Simulates the origin and the weight store: GET /objects/NAME with an optional Range header, and
/// GET /manifests/MODEL/ADAPTER/VERSION. PUT /_standin/objects/NAME and PUT
/// /_standin/manifests/MODEL/ADAPTER/VERSION store the request body. The counters "object_bytes",
/// "object_bytes NAME" and "manifest_bytes" are totals of sent bytes.
class ObjectStandin : public Standin
{
public:
    ObjectStandin(boost::asio::io_context &io, ObjectConfig config);

    void setObject(const std::string &name, std::string bytes);
    void setManifest(const ModelPin &pin, std::string bytes);

protected:
    void handle(HttpRequest request, const ReplyPointer &reply) override;
    bool handleControl(const HttpRequest &request, const ReplyPointer &reply) override;
    std::string requestKind(const HttpRequest &request) const override;

private:
    struct Transfer;

    void sendObject(const std::string &name, const HttpRequest &request, const ReplyPointer &reply);
    void sendManifest(const std::string &name, const ReplyPointer &reply);
    void continueTransfer(const std::shared_ptr<Transfer> &transfer);
    void sendSlice(const std::shared_ptr<Transfer> &transfer, std::size_t size);

    double m_rate;
    TokenBucket m_rateLimiter;
    std::map<std::string, std::shared_ptr<const std::string>> m_objects;
    std::map<std::string, std::string> m_manifests;
};

} // namespace godwit::standin

template <>
struct godwit::JsonFields<godwit::standin::GeneratedObject>
{
    using Object = godwit::standin::GeneratedObject;
    static constexpr auto table =
            std::tuple{field("name", &Object::name), field("bytes", &Object::bytes),
                       field("seed", &Object::seed)};
};

template <>
struct godwit::JsonFields<godwit::standin::ObjectConfig>
{
    using Config = godwit::standin::ObjectConfig;
    static constexpr auto table =
            std::tuple_cat(JsonFields<godwit::standin::StandinConfig>::table,
                           std::tuple{field("objects", &Config::objects),
                                      field("bytes_per_second", &Config::bytesPerSecond)});
};
