#!/usr/bin/env bash
# Fails if C++ code in modules/ or bench/, except in tests, contains a protocol name of the external
# platform. Only platform/ and standins/ may use these names.
set -euo pipefail
cd "$(dirname "$0")/.."
names='kv-(key|range|watch|txn|keep|lease)|X-Attempt-Id|X-Server-Seal|X-Expect-Instance|X-Not-Executed'
names+='|X-Token-Usage|X-Engine-Load|X-Tenant|X-Weight-Versions|stage-(put|get)|store_revision'
names+='|slo_ms|target_gap_ms|traffic_split|api_keys|/godwitrun/|Store-Era'
if git grep -nE "$names" -- 'modules/*.cpp' 'modules/*.h' 'bench/*.cpp' 'bench/*.h' ':!**/tests/**'; then
    echo "platform protocol names found outside platform/ and standins/" >&2
    exit 1
fi
