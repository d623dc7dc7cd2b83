#pragma once

#include <godwit/base/time.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace godwit {

/// When engines load a new version, counted from its naming. An engine that loads lets its requests
/// come to an end and accepts nothing new, so the engines of a service take turns. Entry and host
/// processes derive the turns from the same records, without messages between them: the hosts order
/// the loads, and the entries prefer engines that do not load soon.
///
/// Breaking the requests off instead, for others to go on with, would make most of them late: busy
/// engines have no room for them.
///
/// Returns the time of the order for each of \a addresses.
std::map<std::string, Duration> loadTurns(std::uint64_t version,
                                          const std::vector<std::string> &addresses);

} // namespace godwit
