#pragma once

#include <godwit/requests/slotowner.h>
#include <godwit/requests/slotsuccessor.h>

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace godwit::test {

/// In-memory key-value service that executes calls immediately.
class FakeStorage
{
public:
    SlotStorageReply execute(const SlotStorageCall &call)
    {
        using Status = SlotStorageReply::Status;
        auto &[revision, value] = m_values[call.key];
        switch (call.kind) {
        case SlotStorageCall::Kind::Read:
            return {call.id, revision ? Status::Ok : Status::NotFound, Revision{revision}, value};
        case SlotStorageCall::Kind::CompareAndSwap:
            if (call.expected.value != revision)
                return {call.id, Status::CompareFailed, {}, {}};
            revision = ++m_lastRevision;
            value = call.value;
            return {call.id, Status::Ok, Revision{revision}, {}};
        case SlotStorageCall::Kind::Delete:
            revision = 0;
            value.clear();
            return {call.id, Status::Ok, {}, {}};
        }
        return {};
    }

    std::string value(const std::string &key) { return m_values[key].second; }
    void put(const std::string &key, std::string value)
    {
        m_values[key] = {++m_lastRevision, value};
    }

private:
    std::uint64_t m_lastRevision = 0;
    std::map<std::string, std::pair<std::uint64_t, std::string>> m_values;
};

inline void append(SlotActions &to, SlotActions from)
{
    std::copy(from.storage.begin(), from.storage.end(), std::back_inserter(to.storage));
    std::copy(from.dispatches.begin(), from.dispatches.end(), std::back_inserter(to.dispatches));
    std::copy(from.replies.begin(), from.replies.end(), std::back_inserter(to.replies));
    std::copy(from.promiseRequests.begin(), from.promiseRequests.end(),
              std::back_inserter(to.promiseRequests));
}

} // namespace godwit::test
