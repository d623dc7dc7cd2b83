// The limits that the connections of one server share.
#include "serverconnection.h"

#include <algorithm>
#include <array>

namespace godwit {

namespace {

/// Requests up to this size may use the part of the request memory that is kept for them. It is
/// several times the limit of the headers of the operators.
constexpr std::size_t SmallRequest = 64UL * 1024;
constexpr std::size_t SmallRequestShare = 8; ///< One of this number of parts of the limit.

constexpr std::array<std::string_view, 10> RejectionNames{"malformed",
                                                          "timeout",
                                                          "body_limit",
                                                          "header_limit",
                                                          "incomplete_for_memory",
                                                          "complete_for_memory",
                                                          "output_memory",
                                                          "idle_for_connection",
                                                          "incomplete_for_connection",
                                                          "connection"};

} // namespace

std::string_view toString(ServerRejection rejection)
{
    return RejectionNames[static_cast<std::size_t>(rejection)];
}

void ServerState::recordRejection(ServerRejection rejection) const
{
    if (onRejected)
        onRejected(rejection);
}

bool ServerState::makeRequestRoom(std::size_t more, std::size_t size)
{
    const std::size_t limit = options.requestMemoryLimit;
    if (limit == 0)
        return true;
    const bool isSmall = size <= SmallRequest;
    const std::size_t available = isSmall ? limit : limit - limit / SmallRequestShare;
    while (requestBytes + more > available) {
        // Small requests do not give way to long ones.
        const auto victim = std::ranges::find_if(receiving, [isSmall](ServerConnection *it) {
            return isSmall || it->heldBytes() > SmallRequest;
        });
        if (victim == receiving.end())
            return false;
        (*victim)->rejectIncomplete(ServerRejection::IncompleteForMemory);
    }
    return true;
}

void ServerState::makeOutputRoom()
{
    while (options.outputMemoryLimit > 0 && outputBytes > options.outputMemoryLimit
           && writing.size() > 1) {
        recordRejection(ServerRejection::OutputMemory);
        writing.front()->close();
    }
}

bool ServerState::closeOneConnection()
{
    if (!lingering.empty()) {
        lingering.front()->close();
        return true;
    }
    const auto unused = std::ranges::find_if_not(idle, &ServerConnection::hasUnreadBytes);
    if (unused != idle.end()) {
        recordRejection(ServerRejection::IdleForConnection);
        (*unused)->close();
        return true;
    }
    if (receiving.empty())
        return false;
    receiving.front()->rejectAndClose(ServerRejection::IncompleteForConnection);
    return true;
}

} // namespace godwit
