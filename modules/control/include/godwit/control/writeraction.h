#pragma once

#include <godwit/base/time.h>
#include <godwit/control/writeresult.h>

#include <cstdint>
#include <string>
#include <variant>

namespace godwit {

/// Read the document and pass the reply with the call number to ConfigurationWriter::onRead().
struct ReadConfiguration
{
    std::uint64_t call;
};

/// Write the document by compare-and-swap and pass the reply to ConfigurationWriter::onWrite().
struct WriteConfiguration
{
    std::uint64_t call;
    std::uint64_t expected; ///< Expected store revision; 0 if the key must not exist.
    std::string value;
};

/// Call ConfigurationWriter::onTimer() at this time.
struct WakeWriter
{
    TimePoint at;
};

/// The command has its final outcome.
struct FinishWrite
{
    WriteResult result;
};

using WriterAction = std::variant<ReadConfiguration, WriteConfiguration, WakeWriter, FinishWrite>;

} // namespace godwit
