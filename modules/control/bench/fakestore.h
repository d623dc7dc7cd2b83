#pragma once

#include <godwit/base/random.h>
#include <godwit/control/storagereply.h>

#include <cstdint>
#include <string>
#include <vector>

namespace godwit::bench {

/// One key of an in-memory key-value service with compare-and-swap on its store revision. Keeps all
/// values that the key has had.
class FakeStore
{
public:
    StorageReply read()
    {
        ++calls;
        return {StorageStatus::Success, m_revision, m_value};
    }

    StorageReply write(std::uint64_t expected, const std::string &value)
    {
        ++calls;
        if (expected != m_revision)
            return {StorageStatus::CompareFailed, m_revision, {}};
        ++m_revision;
        m_value = value;
        history.push_back(value);
        return {StorageStatus::Success, m_revision, {}};
    }

    std::uint64_t revision() const { return m_revision; }

    std::uint64_t calls = 0;
    std::vector<std::string> history;

private:
    std::uint64_t m_revision = 0;
    std::string m_value;
};

} // namespace godwit::bench
