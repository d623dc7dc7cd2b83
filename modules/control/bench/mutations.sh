#!/usr/bin/env bash
# Mutation test: disables one mechanism at a time in a scratch copy and shows whether the fault runs
# or the tests fail. Usage: modules/control/bench/mutations.sh SCRATCH_FOLDER [NAME...]
set -euo pipefail
root=$(cd "$(dirname "$0")/../../.." && pwd)
scratch=$1
shift
mkdir -p "$scratch"
rm -rf "$scratch/source"
mkdir "$scratch/source"
cp -r "$root/CMakeLists.txt" "$root/cmake" "$scratch/source/"
mkdir "$scratch/source/modules"
cp -r "$root/modules/base" "$root/modules/control" "$scratch/source/modules/"
cmake -S "$scratch/source" -B "$scratch/build" -G Ninja -DCMAKE_BUILD_TYPE=None \
    -DCMAKE_CXX_FLAGS=-O0 >/dev/null
src=$scratch/source/modules/control/src
bin=$scratch/build/modules/control

# mutate NAME FILE OLD NEW RUN: replaces OLD by NEW in FILE, builds and runs RUN.
mutate() {
    local name=$1 file=$src/$2
    if [ ${#wanted[@]} -gt 0 ] && [[ ! " ${wanted[*]} " == *" $name "* ]]; then return; fi
    cp "$file" "$file.kept"
    python3 - "$file" "$3" "$4" <<'PY'
import sys
path, old, new = sys.argv[1:]
text = open(path).read()
assert old in text, "mutation does not apply: " + old
open(path, "w").write(text.replace(old, new))
PY
    cmake --build "$scratch/build" -j 4 --target "${5%% *}" >"$scratch/log" 2>&1 || { echo "$name: build fails"; tail -3 "$scratch/log"; }
    if timeout 300 "$bin/"$5 >"$scratch/out" 2>&1; then echo "| $name | $5 | NOT NOTICED |"
    else echo "| $name | $5 | noticed: $(grep -cE '^seed|FAILED:' "$scratch/out" || true) findings, $(grep -m1 -E '^seed|FAILED:' "$scratch/out" || true) |"; fi
    mv "$file.kept" "$file"
    touch "$file"
}
wanted=("$@")
C="control-faultruns configuration 60"
A="control-faultruns authors 2000"
T="godwit-control-tests ~*fault*"

mutate operation-id applycommand.cpp 'if (const auto *record = findOperation(configuration, context.operation))' \
    'if (const auto *record = findOperation(configuration, OperationId("none")))' "$C"
mutate uncertain-write configurationwriter.cpp 'if (m_unresolvedWrite)
        return finish(WriteDecision::Undecided' 'if (false)
        return finish(WriteDecision::Undecided' "$C"
mutate compare-failed configurationwriter.cpp 'if (reply.status == StorageStatus::Success) {
        m_stored' 'if (reply.status == StorageStatus::Success || reply.status == StorageStatus::CompareFailed) {
        m_stored' "$C"
mutate revision-order configurationspread.cpp 'if (received.document->revision <= applied() || received.document->revision < m_confirmed)' \
    'if (received.document->revision == applied())' "$C"
mutate delta-base configurationspread.cpp 'if (!base || delta.base != base->revision)' \
    'if (!base || delta.revision <= base->revision)' "$T"
mutate delta-digest configurationdelta.cpp '|| Digest::of(toJsonText(std::get<0>(next))).toHex() != delta.digest' '' "$T"
mutate delta-checks configurationdelta.cpp 'if (delta.base != baseRevision || delta.revision <= delta.base)' 'if (false)' "$T"
mutate pull configurationspread.cpp '    schedulePull(now, gossip.applied, from);' '' "$C"
mutate lease-lapse authorlease.cpp 'm_state == State::Held && now <' 'm_state == State::Held || now <' "$A"
mutate lease-wait authorlease.cpp 'm_waitUntil = now + record.lease;' 'm_waitUntil = now;' "$A"
mutate fencing-growth authorlease.cpp '{m_previous.fencing.value + 1}' '{m_previous.fencing.value + (m_previous.fencing.value == 0 ? 1 : 0)}' "$A"
mutate outage-rule authorlease.cpp 'return checksFencing || (outage == OutageOrders::Continue && !m_paused);' 'return true;' "$A"
mutate outage-only authorlease.cpp 'if (!m_outage)
        return false;' '' "$A"
mutate pause authorlease.cpp '|| !isTimerOnTime(now))' ')' "$T"
mutate lost-state authorlease.cpp 'm_state = State::Lost;
        return {};' 'm_record = {};' "$A"
mutate late-release authorlease.cpp 'if (m_releasing)
        m_state = State::Idle;' '' "$A"
mutate order-without-want authorlease.cpp 'if (!m_ordersPending ||' 'if (' "$A"
mutate refutation membership.cpp '    m_self.incarnation.value = update.incarnation.value + 1;' '' "$T"
mutate indirect-probe membership.cpp 'randomMembers(m_settings.indirectProbes, id)' 'randomMembers(0, id)' "$T"
mutate flap-damping membership.cpp 'if (entry.flapPenalty > m_settings.flapLimit)' 'if (false)' "$T"
mutate return-jitter membership.cpp 'entry.usableAt = now + std::max(recoveryWait, holdDown);' 'entry.usableAt = now + holdDown;' "$T"
mutate rejoin-probe membership.cpp 'if (!dead.empty())' 'if (false)' "$T"
mutate address-reuse membership.cpp '    setStatus(now, old->second, MemberStatus::Dead);' '' "$T"
mutate pause-shift membership.cpp 'shiftTimers(gap);' '' "$T"
mutate leave-announce membership.cpp 'for (const HostId &id : targets)
        send(' 'for (const HostId &id : std::vector<HostId>())
        send(' "$T"
mutate repair-delay placementrepair.cpp 'now - it->second >= m_settings.repairDelay' 'true' "$T"
mutate error-limit applycommand.cpp 'if (order->errors > order->errorLimit)' 'if (false)' "$T"
mutate quiet-engine orderreconciler.cpp 'if (m_needsIdleEngine && state.runningRequests > 0)' 'if (false)' "$T"
mutate adapter-base orderreconciler.cpp '&& (load.adapter.empty() || baseLoaded))' ')' "$T"
mutate one-in-flight orderreconciler.cpp 'now < m_nextTimer)' 'false)' "$T"
