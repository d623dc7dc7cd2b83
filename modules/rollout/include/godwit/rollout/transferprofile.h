#pragma once

#include <godwit/weights/transfersettings.h>

namespace godwit {

/// Settings of transfers among hosts whose links carry \a hostRate bytes per second each, as does
/// that of the origin; 0 if that is not known. A version is to be on all engines within seconds.
TransferSettings transferProfile(double hostRate);

} // namespace godwit
