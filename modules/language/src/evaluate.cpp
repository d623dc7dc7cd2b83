#include "explain.h"
#include "listing.h"
#include "suggestion.h"

#include <godwit/language/evaluate.h>

#include <algorithm>

namespace godwit {

namespace {

Listing listingOf(ShowSubject subject, const FleetIndex &index)
{
    switch (subject) {
    case ShowSubject::Replicas:
        return listReplicas(index);
    case ShowSubject::Hosts:
        return listHosts(index);
    case ShowSubject::Backends:
        return listBackends(index);
    case ShowSubject::Orders:
        return listOrders(index);
    case ShowSubject::Deployments:
        return listDeployments(index);
    case ShowSubject::Models:
        return listModels(index);
    case ShowSubject::Versions:
        return listVersions(index);
    case ShowSubject::Adapters:
        return listAdapters(index);
    case ShowSubject::Customers:
        return listCustomers(index);
    case ShowSubject::Operations:
        return listOperations(index);
    case ShowSubject::Transfers:
        return listTransfers(index);
    case ShowSubject::Requests:
        return listRequests(index);
    }
    return {};
}

/// Evaluates a condition for the rows of one listing.
class Filter
{
public:
    Filter(const Condition &condition, const std::vector<std::string> &columns)
        : m_condition(condition)
    {
        for (const auto &[field, name] : JsonNames<QueryField>::table) {
            const auto it = std::ranges::find(columns, name);
            if (it != columns.end())
                m_columns[field] = static_cast<std::size_t>(it - columns.begin());
        }
    }

    bool holds(const Listing::Row &row) const { return holds(m_condition, row); }

private:
    bool holds(const Condition &condition, const Listing::Row &row) const
    {
        const auto childHolds = [&](const Condition &child) { return holds(child, row); };
        switch (condition.kind) {
        case Condition::Kind::Is:
            return compare(condition, row);
        case Condition::Kind::And:
            return std::ranges::all_of(condition.children, childHolds);
        case Condition::Kind::Or:
            return std::ranges::any_of(condition.children, childHolds);
        case Condition::Kind::Not:
            return !childHolds(condition.children.front());
        }
        return false;
    }

    bool compare(const Condition &condition, const Listing::Row &row) const
    {
        const auto matches = [&](const std::string &text) {
            return std::ranges::find(condition.values, text) != condition.values.end();
        };
        if (const auto it = row.fields.find(condition.field); it != row.fields.end())
            return std::ranges::any_of(it->second, matches);
        const auto column = m_columns.find(condition.field);
        if (column == m_columns.end())
            return false;
        const auto *text = std::get_if<std::string>(&row.cells[column->second]);
        return matches(text ? *text : std::string());
    }

