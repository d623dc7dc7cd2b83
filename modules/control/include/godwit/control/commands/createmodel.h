#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/json.h>

namespace godwit {

/// Creates a model without versions in a deployment of kind Model.
struct CreateModel
{
    ModelId model;
    DeploymentId deployment;

    friend bool operator==(const CreateModel &, const CreateModel &) = default;
};

template <>
struct JsonFields<CreateModel>
{
    static constexpr auto table = std::tuple{field("model", &CreateModel::model),
                                             field("deployment", &CreateModel::deployment)};
};

} // namespace godwit
