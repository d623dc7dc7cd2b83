#pragma once

#include <godwit/ports/callhandle.h>
#include <godwit/ports/completion.h>

#include <cstdint>
#include <memory>
#include <string>

namespace godwit {

/// The origin store of the weights, whose objects are read in ranges. Its rate limit is shared by
/// all hosts.
class OriginPort
{
public:
    OriginPort() = default;
    OriginPort(const OriginPort &) = delete;
    OriginPort &operator=(const OriginPort &) = delete;
    virtual ~OriginPort() = default;

    /// Reads exactly \a length bytes at \a offset of \a object. The bytes are not verified here.
    /// Fails with NotFound, with PlatformRejected if the range lies beyond the object, and with
    /// PlatformBadReply if the origin sent another number of bytes. Reading has no effect, so any
    /// other error (2xxx) may be retried. A timeout means that no byte arrived within the idle
    /// timeout; a slow transfer does not time out.
    virtual std::shared_ptr<CallHandle> readRange(std::string object, std::uint64_t offset,
                                                  std::uint64_t length,
                                                  Completion<std::string> done) = 0;
};

} // namespace godwit
