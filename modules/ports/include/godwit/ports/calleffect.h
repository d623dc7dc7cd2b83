#pragma once

#include <godwit/base/resultcode.h>

namespace godwit {

/// Returns false only if \a code proves that a call to a platform service had no effect.
bool mayHaveTakenEffect(ResultCode code);

} // namespace godwit
