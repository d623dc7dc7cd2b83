#pragma once

#include <godwit/language/condition.h>
#include <godwit/language/showsubject.h>

namespace godwit {

/// Query: the objects of one kind that satisfy a condition.
struct ShowQuery
{
    ShowSubject subject = ShowSubject::Replicas;
    Condition where;

    friend bool operator==(const ShowQuery &, const ShowQuery &) = default;
};

} // namespace godwit
