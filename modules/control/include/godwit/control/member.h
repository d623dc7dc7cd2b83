#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/json.h>

#include <array>
#include <string>

namespace godwit {

enum class ProcessRole { Entry, Host };

/// In order of precedence: at the same incarnation a later value overrides an earlier one.
enum class MemberStatus { Alive, Suspect, Leaving, Dead };

/// State of one process in the membership table; also the update about it that is gossiped.
struct Member
{
    HostId host;
    std::string address; ///< IP address and port.
    ZoneId zone;
    ProcessRole role = ProcessRole::Host;
    MemberStatus status = MemberStatus::Alive;
    /// Start time of the process in ms since 1970, times RefutationsPerProcess, plus the number of
    /// its refutations.
    Incarnation incarnation;

    friend bool operator==(const Member &, const Member &) = default;
};

constexpr std::uint64_t RefutationsPerProcess = 65536;

/// Number that identifies a process among the processes of one host.
constexpr std::uint64_t processNumber(Incarnation incarnation)
{
    return incarnation.value / RefutationsPerProcess;
}

template <>
struct JsonNames<ProcessRole>
{
    static constexpr std::array<std::pair<ProcessRole, std::string_view>, 2> table{
            {{ProcessRole::Entry, "entry"}, {ProcessRole::Host, "host"}}};
};

template <>
struct JsonNames<MemberStatus>
{
    static constexpr std::array<std::pair<MemberStatus, std::string_view>, 4> table{
            {{MemberStatus::Alive, "alive"},
             {MemberStatus::Suspect, "suspect"},
             {MemberStatus::Leaving, "leaving"},
             {MemberStatus::Dead, "dead"}}};
};

template <>
struct JsonFields<Member>
{
    static constexpr auto table = std::tuple{
            field("host", &Member::host),     field("address", &Member::address),
            field("zone", &Member::zone),     field("role", &Member::role),
            field("status", &Member::status), field("incarnation", &Member::incarnation)};
};

} // namespace godwit
