#pragma once

#include <godwit/weights/participant.h>

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace godwit {

/// Hosts of each region that read a manifest from the origin.
constexpr std::size_t OriginReadersPerRegion = 2;
/// Hosts that read a manifest from the same peer at their first attempt.
constexpr std::size_t ManifestFanOut = 4;

/// Returns the peer from which \a self reads the manifest \a key at its attempt number \a attempt,
/// counted from 0; none if it reads it from the origin.
///
/// The hosts of a region form a tree in rendezvous order: the first ones read from the origin, each
/// other one from a host before it. All hosts compute the same tree without communication. Later
/// attempts ask the hosts that read from the origin, then the origin itself, so that a missing host
/// delays the others only briefly.
std::optional<HostId> manifestSource(const std::vector<Participant> &participants,
                                     const Participant &self, std::string_view key,
                                     std::uint32_t attempt);

} // namespace godwit
