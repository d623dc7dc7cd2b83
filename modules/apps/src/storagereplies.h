#pragma once

#include <godwit/base/result.h>
#include <godwit/control/storagereply.h>
#include <godwit/ports/keyvalueentry.h>

#include <optional>

namespace godwit {

/// Converts the outcome of a read for the state machines of the control module.
StorageReply storageReply(const Outcome<std::optional<KeyValueEntry>> &outcome);

/// Converts the outcome of a compare-and-swap.
StorageReply storageReply(const Outcome<StoreRevision> &outcome);

} // namespace godwit
