#pragma once

#include <godwit/weights/manifest.h>
#include <godwit/weights/participant.h>

#include <array>
#include <string_view>
#include <utility>
#include <vector>

namespace godwit {

/// What a transfer optimizes for; set per deployment in the configuration.
enum class TransferPolicy {
    TimeFirst,  ///< Short transfer time: up to two origin copies, early fallback to the origin.
    BytesFirst, ///< Few origin bytes: at most 1.1 origin copies, late fallback.
};

template <>
struct JsonNames<TransferPolicy>
{
    static constexpr std::array<std::pair<TransferPolicy, std::string_view>, 2> table{
            {{TransferPolicy::TimeFirst, "time_first"},
             {TransferPolicy::BytesFirst, "bytes_first"}}};
};

/// Instruction to transfer the weights of one manifest to this host.
struct TransferOrder
{
    Manifest manifest;
    RegionId originRegion; ///< Region of the weight origin.
    TransferPolicy policy = TransferPolicy::TimeFirst;
    std::uint32_t weight = 1;              ///< Relative share of links among concurrent transfers.
    std::vector<Participant> participants; ///< All hosts of the order, this host included.
    /// Does not supersede unfinished transfers of other versions of the model.
    bool keepOtherVersions = false;
};

} // namespace godwit
