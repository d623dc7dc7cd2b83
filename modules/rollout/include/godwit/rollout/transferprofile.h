#pragma once

#include <godwit/weights/transfersettings.h>

namespace godwit {

/// Returns transfer settings for distributing a version to all engines within seconds. The link
/// of each host and that of the origin carry \a hostRate bytes per second; 0 if not known.
TransferSettings transferProfile(double hostRate);

} // namespace godwit
