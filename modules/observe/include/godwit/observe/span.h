#pragma once

#include <godwit/base/error.h>
#include <godwit/base/time.h>
#include <godwit/observe/tracecontext.h>

#include <boost/json/value.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace godwit {

class Tracer;

/// Timed operation of a trace. end() records it; a span destroyed without end() is not exported.
/// Not thread safe. The tracer must outlive the span.
class Span
{
public:
    /// Maximum number of attributes. Further ones are ignored, which bounds the memory of a span.
    static constexpr std::size_t MaxAttributes = 32;

    Span(Span &&other) noexcept;
    Span &operator=(Span &&other) noexcept;

    /// Trace context to send in the `traceparent` header of calls made within this operation.
    const TraceContext &context() const { return m_context; }

    /// Adds an attribute with a string, boolean, integer or floating point value.
    void setAttribute(std::string_view name, boost::json::value value);

    /// Marks the operation as failed.
    void setError(const Error &error);

    /// Ends the operation and passes the span to the tracer. Further calls have no effect.
    void end(TimePoint now);

private:
    friend class Tracer;
    Span(Tracer *tracer, std::string name, const TraceContext &context, TimePoint start);

    Tracer *m_tracer; ///< Null after end().
    std::string m_name;
    TraceContext m_context;
    std::optional<std::array<std::uint8_t, 8>> m_parent;
    TimePoint m_start;
    TimePoint m_end;
    std::vector<std::pair<std::string, boost::json::value>> m_attributes;
    std::optional<std::string> m_error;
};

} // namespace godwit
