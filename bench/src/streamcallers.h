#pragma once

#include <godwit/ports/httpendpoint.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace godwit {

/// Measurements of the callers while they record, in microseconds. Callers and engine stand-ins use
/// the same clock of the machine, so the transit time of a token is its arrival time minus its send
/// time.
struct StreamSamples
{
    std::vector<std::uint32_t> firstToken; ///< From sending a request to its first token.
    std::vector<std::uint32_t> gap;        ///< Between two tokens of a stream.
    std::vector<std::uint32_t> transit;    ///< From the engine's write to the caller's read.
    std::uint64_t tokens = 0;
};

/// Load that the callers generate.
struct StreamLoad
{
    std::vector<HttpEndpoint> endpoints; ///< Assigned to the streams round-robin.
    std::size_t threads = 1;
    double tokensPerSecond = 1; ///< Per stream.
    std::uint64_t maxTokens = 1;
    bool isStamped = true; ///< Engines add the send time to tokens, for StreamSamples::transit.
};

/// Callers that keep many streamed completions open. Each stream sends its next request when the
/// response has ended. The streams are divided among threads, which use asynchronous calls.
class StreamCallers
{
public:
    explicit StreamCallers(StreamLoad load);
    ~StreamCallers();
    StreamCallers(const StreamCallers &) = delete;
    StreamCallers &operator=(const StreamCallers &) = delete;

    /// Starts \a count more streams, spread evenly over the duration of one response, at most 1 s.
    void addStreams(std::size_t count);

    void setRecording(bool isRecording) { m_isRecording = isRecording; }

    /// Ends all streams and returns the samples.
    StreamSamples stop();

    std::uint64_t tokens() const { return m_tokens; }
    std::uint64_t failures() const { return m_failures; }
    std::string lastFailure() const;

    /// Number of streams that have received a token of their current response.
    std::size_t openStreamCount() const { return m_open; }

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
