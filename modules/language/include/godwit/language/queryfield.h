#pragma once

#include <godwit/base/json.h>

#include <array>

namespace godwit {

/// Property by which a query can filter rows.
enum class QueryField {
    Deployment,
    Model,
    Adapter,
    Version,
    Host,
    Backend,
    Zone,
    Region,
    State,
    Order,
    Customer,
    Role,
    Who,
};

template <>
struct JsonNames<QueryField>
{
    static constexpr std::array<std::pair<QueryField, std::string_view>, 13> table{
            {{QueryField::Deployment, "deployment"},
             {QueryField::Model, "model"},
             {QueryField::Adapter, "adapter"},
             {QueryField::Version, "version"},
             {QueryField::Host, "host"},
             {QueryField::Backend, "backend"},
             {QueryField::Zone, "zone"},
             {QueryField::Region, "region"},
             {QueryField::State, "state"},
             {QueryField::Order, "order"},
             {QueryField::Customer, "customer"},
             {QueryField::Role, "role"},
             {QueryField::Who, "who"}}};
};

} // namespace godwit