    const Condition &m_condition;
    std::map<QueryField, std::size_t> m_columns;
};

template <typename Map>
void addKeys(std::vector<std::string> &names, const Map &map)
{
    for (const auto &[id, value] : map)
        names.push_back(id.value());
}

template <typename Enum>
void addNames(std::vector<std::string> &names)
{
    for (const auto &[value, name] : JsonNames<Enum>::table)
        names.emplace_back(name);
}

std::vector<std::string> stateNames(ShowSubject subject)
{
    std::vector<std::string> names;
    if (subject == ShowSubject::Orders)
        addNames<OrderState>(names);
    else if (subject == ShowSubject::Hosts)
        addNames<MemberStatus>(names);
    else if (subject == ShowSubject::Backends)
        addNames<BackendState>(names);
    else
        addNames<LoadState>(names);
    if (subject == ShowSubject::Hosts)
        names.emplace_back("drained");
    return names;
}

/// Valid values of \a field. Empty for fields whose values are open-ended, see hasKnownNames().
std::vector<std::string> knownNames(QueryField field, ShowSubject subject,
                                    const Configuration &configuration)
{
    std::vector<std::string> names;
    if (field == QueryField::State)
        return stateNames(subject);
    if (field == QueryField::Deployment)
        addKeys(names, configuration.deployments);
    if (field == QueryField::Model)
        addKeys(names, configuration.models);
    if (field == QueryField::Adapter)
        addKeys(names, configuration.adapters);
    if (field == QueryField::Version) {
        for (const auto &[id, model] : configuration.models)
            addKeys(names, model.versions);
        for (const auto &[id, adapter] : configuration.adapters)
            addKeys(names, adapter.versions);
    }
    return names;
}

bool hasKnownNames(QueryField field)
{
    return field == QueryField::State || field == QueryField::Deployment
           || field == QueryField::Model || field == QueryField::Adapter
           || field == QueryField::Version;
}

/// Fails for names of objects that do not exist: for a misspelt name, an empty table would look
/// like a valid answer. The empty name means "none" and is always valid.
Result<void> checkNames(const Condition &condition, ShowSubject subject,
                        const Configuration &configuration)
{
    for (const Condition &child : condition.children)
        BOOST_LEAF_CHECK(checkNames(child, subject, configuration));
    if (condition.kind != Condition::Kind::Is || !hasKnownNames(condition.field))
        return {};
    const auto known = knownNames(condition.field, subject, configuration);
    for (const std::string &name : condition.values) {
        if (name.empty() || std::ranges::find(known, name) != known.end())
            continue;
        const std::string nearest = suggest(name, known);
        return fail(ResultCode::QueryObjectUnknown,
                    nameOf(condition.field) + ' ' + name + " does not exist"
                            + (nearest.empty() ? "" : "; did you mean \"" + nearest + "\"?"));
    }
    return {};
}

struct Evaluator
{
    const FleetIndex &index;

    Result<ReplyTable> operator()(const ShowQuery &query) const
    {
        BOOST_LEAF_CHECK(checkNames(query.where, query.subject, index.configuration()));
        Listing listing = listingOf(query.subject, index);
        const Filter filter(query.where, listing.columns);
        ReplyTable table{listing.columns, {}};
        for (Listing::Row &row : listing.rows) {
            if (filter.holds(row))
                table.rows.push_back(std::move(row.cells));
        }
        return table;
    }

    Result<ReplyTable> operator()(const ShowOrder &query) const
    {
        const auto it = index.configuration().orders.find(query.order);
        if (it == index.configuration().orders.end())
            return fail(ResultCode::QueryObjectUnknown, "order " + query.order.value());
        ReplyTable table{{"host", "zone", "region", "member", "backend", "wanted", "ready", "state",
                          "percent", "error", "order_state"},
                         {}};
        for (const HostId &host : it->second.hosts) {
            const auto engines = index.engines(host, it->second.deployment);
            for (const BackendView *engine : engines)
                table.rows.push_back(orderRow(it->second, host, engine));
            if (engines.empty())
                table.rows.push_back(orderRow(it->second, host, nullptr));
        }
        return table;
    }

    Result<ReplyTable> operator()(const auto &query) const { return explain(query, index); }

private:
    std::vector<Cell> orderRow(const LoadOrder &order, const HostId &host,
                               const BackendView *engine) const
    {
        const MemberView *member = index.member(host);
        const auto wanted = wantedVersion(order, host);
        const LoadView *load = engine && wanted ? findLoad(*engine, order, *wanted) : nullptr;
        Cell error;
        if (load && load->error.code != 0)
            error = errorCell(load->error);
        else if (engine)
            error = errorCell(engine->lastError);
        return {idCell(host),
                idCell(index.zone(host)),
                idCell(index.region(host)),
                member ? nameOf(member->member.status) : "unknown",
                engine ? idCell(engine->backend) : Cell(),
                wanted ? idCell(*wanted) : Cell(),
                wanted && engine && serves(*engine, order, *wanted),
                load ? nameOf(load->state) : "none",
                load ? percentCell(*load) : Cell(),
                std::move(error),
                nameOf(order.state)};
    }
};

} // namespace

Result<ReplyTable> evaluate(const Query &query, const FleetView &view)
{
    const FleetIndex index(view);
    return std::visit(Evaluator{index}, query);
}

} // namespace godwit
