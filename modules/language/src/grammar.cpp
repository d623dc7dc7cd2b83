#include "grammar.h"

#include "tokenparsers.h"

#include <functional>
#include <limits>

namespace godwit {

namespace {

using namespace grammar;

enum class Answer { Yes, No };
enum class Access { Any, Listed };

} // namespace

template <>
struct JsonNames<Answer>
{
    static constexpr std::array<std::pair<Answer, std::string_view>, 2> table{
            {{Answer::Yes, "yes"}, {Answer::No, "no"}}};
};

template <>
struct JsonNames<Access>
{
    static constexpr std::array<std::pair<Access, std::string_view>, 2> table{
            {{Access::Any, "any"}, {Access::Listed, "listed"}}};
};

namespace {

constexpr std::uint64_t MaxCount = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t MaxReplicas = 2000;
constexpr std::uint64_t MaxPriority = 1000;
constexpr std::uint64_t MaxSize = std::uint64_t{1} << 50; // 1 PiB, so that units cannot overflow

// create

/// An option of `create deployment` whose value is one of an enumeration.
template <typename Enum>
auto deploymentOption(std::string_view text, Enum DeploymentOptions::*member)
{
    return word(text) >> choice<Enum>([member](Draft &draft, Enum value) {
               command<CreateDeployment>(draft).contents.options.*member = value;
           });
}

auto deploymentFlag(std::string_view text, bool DeploymentOptions::*member)
{
    return word(text) >> choice<Answer>([member](Draft &draft, Answer value) {
               command<CreateDeployment>(draft).contents.options.*member = value == Answer::Yes;
           });
}

auto deploymentAccess(std::string_view text, bool Deployment::*member)
{
    return word(text) >> choice<Access>([member](Draft &draft, Access value) {
               command<CreateDeployment>(draft).contents.*member = value == Access::Any;
           });
}

auto priority(std::function<std::uint32_t &(Draft &)> target)
{
    return word("priority")
           >> number("a priority", 1, MaxPriority, [target](Draft &draft, std::uint64_t value) {
                 target(draft) = static_cast<std::uint32_t>(value);
             });
}

const auto CreateDeploymentRule =
        word("deployment") >> name("a deployment name", &CreateDeployment::deployment)
        >> *(deploymentOption("kind", &DeploymentOptions::kind)
             | deploymentFlag("idempotent", &DeploymentOptions::idempotent)
             | deploymentFlag("checks_fencing", &DeploymentOptions::checksFencing)
             | deploymentOption("outage_orders", &DeploymentOptions::outageOrders)
             | deploymentOption("policy", &DeploymentOptions::weightsPolicy)
             | priority([](Draft &draft) -> std::uint32_t & {
                   return command<CreateDeployment>(draft).contents.options.priority;
               })
             | deploymentAccess("hosts", &Deployment::anyHost)
             | deploymentAccess("customers", &Deployment::anyCustomer));

const auto CreateModelRule = word("model") >> name("a model name", &CreateModel::model)
                             >> word("in") >> word("deployment")
                             >> name("a deployment name", &CreateModel::deployment);

const auto CreateAdapterRule = word("adapter") >> name("an adapter name", &CreateAdapter::adapter)
                               >> word("of") >> word("model")
                               >> name("a model name", &CreateAdapter::model) >> word("version")
                               >> name("a version name", &CreateAdapter::baseVersion);

bool readManifest(Draft &draft, std::size_t index)
{
    const auto digest = capture([&] { return Digest::parse(draft.tokens()[index].text); });
    if (succeeded(digest))
        command<CreateVersion>(draft).contents.manifest = std::get<0>(digest);
    else
        draft.reject(index, ResultCode::StatementValueInvalid, std::get<1>(digest).detail);
    return succeeded(digest);
}

auto sizeUnit(std::string_view text, unsigned shift)
{
    return word(text,
                [shift](Draft &draft) { command<CreateVersion>(draft).contents.bytes <<= shift; });
}

const auto ManifestRule = NameParser<bool (*)(Draft &, std::size_t)>(
        "a digest of 64 hexadecimal digits", &readManifest, false);

const auto VersionSizeRule = number("a size", 1, MaxSize,
                                    [](Draft &draft, std::uint64_t value) {
                                        command<CreateVersion>(draft).contents.bytes = value;
                                    })
                             >> -(word("bytes") | sizeUnit("KiB", 10) | sizeUnit("MiB", 20)
                                  | sizeUnit("GiB", 30));

const auto CreateVersionRule = word("version") >> name("a version name", &CreateVersion::version)
                               >> word("of") >> word("model")
                               >> name("a model name", &CreateVersion::model)
                               >> -(word("adapter")
                                    >> name("an adapter name", &CreateVersion::adapter))
                               >> word("manifest") >> ManifestRule >> word("size")
                               >> VersionSizeRule;

const auto CreateRule = word("create") >> (CreateDeploymentRule | CreateModelRule
                                           | CreateVersionRule | CreateAdapterRule);

// allow, deny

/// A list of names that are added to a set of command C.
template <typename C, typename Id>
auto names(std::string_view singular, std::string_view plural, std::string_view description,
           std::set<Id> C::*member)
{
    const auto item = nameWith(description, [member](Draft &draft, const std::string &text) {
        (command<C>(draft).*member).insert(Id(text));
    });
    return (word(plural) | word(singular)) >> item % mark(",");
}

CustomerShare &share(Draft &draft)
{
    return command<Allow>(draft).customers[draft.customer];
}

const auto AllowedCustomerRule =
        nameWith("a customer name",
                 [](Draft &draft, const std::string &text) {
                     draft.customer = CustomerId(text);
                     share(draft) = CustomerShare();
                 })
        >> *((word("weight") >> number("a weight", 1, MaxPriority,
                                       [](Draft &draft, std::uint64_t value) {
                                           share(draft).weight = static_cast<double>(value);
                                       }))
             | (word("class") >> choice<PriorityClass>([](Draft &draft, PriorityClass value) {
                    share(draft).priorityClass = value;
                })));

template <typename C>
auto inDeployment(DeploymentId C::*member)
{
    return word("in") >> word("deployment") >> name("a deployment name", member);
}

const auto AllowRule = word("allow") >> +(names("host", "hosts", "a host name", &Allow::hosts)
                                          | names("backend", "backends", "a backend server name",
                                                  &Allow::backends)
                                          | ((word("customers") | word("customer"))
                                             >> AllowedCustomerRule % mark(",")))
                       >> inDeployment(&Allow::deployment);

const auto DenyRule = word("deny")
                      >> +(names("host", "hosts", "a host name", &Deny::hosts)
                           | names("backend", "backends", "a backend server name", &Deny::backends)
                           | names("customer", "customers", "a customer name", &Deny::customers))
                      >> inDeployment(&Deny::deployment);

// load orders

const auto LoadHostRule = nameWith("a host name", [](Draft &draft, const std::string &text) {
    command<LoadModel>(draft).hosts.emplace_back(text);
});

const auto LoadPlaceRule = (number("a number of replicas", 1, MaxReplicas,
                                   [](Draft &draft, std::uint64_t value) {
                                       command<LoadModel>(draft).replicas =
                                               static_cast<std::uint32_t>(value);
                                   })
                            >> (word("replicas") | word("replica")))
                           | ((word("hosts") | word("host")) >> LoadHostRule % mark(","));

const auto LoadOptionRule =
        (word("policy") >> choice<WeightsPolicy>([](Draft &draft, WeightsPolicy value) {
             command<LoadModel>(draft).weightsPolicy = value;
         }))
        | priority([](Draft &draft) -> std::uint32_t & {
              return command<LoadModel>(draft).priority.emplace();
          });

const auto LoadRule = word("load") >> -word("model") >> name("a model name", &LoadModel::model)
                      >> word("version") >> name("a version name", &LoadModel::version)
                      >> -(word("adapter") >> name("an adapter name", &LoadModel::adapter))
                      >> word("on") >> LoadPlaceRule >> inDeployment(&LoadModel::deployment)
                      >> *LoadOptionRule;

const auto ChangeRule = word("change") >> word("version") >> word("of") >> word("order")
                        >> name("an order id", &ChangeVersion::order) >> word("to")
                        >> name("a version name", &ChangeVersion::version)
                        >> *((word("rolling") >> word("step")
                              >> number("a number of hosts", 1, MaxReplicas,
                                        [](Draft &draft, std::uint64_t value) {
                                            command<ChangeVersion>(draft).rollingStep =
                                                    static_cast<std::uint32_t>(value);
                                        }))
                             | (word("error") >> word("limit")
                                >> number("a number of failed loads", 0, MaxCount,
                                          [](Draft &draft, std::uint64_t value) {
                                              command<ChangeVersion>(draft).errorLimit =
                                                      static_cast<std::uint32_t>(value);
                                          })));

const auto CancelRule = word("cancel") >> word("order") >> name("an order id", &CancelOrder::order);

// machines

const auto SwitchRoleRule = word("switch") >> word("role") >> word("of") >> -word("backend")
                            >> name("a backend server name", &SwitchRole::backend) >> word("to")
                            >> choice<BackendRole>([](Draft &draft, BackendRole role) {
                                  command<SwitchRole>(draft).role = role;
                              });

const auto DrainRule = word("drain") >> word("host") >> name("a host name", &DrainHost::host);
const auto GiveBackRule = word("return") >> word("host") >> name("a host name", &ReturnHost::host);

// queries

/// The word of a field on which the subject of the query can filter.
struct FieldParser : TokenParser<FieldParser>
{
    static constexpr int tokenCount = 1;
    bool accept(Draft &draft, std::size_t index) const
    {
        for (const QueryField field : filterFields(query<ShowQuery>(draft).subject)) {
            const auto json = toJson(field);
            if (draft.acceptWord(index, std::string_view(json.as_string()))) {
                Condition condition;
                condition.kind = Condition::Kind::Is;
                condition.field = field;
                draft.conditions.push_back(std::move(condition));
                return true;
            }
        }
        return false;
    }
};

/// Marks where the operands of a combination start.
bool openCombination(Draft &draft, std::size_t)
{
    draft.combinations.push_back(draft.conditions.size());
    return true;
}

/// Combines the operands of the innermost combination into one condition.
template <Condition::Kind Kind>
bool closeCombination(Draft &draft, std::size_t)
{
    const auto start = static_cast<std::ptrdiff_t>(draft.combinations.back());
    draft.combinations.pop_back();
    const auto begin = draft.conditions.begin() + start;
    if (Kind != Condition::Kind::Not && draft.conditions.end() - begin == 1)
        return true;
    Condition combined;
    combined.kind = Kind;
    combined.children.assign(std::make_move_iterator(begin),
                             std::make_move_iterator(draft.conditions.end()));
    draft.conditions.erase(begin, draft.conditions.end());
    draft.conditions.push_back(std::move(combined));
    return true;
}

const auto OpenRule = step(&openCombination);
const auto EnterRule = step([](Draft &draft, std::size_t index) { return draft.enter(index); });
const auto LeaveRule = step([](Draft &draft, std::size_t) {
    draft.leave();
    return true;
});

bool addValue(Draft &draft, std::size_t index)
{
    draft.conditions.back().values.push_back(draft.tokens()[index].text);
    return true;
}

bool negate(Draft &draft, std::size_t)
{
    Condition negated;
    negated.kind = Condition::Kind::Not;
    negated.children.push_back(std::move(draft.conditions.back()));
    draft.conditions.back() = std::move(negated);
    return true;
}

const auto ValueRule = NameParser<bool (*)(Draft &, std::size_t)>("a value", &addValue, true);

const auto ComparisonRule = FieldParser()
                            >> ((mark("=") >> ValueRule)
                                | (mark("!=") >> ValueRule >> step(&negate))
                                | (word("in") >> mark("(") >> ValueRule % mark(",") >> mark(")")));

const x3::rule<struct ConditionTag> ConditionRule = "condition";
const x3::rule<struct FactorTag> FactorRule = "factor";

const auto ConjunctionRule = OpenRule >> FactorRule % word("and")
                             >> step(&closeCombination<Condition::Kind::And>);
// BOOST_SPIRIT_DEFINE requires the suffix.
// NOLINTNEXTLINE(readability-identifier-naming)
const auto ConditionRule_def = OpenRule >> ConjunctionRule % word("or")
                               >> step(&closeCombination<Condition::Kind::Or>);
// BOOST_SPIRIT_DEFINE requires the suffix.
// NOLINTNEXTLINE(readability-identifier-naming)
const auto FactorRule_def = (word("not") >> EnterRule >> OpenRule >> FactorRule
                             >> step(&closeCombination<Condition::Kind::Not>) >> LeaveRule)
                            | (mark("(") >> EnterRule >> ConditionRule >> mark(")") >> LeaveRule)
                            | ComparisonRule;

BOOST_SPIRIT_DEFINE(ConditionRule, FactorRule)

const auto
        ShowListRule = choice<ShowSubject>([](Draft &draft, ShowSubject subject) {
                           query<ShowQuery>(draft).subject = subject;
                       })
                       >> -(word("where") >> ConditionRule >> step([](Draft &draft, std::size_t) {
                                query<ShowQuery>(draft).where = std::move(draft.conditions.back());
                                return true;
                            }));

const auto ShowOrderRule = word("order") >> queryName("an order id", &ShowOrder::order);
const auto ShowRule = word("show") >> (ShowOrderRule | ShowListRule);
const auto FollowRule = word("follow", [](Draft &draft) { query<ShowOrder>(draft).follow = true; })
                        >> word("order") >> queryName("an order id", &ShowOrder::order);

const auto ExplainRule =
        word("explain")
        >> ((word("host") >> queryName("a host name", &ExplainHost::host))
            | (word("replica") >> queryName("a backend server name", &ExplainReplica::backend))
            | (word("request") >> queryName("a request id", &ExplainRequest::request)));

const auto StatementRule = (CreateRule | AllowRule | DenyRule | LoadRule | ChangeRule | CancelRule
                            | SwitchRoleRule | DrainRule | GiveBackRule | ShowRule | FollowRule
                            | ExplainRule)
                           >> -mark(";") >> EndParser();

} // namespace

bool parseTokens(Draft &draft)
{
    auto first = draft.tokens().begin();
    const auto last = draft.tokens().end();
    const bool complete =
            x3::parse(first, last, x3::with<DraftTag>(std::ref(draft))[StatementRule]);
    return complete && !draft.hasProblem();
}

} // namespace godwit
