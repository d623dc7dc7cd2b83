#pragma once

#include <string>

namespace godwit {

/// Interface for the export of finished spans.
class SpanExporter
{
public:
    virtual ~SpanExporter() = default;

    /// Exports an OTLP ExportTraceServiceRequest in JSON encoding.
    virtual void exportSpans(const std::string &otlpJson) = 0;
};

} // namespace godwit
