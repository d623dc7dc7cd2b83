#pragma once

#include <godwit/control/modelorder.h>

#include <variant>

namespace godwit {

/// Read the state of the engine and pass it to OrderReconciler::onState(), or call onReadFailed().
struct ReadEngine
{};

/// Send the order and report its result to OrderReconciler::onOrderDone().
struct SendEngineOrder
{
    ModelOrder order;
};

using ReconcilerAction = std::variant<ReadEngine, SendEngineOrder>;

} // namespace godwit
