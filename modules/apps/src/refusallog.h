#pragma once

#include <godwit/base/error.h>
#include <godwit/base/ids.h>
#include <godwit/base/runstate.h>

#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <vector>

namespace godwit {

/// A request that was answered with an error.
struct Refusal
{
    RequestId request;
    DeploymentId deployment;
    CustomerId customer;
    Error error;
    RunState state = RunState::NotRun;

    friend bool operator==(const Refusal &, const Refusal &) = default;
};

/// The latest refusals of an entry process, for operator queries about refused requests.
/// Thread-safe.
class RefusalLog
{
public:
    static constexpr std::size_t Capacity = 1000;

    void add(Refusal refusal);
    std::vector<Refusal> latest() const;

private:
    mutable std::mutex m_mutex;
    std::deque<Refusal> m_refusals;
};

} // namespace godwit
