#!/usr/bin/env bash
# See claim.txt. TROUBLE=0 runs it without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../run-case.sh" equalpieces "$here"
