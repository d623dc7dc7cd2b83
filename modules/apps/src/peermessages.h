#pragma once

#include "controlevents.h"

#include <godwit/wire/wiremessage.h>

#include <memory>
#include <optional>

namespace godwit {

/// Size limit of a control message between processes; a configuration has at most 1 MB.
inline constexpr std::size_t PeerMessageLimit = 4UL * 1024 * 1024;

/// Host id of the sender, taken from the x-godwit-host field.
inline HostId senderOf(const WireStream &stream)
{
    return HostId(std::string(fieldValue(stream.request().fields, "x-godwit-host")));
}

/// Forwards a control message that both roles accept to \a control. Returns false if the path of
/// \a stream is not that of such a message.
template <typename Control>
bool acceptControlMessage(const std::shared_ptr<WireStream> &stream, Control &control)
{
    const std::string &path = stream->request().path;
    const auto accept = [&]<typename Message>(auto makeEvent, const Message *) {
        handleJsonMessage<Message>(stream, PeerMessageLimit,
                                   [&control, makeEvent](Message message) {
                                       control.post(makeEvent(std::move(message)));
                                       return std::string();
                                   });
    };
    const HostId from = senderOf(*stream);
    if (path == "/gossip")
        accept([](GossipMessage it) { return GossipArrived{std::move(it)}; },
               static_cast<const GossipMessage *>(nullptr));
    else if (path == "/config/push")
        accept(
                [from](ConfigurationPush it) {
                    return ConfigurationPushArrived{from, std::move(it)};
                },
                static_cast<const ConfigurationPush *>(nullptr));
    else if (path == "/config/pull")
        accept(
                [from](ConfigurationPull it) {
                    return ConfigurationPullArrived{from, it};
                },
                static_cast<const ConfigurationPull *>(nullptr));
    else
        return false;
    return true;
}

/// Parses a datagram; returns std::nullopt if it is malformed.
inline std::optional<GossipArrived> parseDatagram(const std::string &text)
{
    auto message = capture([&] { return parseJson<GossipMessage>(text); });
    if (!succeeded(message))
        return std::nullopt;
    return GossipArrived{std::move(std::get<0>(message))};
}

} // namespace godwit
