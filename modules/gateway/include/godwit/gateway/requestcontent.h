#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/strongid.h>
#include <godwit/gateway/clientrequest.h>

#include <string>
#include <vector>

namespace godwit {

/// Identifies a piece of content by its kind and hash, alike in all processes: a part of a prompt,
/// or a request as a whole.
using ContentKey = StrongId<struct ContentKeyTag>;

/// Whether \a key identifies a request as a whole.
bool isWholeRequest(const ContentKey &key);

/// The content of a request, as far as it may make a backend server crash.
struct RequestContent
{
    /// The parts of the prompt that the request shares with others, in order.
    std::vector<ContentKey> sharedParts;
    ContentKey whole; ///< Path, customer and body; equal for a request that is sent again.

    friend bool operator==(const RequestContent &, const RequestContent &) = default;
};

/// Describes \a request of \a customer to \a service.
RequestContent describeContent(const ClientRequest &request, const std::string &service,
                               const CustomerId &customer);

} // namespace godwit
