#pragma once

#include <godwit/ports/completion.h>
#include <godwit/ports/hostlist.h>

namespace godwit {

/// The platform's list of hosts. It lags behind: a host that is missing may already run, and a host
/// that is listed as live may be leaving or may have stopped.
class HostListPort
{
public:
    HostListPort() = default;
    HostListPort(const HostListPort &) = delete;
    HostListPort &operator=(const HostListPort &) = delete;
    virtual ~HostListPort() = default;

    /// Reads the list. Reading has no effect, so every error (2xxx) may be retried; a timeout
    /// says nothing about the hosts.
    virtual void fetch(Completion<HostList> done) = 0;
};

} // namespace godwit
