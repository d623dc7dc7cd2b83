#pragma once

#include <godwit/language/conflictinfo.h>
#include <godwit/language/replytable.h>
#include <godwit/language/reportederror.h>
#include <godwit/language/syntaxerror.h>

#include <array>
#include <optional>
#include <string_view>

namespace godwit {

/// Accepted: the command is part of the configuration. Refused: it has no effect. Undecided: it is
/// unknown whether it took effect; resend it with the same operation id to find out. Answer: result
/// of a query or dry run.
enum class OperatorOutcome { Accepted, Refused, Undecided, Answer };

/// Body of the response to `POST /v1/commands`.
// False positive: the analyser treats the storage of a std::variant that holds this type as an
// uninitialised object.
// NOLINTNEXTLINE(clang-analyzer-core.uninitialized.Assign)
struct OperatorReply
{
    OperatorOutcome outcome = OperatorOutcome::Refused;
    OperationId operation; ///< As in the request.
    Revision revision;     ///< If Accepted, produced by the command; otherwise the newest known.
    /// The reason if the entry process cannot prove that its configuration is the newest one, see
    /// ConfigurationStatus::describe(); empty otherwise.
    std::string warning;
    std::optional<ReportedError> error; ///< For Refused and Undecided.
    std::optional<SyntaxError> syntax;  ///< For a statement that cannot be parsed.
    std::optional<ConflictInfo> conflict;
    std::optional<ReplyTable> table; ///< For Answer.

    friend bool operator==(const OperatorReply &, const OperatorReply &) = default;
};

/// Parses a response. Fails with EntryReplyInvalid.
Result<OperatorReply> parseOperatorReply(std::string_view body);

/// Reply to a command that failed with \a error: Undecided for ConfigurationUndecided, otherwise
/// Refused.
OperatorReply errorReply(const OperationId &operation, Revision revision, const Error &error);

/// Reply to a statement that cannot be parsed.
OperatorReply syntaxReply(const OperationId &operation, Revision revision,
                          const SyntaxError &error);

template <>
struct JsonNames<OperatorOutcome>
{
    static constexpr std::array<std::pair<OperatorOutcome, std::string_view>, 4> table{
            {{OperatorOutcome::Accepted, "accepted"},
             {OperatorOutcome::Refused, "refused"},
             {OperatorOutcome::Undecided, "undecided"},
             {OperatorOutcome::Answer, "answer"}}};
};

template <>
struct JsonFields<OperatorReply>
{
    static constexpr auto table = std::tuple{field("outcome", &OperatorReply::outcome),
                                             field("operation", &OperatorReply::operation),
                                             field("revision", &OperatorReply::revision),
                                             field("warning", &OperatorReply::warning),
                                             field("error", &OperatorReply::error),
                                             field("syntax", &OperatorReply::syntax),
                                             field("conflict", &OperatorReply::conflict),
                                             field("table", &OperatorReply::table)};
};

} // namespace godwit
