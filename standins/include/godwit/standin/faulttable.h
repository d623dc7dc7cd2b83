#pragma once

#include <godwit/base/random.h>
#include <godwit/base/result.h>
#include <godwit/standin/fault.h>

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace godwit::standin {

/// Describes a kind of fault that can be injected.
struct FaultInfo
{
    std::string_view name;
    std::string_view standins;    ///< Kinds of stand-ins that support it.
    std::string_view explanation; ///< Effect, including the meaning of Fault::value.
};

/// Returns all supported faults.
std::span<const FaultInfo> knownFaults();

/// Faults injected into one stand-in. Initially all faults are off.
class FaultTable
{
public:
    explicit FaultTable(std::uint64_t seed);

    /// Replaces the settings of the fault Fault::name. Fails with SettingsInvalid if it is unknown.
    Result<void> set(Fault fault);

    /// Returns whether the fault \a name fires for a call to \a target, and decrements Fault::times
    /// if it does.
    bool fires(std::string_view name, std::string_view target = {});

    /// Returns Fault::value of \a name if the fault is on. Does not change Fault::times.
    std::optional<double> value(std::string_view name) const;

    std::vector<Fault> rows() const;

private:
    std::map<std::string, Fault, std::less<>> m_rows;
    Random m_random;
};

} // namespace godwit::standin
