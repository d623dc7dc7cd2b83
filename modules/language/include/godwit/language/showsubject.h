#pragma once

#include <godwit/base/json.h>
#include <godwit/language/queryfield.h>

#include <array>
#include <span>

namespace godwit {

/// Kind of object that a `show` query lists.
enum class ShowSubject {
    Replicas,
    Hosts,
    Backends,
    Orders,
    Deployments,
    Models,
    Versions,
    Adapters,
    Customers,
    Operations,
    Transfers,
    Requests,
};

/// Fields by which a query of \a subject can filter.
std::span<const QueryField> filterFields(ShowSubject subject);

template <>
struct JsonNames<ShowSubject>
{
    static constexpr std::array<std::pair<ShowSubject, std::string_view>, 12> table{
            {{ShowSubject::Replicas, "replicas"},
             {ShowSubject::Hosts, "hosts"},
             {ShowSubject::Backends, "backends"},
             {ShowSubject::Orders, "orders"},
             {ShowSubject::Deployments, "deployments"},
             {ShowSubject::Models, "models"},
             {ShowSubject::Versions, "versions"},
             {ShowSubject::Adapters, "adapters"},
             {ShowSubject::Customers, "customers"},
             {ShowSubject::Operations, "operations"},
             {ShowSubject::Transfers, "transfers"},
             {ShowSubject::Requests, "requests"}}};
};

} // namespace godwit
