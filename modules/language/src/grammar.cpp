#include "grammar.h"

#include "tokenparsers.h"

#include <functional>
#include <limits>

namespace godwit {

namespace {

using namespace grammar;

enum class YesNo { Yes, No };
enum class AccessScope { Any, Listed };

} // namespace

template <>
struct JsonNames<YesNo>
{
    static constexpr std::array<std::pair<YesNo, std::string_view>, 2> table{
            {{YesNo::Yes, "yes"}, {YesNo::No, "no"}}};
};

template <>
struct JsonNames<AccessScope>
{
    static constexpr std::array<std::pair<AccessScope, std::string_view>, 2> table{
            {{AccessScope::Any, "any"}, {AccessScope::Listed, "listed"}}};
};

namespace {

constexpr std::uint64_t MaxCount = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t MaxReplicas = 2000;
constexpr std::uint64_t MaxPriority = 1000;
/// 1 PiB, to prevent overflow when the unit is applied. The limit is checked before the unit is
/// applied, so that from 2^44 MiB or 2^34 GiB on the result still overflows.
constexpr std::uint64_t MaxVersionBytes = std::uint64_t{1} << 50;

// create

/// An option of `create deployment` with an enum value.
template <typename Enum>
auto deploymentOption(std::string_view text, Enum DeploymentOptions::*member)
{
    return keyword(text) >> enumValue<Enum>([member](ParseState &state, Enum value) {
               command<CreateDeployment>(state).contents.options.*member = value;
           });
}

auto deploymentFlag(std::string_view text, bool DeploymentOptions::*member)
{
    return keyword(text) >> enumValue<YesNo>([member](ParseState &state, YesNo value) {
               command<CreateDeployment>(state).contents.options.*member = value == YesNo::Yes;
           });
}

auto deploymentAccess(std::string_view text, bool Deployment::*member)
{
    return keyword(text) >> enumValue<AccessScope>([member](ParseState &state, AccessScope value) {
               command<CreateDeployment>(state).contents.*member = value == AccessScope::Any;
           });
}

auto priority(std::function<std::uint32_t &(ParseState &)> target)
{
    return keyword("priority") >> number("a priority", 1, MaxPriority,
                                         [target](ParseState &state, std::uint64_t value) {
                                             target(state) = static_cast<std::uint32_t>(value);
                                         });
}

const auto CreateDeploymentRule =
        keyword("deployment") >> name("a deployment name", &CreateDeployment::deployment)
        >> *(deploymentOption("kind", &DeploymentOptions::kind)
             | deploymentFlag("idempotent", &DeploymentOptions::idempotent)
             | deploymentFlag("checks_fencing", &DeploymentOptions::checksFencing)
             | deploymentOption("outage_orders", &DeploymentOptions::outageOrders)
             | deploymentOption("policy", &DeploymentOptions::weightsPolicy)
             | priority([](ParseState &state) -> std::uint32_t & {
                   return command<CreateDeployment>(state).contents.options.priority;
               })
             | deploymentAccess("hosts", &Deployment::anyHost)
             | deploymentAccess("customers", &Deployment::anyCustomer));

const auto CreateModelRule = keyword("model") >> name("a model name", &CreateModel::model)
                             >> keyword("in") >> keyword("deployment")
                             >> name("a deployment name", &CreateModel::deployment);

const auto CreateAdapterRule = keyword("adapter")
                               >> name("an adapter name", &CreateAdapter::adapter) >> keyword("of")
                               >> keyword("model") >> name("a model name", &CreateAdapter::model)
                               >> keyword("version")
                               >> name("a version name", &CreateAdapter::baseVersion);

bool parseManifest(ParseState &state, std::size_t index)
{
    const auto digest = capture([&] { return Digest::parse(state.tokens()[index].text); });
    if (succeeded(digest))
        command<CreateVersion>(state).contents.manifest = std::get<0>(digest);
    else
        state.reject(index, ResultCode::StatementValueInvalid, std::get<1>(digest).detail);
    return succeeded(digest);
}

auto sizeUnit(std::string_view text, unsigned shift)
{
    return keyword(text, [shift](ParseState &state) {
        command<CreateVersion>(state).contents.bytes <<= shift;
    });
}

const auto ManifestRule = NameParser<bool (*)(ParseState &, std::size_t)>(
        "a digest of 64 hexadecimal digits", &parseManifest, false);

const auto VersionSizeRule = number("a size", 1, MaxVersionBytes,
                                    [](ParseState &state, std::uint64_t value) {
                                        command<CreateVersion>(state).contents.bytes = value;
                                    })
                             >> -(keyword("bytes") | sizeUnit("KiB", 10) | sizeUnit("MiB", 20)
                                  | sizeUnit("GiB", 30));

const auto CreateVersionRule = keyword("version") >> name("a version name", &CreateVersion::version)
                               >> keyword("of") >> keyword("model")
                               >> name("a model name", &CreateVersion::model)
                               >> -(keyword("adapter")
                                    >> name("an adapter name", &CreateVersion::adapter))
                               >> keyword("manifest") >> ManifestRule >> keyword("size")
                               >> VersionSizeRule;

const auto CreateRule = keyword("create") >> (CreateDeploymentRule | CreateModelRule
                                              | CreateVersionRule | CreateAdapterRule);

// allow, deny

/// A comma-separated list of names, added to a set member of command C.
template <typename C, typename Id>
auto names(std::string_view singular, std::string_view plural, std::string_view description,
           std::set<Id> C::*member)
{
    const auto item = nameWith(description, [member](ParseState &state, const std::string &text) {
        (command<C>(state).*member).insert(Id(text));
    });
    return (keyword(plural) | keyword(singular)) >> item % punctuation(",");
}

CustomerShare &share(ParseState &state)
{
    return command<Allow>(state).customers[state.currentCustomer];
}

const auto AllowedCustomerRule =
        nameWith("a customer name",
                 [](ParseState &state, const std::string &text) {
                     state.currentCustomer = CustomerId(text);
                     share(state) = CustomerShare();
                 })
        >> *((keyword("weight") >> number("a weight", 1, MaxPriority,
                                          [](ParseState &state, std::uint64_t value) {
                                              share(state).weight = static_cast<double>(value);
                                          }))
             | (keyword("class")
                >> enumValue<PriorityClass>([](ParseState &state, PriorityClass value) {
                      share(state).priorityClass = value;
                  })));

template <typename C>
auto inDeployment(DeploymentId C::*member)
{
    return keyword("in") >> keyword("deployment") >> name("a deployment name", member);
}

const auto AllowRule = keyword("allow") >> +(names("host", "hosts", "a host name", &Allow::hosts)
                                             | names("backend", "backends", "a backend server name",
                                                     &Allow::backends)
                                             | ((keyword("customers") | keyword("customer"))
                                                >> AllowedCustomerRule % punctuation(",")))
                       >> inDeployment(&Allow::deployment);

const auto DenyRule = keyword("deny")
                      >> +(names("host", "hosts", "a host name", &Deny::hosts)
                           | names("backend", "backends", "a backend server name", &Deny::backends)
                           | names("customer", "customers", "a customer name", &Deny::customers))
                      >> inDeployment(&Deny::deployment);

// load orders

const auto LoadHostRule = nameWith("a host name", [](ParseState &state, const std::string &text) {
    command<LoadModel>(state).hosts.emplace_back(text);
});

const auto LoadPlacementRule =
        (number("a number of replicas", 1, MaxReplicas,
                [](ParseState &state, std::uint64_t value) {
                    command<LoadModel>(state).replicas = static_cast<std::uint32_t>(value);
                })
         >> (keyword("replicas") | keyword("replica")))
        | ((keyword("hosts") | keyword("host")) >> LoadHostRule % punctuation(","));

const auto LoadOptionRule =
        (keyword("policy") >> enumValue<WeightsPolicy>([](ParseState &state, WeightsPolicy value) {
             command<LoadModel>(state).weightsPolicy = value;
         }))
        | priority([](ParseState &state) -> std::uint32_t & {
              return command<LoadModel>(state).priority.emplace();
          });

const auto LoadRule = keyword("load") >> -keyword("model")
                      >> name("a model name", &LoadModel::model) >> keyword("version")
                      >> name("a version name", &LoadModel::version)
                      >> -(keyword("adapter") >> name("an adapter name", &LoadModel::adapter))
                      >> keyword("on") >> LoadPlacementRule >> inDeployment(&LoadModel::deployment)
                      >> *LoadOptionRule;

const auto ChangeRule = keyword("change") >> keyword("version") >> keyword("of") >> keyword("order")
                        >> name("an order id", &ChangeVersion::order) >> keyword("to")
                        >> name("a version name", &ChangeVersion::version)
                        >> *((keyword("rolling") >> keyword("step")
                              >> number("a number of hosts", 1, MaxReplicas,
                                        [](ParseState &state, std::uint64_t value) {
                                            command<ChangeVersion>(state).rollingStep =
                                                    static_cast<std::uint32_t>(value);
                                        }))
                             | (keyword("error") >> keyword("limit")
                                >> number("a number of failed loads", 0, MaxCount,
                                          [](ParseState &state, std::uint64_t value) {
                                              command<ChangeVersion>(state).errorLimit =
                                                      static_cast<std::uint32_t>(value);
                                          })));

const auto CancelRule = keyword("cancel") >> keyword("order")
                        >> name("an order id", &CancelOrder::order);

// hosts and backend servers

const auto SwitchRoleRule = keyword("switch") >> keyword("role") >> keyword("of")
                            >> -keyword("backend")
                            >> name("a backend server name", &SwitchRole::backend) >> keyword("to")
                            >> enumValue<BackendRole>([](ParseState &state, BackendRole role) {
                                  command<SwitchRole>(state).role = role;
                              });

const auto DrainRule = keyword("drain") >> keyword("host") >> name("a host name", &DrainHost::host);
const auto ReturnHostRule = keyword("return") >> keyword("host")
                            >> name("a host name", &ReturnHost::host);

// queries

/// The keyword of a field by which the subject of the query can be filtered.
struct FieldParser : TokenParser<FieldParser>
{
    static constexpr int tokenCount = 1;
    bool accept(ParseState &state, std::size_t index) const
    {
        for (const QueryField field : filterFields(query<ShowQuery>(state).subject)) {
            const auto json = toJson(field);
            if (state.acceptKeyword(index, std::string_view(json.as_string()))) {
                Condition condition;
                condition.kind = Condition::Kind::Is;
                condition.field = field;
                state.operands.push_back(std::move(condition));
                return true;
            }
        }
        return false;
    }
};

/// Records the position of the first operand of a combination.
bool beginCombination(ParseState &state, std::size_t)
{
    state.operandStarts.push_back(state.operands.size());
    return true;
}

/// Replaces the operands of the innermost combination by one condition.
template <Condition::Kind Kind>
bool endCombination(ParseState &state, std::size_t)
{
    const auto start = static_cast<std::ptrdiff_t>(state.operandStarts.back());
    state.operandStarts.pop_back();
    const auto begin = state.operands.begin() + start;
    if (Kind != Condition::Kind::Not && state.operands.end() - begin == 1)
        return true;
    Condition combined;
    combined.kind = Kind;
    combined.children.assign(std::make_move_iterator(begin),
                             std::make_move_iterator(state.operands.end()));
    state.operands.erase(begin, state.operands.end());
    state.operands.push_back(std::move(combined));
    return true;
}

const auto BeginCombinationRule = semanticAction(&beginCombination);
const auto EnterNestingRule = semanticAction(
        [](ParseState &state, std::size_t index) { return state.enterNesting(index); });
const auto LeaveNestingRule = semanticAction([](ParseState &state, std::size_t) {
    state.leaveNesting();
    return true;
});

bool addValue(ParseState &state, std::size_t index)
{
    state.operands.back().values.push_back(state.tokens()[index].text);
    return true;
}

bool negate(ParseState &state, std::size_t)
{
    Condition negated;
    negated.kind = Condition::Kind::Not;
    negated.children.push_back(std::move(state.operands.back()));
    state.operands.back() = std::move(negated);
    return true;
}

const auto ValueRule = NameParser<bool (*)(ParseState &, std::size_t)>("a value", &addValue, true);

const auto ComparisonRule = FieldParser()
                            >> ((punctuation("=") >> ValueRule)
                                | (punctuation("!=") >> ValueRule >> semanticAction(&negate))
                                | (keyword("in") >> punctuation("(") >> ValueRule % punctuation(",")
                                   >> punctuation(")")));

const x3::rule<struct ConditionTag> ConditionRule = "condition";
const x3::rule<struct FactorTag> FactorRule = "factor";

const auto ConjunctionRule = BeginCombinationRule >> FactorRule % keyword("and")
                             >> semanticAction(&endCombination<Condition::Kind::And>);
// BOOST_SPIRIT_DEFINE requires the suffix.
// NOLINTNEXTLINE(readability-identifier-naming)
const auto ConditionRule_def = BeginCombinationRule >> ConjunctionRule % keyword("or")
                               >> semanticAction(&endCombination<Condition::Kind::Or>);
// BOOST_SPIRIT_DEFINE requires the suffix.
// NOLINTNEXTLINE(readability-identifier-naming)
const auto FactorRule_def =
        (keyword("not") >> EnterNestingRule >> BeginCombinationRule >> FactorRule
         >> semanticAction(&endCombination<Condition::Kind::Not>) >> LeaveNestingRule)
        | (punctuation("(") >> EnterNestingRule >> ConditionRule >> punctuation(")")
           >> LeaveNestingRule)
        | ComparisonRule;

BOOST_SPIRIT_DEFINE(ConditionRule, FactorRule)

const auto ShowListRule = enumValue<ShowSubject>([](ParseState &state, ShowSubject subject) {
                              query<ShowQuery>(state).subject = subject;
                          })
                          >> -(keyword("where") >> ConditionRule
                               >> semanticAction([](ParseState &state, std::size_t) {
                                     query<ShowQuery>(state).where =
                                             std::move(state.operands.back());
                                     return true;
                                 }));

const auto ShowOrderRule = keyword("order") >> queryName("an order id", &ShowOrder::order);
const auto ShowRule = keyword("show") >> (ShowOrderRule | ShowListRule);
const auto FollowRule = keyword("follow",
                                [](ParseState &state) { query<ShowOrder>(state).follow = true; })
                        >> keyword("order") >> queryName("an order id", &ShowOrder::order);

const auto ExplainRule =
        keyword("explain")
        >> ((keyword("host") >> queryName("a host name", &ExplainHost::host))
            | (keyword("replica") >> queryName("a backend server name", &ExplainReplica::backend))
            | (keyword("request") >> queryName("a request id", &ExplainRequest::request)));

const auto StatementRule = (CreateRule | AllowRule | DenyRule | LoadRule | ChangeRule | CancelRule
                            | SwitchRoleRule | DrainRule | ReturnHostRule | ShowRule | FollowRule
                            | ExplainRule)
                           >> -punctuation(";") >> EndParser();

} // namespace

bool parseTokens(ParseState &state)
{
    auto first = state.tokens().begin();
    const auto last = state.tokens().end();
    const bool complete =
            x3::parse(first, last, x3::with<ParseStateTag>(std::ref(state))[StatementRule]);
    return complete && !state.hasProblem();
}

} // namespace godwit
