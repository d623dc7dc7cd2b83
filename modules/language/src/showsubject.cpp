#include <godwit/language/showsubject.h>

namespace godwit {

namespace {

using enum QueryField;

constexpr auto ReplicaFields = std::to_array(
        {Deployment, Model, Adapter, Version, Host, Backend, Zone, Region, State, Order, Role});
constexpr auto HostFields = std::to_array({Host, Zone, Region, State, Role});
constexpr auto OrderFields =
        std::to_array({Deployment, Model, Adapter, Version, Host, Zone, Region, State, Order});
constexpr auto DeploymentFields = std::to_array({Deployment, Model, Customer, Host});
constexpr auto ModelFields = std::to_array({Deployment, Model, Version});
constexpr auto VersionFields = std::to_array({Deployment, Model, Adapter, Version});
constexpr auto CustomerFields = std::to_array({Deployment, Customer});
constexpr auto OperationFields =
        std::to_array({Deployment, Model, Adapter, Host, Backend, Order, Who});
constexpr auto TransferFields = std::to_array(
        {Deployment, Model, Adapter, Version, Host, Backend, Zone, Region, State, Order});
constexpr auto RequestFields = std::to_array({Deployment, Model, Customer, Host});

} // namespace

std::span<const QueryField> filterFields(ShowSubject subject)
{
    switch (subject) {
    case ShowSubject::Replicas:
    case ShowSubject::Backends:
        return ReplicaFields;
    case ShowSubject::Hosts:
        return HostFields;
    case ShowSubject::Orders:
        return OrderFields;
    case ShowSubject::Deployments:
        return DeploymentFields;
    case ShowSubject::Models:
        return ModelFields;
    case ShowSubject::Versions:
    case ShowSubject::Adapters:
        return VersionFields;
    case ShowSubject::Customers:
        return CustomerFields;
    case ShowSubject::Operations:
        return OperationFields;
    case ShowSubject::Transfers:
        return TransferFields;
    case ShowSubject::Requests:
        return RequestFields;
    }
    return {};
}

} // namespace godwit
