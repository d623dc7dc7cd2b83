#pragma once

#include <godwit/base/strongid.h>

namespace godwit {

using HostId = StrongId<struct HostIdTag>;         ///< Machine.
using ZoneId = StrongId<struct ZoneIdTag>;         ///< Availability zone.
using RegionId = StrongId<struct RegionIdTag>;     ///< Group of one or more zones.
using CustomerId = StrongId<struct CustomerIdTag>; ///< Owner of requests; unit of fair scheduling.
using DeploymentId = StrongId<struct DeploymentIdTag>; ///< Operator-defined group of models.
using ModelId = StrongId<struct ModelIdTag>;
using AdapterId = StrongId<struct AdapterIdTag>; ///< Empty for the base model.
using VersionId = StrongId<struct VersionIdTag>;
using BackendId = StrongId<struct BackendIdTag>; ///< One backend server (engine or plain service).
using OperationId = StrongId<struct OperationIdTag>;       ///< Identifies a change by an operator;
                                                           ///< repeated when the change is resent.
using IdempotencyKey = StrongId<struct IdempotencyKeyTag>; ///< Chosen by the caller.
using RequestId = StrongId<struct RequestIdTag>;           ///< 32 hexadecimal digits.

using Revision = StrongNumber<struct RevisionTag>; ///< Configuration; increases monotonically.
using FencingNumber = StrongNumber<struct FencingNumberTag>; ///< Of an author of engine orders.
using Incarnation = StrongNumber<struct IncarnationTag>;     ///< Of a process, to detect restarts.
using AttemptId = StrongNumber<struct AttemptIdTag>; ///< Attempt of one request, counted from 1.

} // namespace godwit
