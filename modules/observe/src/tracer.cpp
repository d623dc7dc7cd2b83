#include <godwit/observe/tracer.h>

#include <boost/json.hpp>

#include <cmath>

namespace godwit {

namespace {

namespace json = boost::json;

// Values of OTLP enumerations.
constexpr int SpanKindServer = 2;
constexpr int StatusError = 2;

template <std::size_t N>
void fillRandom(std::array<std::uint8_t, N> &bytes, Random &random)
{
    static_assert(N % 8 == 0);
    for (std::size_t i = 0; i < N; i += 8) {
        std::uint64_t word = random();
        if (word == 0) // an all-zero id is invalid
            word = 1;
        for (std::size_t k = 0; k < 8; ++k)
            bytes[i + k] = static_cast<std::uint8_t>(word >> (8 * k));
    }
}

/// Returns Unix time in nanoseconds, as a string: the JSON encoding of OTLP represents 64-bit
/// integers as strings.
std::string unixNanos(TimePoint time, Duration offset)
{
    const auto nanos =
            std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch() + offset);
    return std::to_string(nanos.count());
}

json::object encodeValue(const json::value &value)
{
    if (value.is_bool())
        return {{"boolValue", value}};
    if (value.is_int64() || value.is_uint64())
        return {{"intValue", json::serialize(value)}};
    if (value.is_double())
        return {{"doubleValue", value}};
    if (value.is_string())
        return {{"stringValue", value}};
    return {{"stringValue", json::serialize(value)}};
}

json::object encodeAttribute(std::string_view name, const json::value &value)
{
    return {{"key", json::string(name.data(), name.size())}, {"value", encodeValue(value)}};
}

} // namespace

Span::Span(Tracer *tracer, std::string name, const TraceContext &context, TimePoint start)
    : m_tracer(tracer)
    , m_name(std::move(name))
    , m_context(context)
    , m_start(start)
    , m_end(start)
{}

Span::Span(Span &&other) noexcept
    : m_tracer(std::exchange(other.m_tracer, nullptr))
    , m_name(std::move(other.m_name))
    , m_context(other.m_context)
    , m_parent(other.m_parent)
    , m_start(other.m_start)
    , m_end(other.m_end)
    , m_attributes(std::move(other.m_attributes))
    , m_error(std::move(other.m_error))
{}

Span &Span::operator=(Span &&other) noexcept
{
    m_tracer = std::exchange(other.m_tracer, nullptr);
    m_name = std::move(other.m_name);
    m_context = other.m_context;
    m_parent = other.m_parent;
    m_start = other.m_start;
    m_end = other.m_end;
    m_attributes = std::move(other.m_attributes);
    m_error = std::move(other.m_error);
    return *this;
}

void Span::setAttribute(std::string_view name, json::value value)
{
    if (m_context.sampled && m_attributes.size() < MaxAttributes)
        m_attributes.emplace_back(name, std::move(value));
}

void Span::setError(const Error &error)
{
    m_error = toString(error);
    setAttribute("result_code", static_cast<int>(error.code));
}

void Span::end(TimePoint now)
{
    Tracer *tracer = std::exchange(m_tracer, nullptr);
    if (!tracer || !m_context.sampled)
        return;
    m_end = now;
    tracer->record(std::move(*this));
}

Tracer::Tracer(TracerOptions options, Random random)
    : m_options(std::move(options))
    , m_random(random)
{}

Span Tracer::start(std::string name, std::string_view traceparent, TimePoint now)
{
    if (const auto parent = TraceContext::parse(traceparent))
        return startChild(std::move(name), *parent, now);
    const std::lock_guard lock(m_mutex);
    return {this, std::move(name), newRootContext(), now};
}

Span Tracer::startChild(std::string name, const TraceContext &parent, TimePoint now)
{
    TraceContext context = parent;
    {
        const std::lock_guard lock(m_mutex);
        context.spanId = newSpanId();
    }
    Span span(this, std::move(name), context, now);
    span.m_parent = parent.spanId;
    return span;
}

void Tracer::flush(SpanExporter &exporter)
{
    std::vector<Span> finished;
    {
        const std::lock_guard lock(m_mutex);
        finished.swap(m_finished);
    }
    if (finished.empty())
        return;
    json::array spans;
    for (const Span &span : finished)
        spans.push_back(encode(span));
    const json::object resource{
            {"attributes",
             json::array{encodeAttribute("service.name", json::string(m_options.serviceName))}}};
    const json::object scope{{"scope", {{"name", "godwitrun"}}}, {"spans", std::move(spans)}};
    const json::object group{{"resource", resource}, {"scopeSpans", json::array{scope}}};
    exporter.exportSpans(json::serialize(json::object{{"resourceSpans", json::array{group}}}));
}

std::uint64_t Tracer::dropped() const
{
    const std::lock_guard lock(m_mutex);
    return m_dropped;
}

void Tracer::record(Span &&span)
{
    const std::lock_guard lock(m_mutex);
    if (m_finished.size() >= m_options.capacity)
        ++m_dropped;
    else
        m_finished.push_back(std::move(span));
}

TraceContext Tracer::newRootContext()
{
    TraceContext context;
    fillRandom(context.traceId, m_random);
    fillRandom(context.spanId, m_random);
    context.sampled = m_random.chance(m_options.sampleRatio);
    return context;
}

std::array<std::uint8_t, 8> Tracer::newSpanId()
{
    std::array<std::uint8_t, 8> id{};
    fillRandom(id, m_random);
    return id;
}

json::object Tracer::encode(const Span &span) const
{
    json::object object{{"traceId", toHex(span.m_context.traceId)},
                        {"spanId", toHex(span.m_context.spanId)},
                        {"name", span.m_name},
                        {"kind", SpanKindServer},
                        {"startTimeUnixNano", unixNanos(span.m_start, m_options.unixTimeOffset)},
                        {"endTimeUnixNano", unixNanos(span.m_end, m_options.unixTimeOffset)}};
    if (span.m_parent)
        object["parentSpanId"] = toHex(*span.m_parent);
    json::array attributes;
    for (const auto &[name, value] : span.m_attributes)
        attributes.push_back(encodeAttribute(name, value));
    object["attributes"] = std::move(attributes);
    if (span.m_error)
        object["status"] = {{"code", StatusError}, {"message", *span.m_error}};
    return object;
}

} // namespace godwit
