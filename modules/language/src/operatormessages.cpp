#include <godwit/language/operatorreply.h>
#include <godwit/language/operatorrequest.h>

#include <algorithm>

namespace godwit {

namespace {

/// Parses JSON; reports every failure as \a code.
template <typename T>
Result<T> parseAs(std::string_view body, ResultCode code)
{
    auto outcome = capture([&] { return parseJson<T>(body); });
    if (!succeeded(outcome))
        return fail(code, std::get<1>(outcome).detail);
    return std::get<0>(std::move(outcome));
}

} // namespace

Result<OperatorRequest> parseOperatorRequest(std::string_view body)
{
    BOOST_LEAF_AUTO(request, parseAs<OperatorRequest>(body, ResultCode::OperatorRequestInvalid));
    const auto missing = [&](bool isMissing, const char *name) -> Result<void> {
        if (isMissing)
            return fail(ResultCode::OperatorRequestInvalid, std::string(name) + " is missing");
        return {};
    };
    BOOST_LEAF_CHECK(missing(request.statement.empty(), "statement"));
    BOOST_LEAF_CHECK(missing(request.operation.empty(), "operation"));
    BOOST_LEAF_CHECK(missing(request.who.empty(), "who"));
    BOOST_LEAF_CHECK(missing(request.when <= 0, "when"));
    return request;
}

Result<OperatorReply> parseOperatorReply(std::string_view body)
{
    BOOST_LEAF_AUTO(reply, parseAs<OperatorReply>(body, ResultCode::EntryReplyInvalid));
    if (reply.operation.empty())
        return fail(ResultCode::EntryReplyInvalid, "operation is missing");
    return reply;
}

OperatorReply errorReply(const OperationId &operation, Revision revision, const Error &error)
{
    OperatorReply reply;
    reply.outcome = error.code == ResultCode::ConfigurationUndecided ? OperatorOutcome::Undecided
                                                                     : OperatorOutcome::Refused;
    reply.operation = operation;
    reply.revision = revision;
    reply.error = toReportedError(error);
    return reply;
}

OperatorReply syntaxReply(const OperationId &operation, Revision revision, const SyntaxError &error)
{
    OperatorReply reply = errorReply(operation, revision, toError(error));
    reply.syntax = error;
    return reply;
}

ReportedError toReportedError(const Error &error)
{
    std::string message = error.detail;
    std::ranges::replace_if(
            message, [](char c) { return c < 0x20 || c > 0x7e; }, '?');
    return {static_cast<int>(error.code), std::string(resultCodeName(error.code)),
            std::move(message)};
}

std::string toString(const ReportedError &error)
{
    return std::to_string(error.code) + ' ' + error.name + ": " + error.message;
}

std::optional<ConflictInfo> findConflict(const Configuration &configuration, const Command &command,
                                         const CommandContext &context)
{
    if (!context.decidedOn)
        return std::nullopt;
    const std::string target = commandTarget(command, context.operation);
    std::optional<ConflictInfo> newest;
    for (const auto &[id, record] : configuration.operations) {
        if (record.target == target && record.revision > *context.decidedOn
            && (!newest || record.revision > newest->record.revision))
            newest = ConflictInfo{target, id, record};
    }
    return newest;
}

} // namespace godwit
