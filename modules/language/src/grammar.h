#pragma once

#include "parsestate.h"

namespace godwit {

/// Parses the tokens of \a state as one statement. On failure, ParseState::error() has the reason.
bool parseTokens(ParseState &state);

} // namespace godwit
