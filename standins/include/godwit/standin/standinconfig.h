#pragma once

#include <godwit/standin/fault.h>

#include <cstdint>
#include <string>
#include <vector>

namespace godwit::standin {

/// Configuration members common to all stand-ins.
struct StandinConfig
{
    std::string name;
    std::string listen = "127.0.0.1:0"; ///< IP:PORT; with port 0 the kernel chooses the port.
    std::uint64_t seed = 1;             ///< Seed of the random choices of faults.
    std::vector<Fault> faults;          ///< Faults set at start.

    friend bool operator==(const StandinConfig &, const StandinConfig &) = default;
};

} // namespace godwit::standin

template <>
struct godwit::JsonFields<godwit::standin::StandinConfig>
{
    using Config = godwit::standin::StandinConfig;
    static constexpr auto table =
            std::tuple{field("name", &Config::name), field("listen", &Config::listen),
                       field("seed", &Config::seed), field("faults", &Config::faults)};
};
