#pragma once

#include <godwit/base/random.h>
#include <godwit/base/time.h>
#include <godwit/observe/span.h>
#include <godwit/observe/spanexporter.h>

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace godwit {

struct TracerOptions
{
    std::string serviceName = "godwitd";
    double sampleRatio = 0.01;   ///< Fraction of new traces that are sampled.
    std::size_t capacity = 2048; ///< Maximum number of finished spans buffered for export.
    Duration unixTimeOffset{0};  ///< Unix time minus TimePoint.
};

/// Creates spans and buffers finished ones until they are exported. Thread safe.
class Tracer
{
public:
    Tracer(TracerOptions options, Random random);

    /// Starts a span that continues the trace of \a traceparent, or a new trace if the header is
    /// empty or malformed. A continued trace inherits the sampling decision of the caller.
    Span start(std::string name, std::string_view traceparent, TimePoint now);

    /// Starts a child span of \a parent.
    Span startChild(std::string name, const TraceContext &parent, TimePoint now);

    /// Passes all finished spans to \a exporter and removes them. Does nothing if there are none.
    void flush(SpanExporter &exporter);

    /// Number of sampled spans dropped because the buffer was full.
    std::uint64_t dropped() const;

private:
    friend class Span;

    void record(Span &&span);
    TraceContext newRootContext();
    std::array<std::uint8_t, 8> newSpanId();
    boost::json::object encode(const Span &span) const;

    const TracerOptions m_options;
    mutable std::mutex m_mutex;
    Random m_random;
    std::vector<Span> m_finished;
    std::uint64_t m_dropped = 0;
};

} // namespace godwit
