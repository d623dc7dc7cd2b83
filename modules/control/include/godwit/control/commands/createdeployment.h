#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/json.h>
#include <godwit/control/deployment.h>

namespace godwit {

struct CreateDeployment
{
    DeploymentId deployment;
    Deployment contents;

    friend bool operator==(const CreateDeployment &, const CreateDeployment &) = default;
};

template <>
struct JsonFields<CreateDeployment>
{
    static constexpr auto table = std::tuple{field("deployment", &CreateDeployment::deployment),
                                             field("contents", &CreateDeployment::contents)};
};

} // namespace godwit
