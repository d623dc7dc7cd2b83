#include <godwit/observe/metricsregistry.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <stdexcept>
#include <string_view>

namespace godwit {

namespace {

constexpr std::array<std::string_view, 3> KindNames{"counter", "gauge", "summary"};

bool isLetter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_';
}

void validateName(const std::string &name)
{
    const auto allowed = [](char c) { return isLetter(c) || (c >= '0' && c <= '9'); };
    if (name.empty() || !isLetter(name.front()) || !std::ranges::all_of(name, allowed))
        throw std::invalid_argument("invalid metric or label name '" + name + '\'');
}

std::string escape(std::string_view text, bool quotes)
{
    std::string escaped;
    for (const char c : text) {
        if (c == '\\')
            escaped += "\\\\";
        else if (c == '\n')
            escaped += "\\n";
        else if (c == '"' && quotes)
            escaped += "\\\"";
        else
            escaped += c;
    }
    return escaped;
}

std::string formatNumber(double value)
{
    if (std::isnan(value))
        return "NaN";
    if (std::isinf(value))
        return value > 0 ? "+Inf" : "-Inf";
    std::array<char, 32> buf{};
    const auto result = std::to_chars(buf.data(), buf.data() + buf.size(), value);
    return {buf.data(), result.ptr};
}

std::string formatLabels(const Labels &labels)
{
    if (labels.empty())
        return {};
    std::string text;
    for (const auto &[name, value] : labels)
        text += (text.empty() ? "{" : ",") + name + "=\"" + escape(value, true) + '"';
    return text + '}';
}

void writeLine(std::string &out, const std::string &name, const Labels &labels,
               const std::string &value)
{
    out += name + formatLabels(labels) + ' ' + value + '\n';
}

void writeMetric(std::string &out, const std::string &name, const Labels &labels,
                 const Counter &counter)
{
    writeLine(out, name, labels, std::to_string(counter.value()));
}

void writeMetric(std::string &out, const std::string &name, const Labels &labels,
                 const Gauge &gauge)
{
    writeLine(out, name, labels, formatNumber(gauge.value()));
}

void writeMetric(std::string &out, const std::string &name, const Labels &labels,
                 const Summary &summary)
{
    const auto snapshot = summary.snapshot();
    for (const auto &quantile : snapshot.quantiles) {
        Labels all = labels;
        all.emplace_back("quantile", formatNumber(quantile.probability));
        writeLine(out, name, all, formatNumber(quantile.value));
    }
    writeLine(out, name + "_sum", labels, formatNumber(snapshot.sum));
    writeLine(out, name + "_count", labels, std::to_string(snapshot.count));
}

} // namespace

MetricsRegistry::MetricsRegistry() = default;
MetricsRegistry::~MetricsRegistry() = default;

Counter &MetricsRegistry::counter(const std::string &name, const std::string &help, Labels labels)
{
    return findOrCreate<Counter>(name, help, std::move(labels));
}

Gauge &MetricsRegistry::gauge(const std::string &name, const std::string &help, Labels labels)
{
    return findOrCreate<Gauge>(name, help, std::move(labels));
}

Summary &MetricsRegistry::summary(const std::string &name, const std::string &help, Labels labels)
{
    return findOrCreate<Summary>(name, help, std::move(labels));
}

template <typename T>
T &MetricsRegistry::findOrCreate(const std::string &name, const std::string &help, Labels labels)
{
    validateName(name);
    for (const auto &label : labels)
        validateName(label.first);
    std::ranges::sort(labels);

    const Metric empty = std::unique_ptr<T>();
    const std::lock_guard lock(m_mutex);
    auto [family, added] = m_families.try_emplace(name, Family{help, empty.index(), {}});
    if (family->second.kind != empty.index())
        throw std::invalid_argument("metric '" + name
                                    + "' is already registered with another kind");
    auto &series = family->second.series;
    if (series.size() >= MaxSeries && !series.contains(labels)) {
        for (auto &label : labels)
            label.second = "other";
    }
    auto [it, created] = series.try_emplace(std::move(labels));
    if (created)
        it->second = std::make_unique<T>();
    return *std::get<std::unique_ptr<T>>(it->second);
}

std::string MetricsRegistry::text() const
{
    const std::lock_guard lock(m_mutex);
    std::string out;
    for (const auto &item : m_families) {
        const std::string &name = item.first;
        const Family &family = item.second;
        out += "# HELP " + name + ' ' + escape(family.help, false) + '\n';
        out += "# TYPE " + name + ' ' + std::string(KindNames[family.kind]) + '\n';
        for (const auto &series : family.series)
            std::visit([&](const auto &it) { writeMetric(out, name, series.first, *it); },
                       series.second);
    }
    return out;
}

} // namespace godwit
