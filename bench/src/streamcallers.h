#pragma once

#include <godwit/ports/httpendpoint.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace godwit {

/// What the callers measured while they were recording, in microseconds. The clock of the machine
/// is shared with the engine stand-ins, so that the way of a token is arrival less departure.
struct StreamSamples
{
    std::vector<std::uint32_t> firstToken; ///< From sending a request to its first token.
    std::vector<std::uint32_t> gap;        ///< Between two tokens of a stream.
    std::vector<std::uint32_t> transit;    ///< From the engine's write to the caller's read.
    std::uint64_t tokens = 0;
};

/// Load that the callers create.
struct StreamLoad
{
    std::vector<HttpEndpoint> endpoints; ///< Streams are spread over them in turn.
    std::size_t threads = 1;
    double tokensPerSecond = 1; ///< Of one stream.
    std::uint64_t maxTokens = 1;
    bool isStamped = true; ///< Engines stamp their tokens, for StreamSamples::transit.
};

/// Callers that keep many streamed completions open, each sending its next request when a response
/// has ended. Each thread serves its share of the streams with asynchronous calls.
class StreamCallers
{
public:
    explicit StreamCallers(StreamLoad load);
    ~StreamCallers();
    StreamCallers(const StreamCallers &) = delete;
    StreamCallers &operator=(const StreamCallers &) = delete;

    /// Starts \a count more streams, evenly over the time that one response takes, at most 1 s.
    void add(std::size_t count);

    void record(bool isRecording) { m_isRecording = isRecording; }

    /// Ends all streams and returns the samples.
    StreamSamples stop();

    std::uint64_t tokens() const { return m_tokens; }
    std::uint64_t failures() const { return m_failures; }
    std::string lastFailure() const;

    /// Streams that have received a token of their present response.
    std::size_t open() const { return m_open; }

private:
    class Worker;

    StreamLoad m_load;
    std::atomic<bool> m_isRecording = false;
    std::atomic<std::uint64_t> m_tokens = 0;
    std::atomic<std::uint64_t> m_failures = 0;
    std::atomic<std::size_t> m_open = 0;
    std::size_t m_next = 0;
    std::vector<std::unique_ptr<Worker>> m_workers;
};

} // namespace godwit
