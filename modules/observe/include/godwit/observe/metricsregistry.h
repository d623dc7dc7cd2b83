#pragma once

#include <godwit/observe/counter.h>
#include <godwit/observe/gauge.h>
#include <godwit/observe/summary.h>

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace godwit {

/// Label names and values of one time series.
using Labels = std::vector<std::pair<std::string, std::string>>;

/// Registry of all metrics of a process. Returned references stay valid for the lifetime of the
/// registry; hot paths look up a metric once and keep the reference. Thread safe.
///
/// Names and label names consist of letters, digits and underscores and do not start with a digit.
/// An invalid name, or the same name for two kinds of metric, is a programming error and throws
/// std::invalid_argument.
class MetricsRegistry
{
public:
    /// Maximum number of time series per metric name. Further label values share one series whose
    /// label values are "other", so that high-cardinality input cannot exhaust memory.
    static constexpr std::size_t MaxSeries = 1000;

    MetricsRegistry();
    ~MetricsRegistry();

    /// Returns the metric with this name and these labels, and creates it on first use. The order
    /// of the labels is not significant. The \a help text of the first call is kept.
    Counter &counter(const std::string &name, const std::string &help, Labels labels = {});
    Gauge &gauge(const std::string &name, const std::string &help, Labels labels = {});
    Summary &summary(const std::string &name, const std::string &help, Labels labels = {});

    /// Formats all metrics in the Prometheus text exposition format 0.0.4, sorted by name.
    std::string text() const;

private:
    using Metric = std::variant<std::unique_ptr<Counter>, std::unique_ptr<Gauge>,
                                std::unique_ptr<Summary>>;
    struct Family
    {
        std::string help;
        std::size_t kind = 0; ///< Index of the alternative in Metric.
        std::map<Labels, Metric> series;
    };

    template <typename T>
    T &findOrCreate(const std::string &name, const std::string &help, Labels labels);

    mutable std::mutex m_mutex;
    std::map<std::string, Family> m_families;
};

} // namespace godwit
