#pragma once

#include "controlevents.h"

#include <godwit/wire/wiremessage.h>

#include <memory>
#include <optional>

namespace godwit {

/// Largest control message between processes; a whole configuration has at most 1 MB.
inline constexpr std::size_t PeerMessageLimit = 4UL * 1024 * 1024;

/// Sender of a message between processes.
inline HostId senderOf(const WireStream &stream)
{
    return HostId(std::string(fieldValue(stream.request().fields, "x-godwit-host")));
}

/// Passes the control messages that both roles accept on to \a control. Returns false if the path
/// of \a stream is another one.
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

/// Parses a datagram; nothing if it is malformed.
inline std::optional<GossipArrived> parseDatagram(const std::string &text)
{
    auto message = capture([&] { return parseJson<GossipMessage>(text); });
    if (!succeeded(message))
        return std::nullopt;
    return GossipArrived{std::move(std::get<0>(message))};
}

} // namespace godwit
