#include "streamcallers.h"

#include <godwit/ports/httpclient.h>
#include <godwit/ports/sseparser.h>
#include <godwit/wire/iothread.h>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <future>
#include <mutex>

namespace godwit {

namespace {

constexpr std::size_t Customers = 20;
constexpr std::size_t PromptCharacters = 400; ///< 100 tokens.
constexpr Duration RetryPause = std::chrono::milliseconds(200);
constexpr Duration MaxRampTime = std::chrono::seconds(1);

std::uint32_t microseconds(Duration span)
{
    return static_cast<std::uint32_t>(std::max<Duration::rep>(span.count(), 0));
}

/// Returns the value of the field sent_us in \a event, or the zero time if it is missing. A full
/// JSON parse would cost the callers more than the entry process spends on the event.
TimePoint parseSentTime(std::string_view event)
{
    constexpr std::string_view name = "\"sent_us\":";
    std::int64_t us = 0;
    if (const auto at = event.rfind(name); at != std::string_view::npos)
        std::from_chars(event.data() + at + name.size(), event.data() + event.size(), us);
    return TimePoint(Duration(us));
}

} // namespace

/// A thread and its streams. The streams, samples and client are used only on that thread.
class StreamCallers::Worker
{
public:
    explicit Worker(StreamCallers &callers)
        : m_callers(callers)
        , m_client(std::make_unique<HttpClient>(m_thread.io(), HttpClientOptions{10'000}))
    {}

    void add(std::size_t number, Duration delay)
    {
        boost::asio::post(m_thread.io(), [this, number, delay] {
            auto stream = std::make_shared<Stream>(m_thread.io());
            stream->number = number;
            m_streams.push_back(stream);
            startAfter(stream, delay);
        });
    }

    /// Cancels all calls and returns the samples. Timers that expire later do nothing, since the
    /// client is gone.
    StreamSamples stop()
    {
        std::promise<void> done;
        boost::asio::post(m_thread.io(), [&] {
            m_client.reset();
            for (const auto &stream : m_streams)
                stream->timer.cancel();
            m_streams.clear();
            done.set_value();
        });
        done.get_future().wait();
        return std::move(m_samples);
    }

    std::string lastFailure()
    {
        const std::lock_guard lock(m_mutex);
        return m_lastFailure;
    }

private:
    struct Stream
    {
        explicit Stream(boost::asio::io_context &io)
            : timer(io)
        {}
        std::size_t number = 0;
        SseParser parser;
        TimePoint sent;
        TimePoint last;
        std::uint64_t tokens = 0; ///< Of the current response.
        bool isDone = false;
        int status = 0;
        std::string errorText;
        boost::asio::steady_timer timer;
    };
    using StreamPointer = std::shared_ptr<Stream>;

    void startAfter(const StreamPointer &stream, Duration delay)
    {
        stream->timer.expires_after(delay);
        stream->timer.async_wait([this, stream](const boost::system::error_code &ec) {
            if (!ec && m_client)
                start(stream);
        });
    }

    HttpCall makeCall(const Stream &stream) const
    {
        const StreamLoad &load = m_callers.m_load;
        const std::string name = std::to_string(stream.sent.time_since_epoch().count()) + '-'
                                 + std::to_string(stream.number);
        // Starts with a unique text, so that no engine has a prefix of it in its prefix cache.
        std::string prompt = name + " Summarize the open tickets of this group for the dryer.";
        prompt.resize(PromptCharacters, '.');
        HttpCall call;
        call.endpoint = load.endpoints[stream.number % load.endpoints.size()];
        call.method = "POST";
        call.target = "/v1/chat/completions";
        call.headers.add("Content-Type", "application/json");
        call.headers.add("X-Customer", "customer-" + std::to_string(stream.number % Customers));
        call.headers.add("X-Deadline-Ms", "3600000");
        // Used by the engine if the caller is connected to it directly.
        call.headers.add("X-Model", "grain");
        call.headers.add("X-Request-Id", "0123456789abcdef0123456789abcdef");
        call.body = boost::json::serialize(boost::json::object{
                {"model", "assistant/grain"},
                {"stream", true},
                {"max_tokens", load.maxTokens},
                {"messages", boost::json::array{{{"role", "user"}, {"content", prompt}}}},
                {"standin", boost::json::object{{"tokens_per_second", load.tokensPerSecond},
                                                {"stamp", load.isStamped}}}});
        call.idleTimeout = std::chrono::seconds(30);
        call.bodyLimit = std::uint64_t(1) << 40;
        return call;
    }

    void start(const StreamPointer &stream)
    {
        stream->parser = SseParser();
        stream->tokens = 0;
        stream->isDone = false;
        stream->status = 0;
        stream->errorText.clear();
        stream->sent = MonotonicClock::now();
        HttpStreamHandlers handlers;
        handlers.onHeader = [stream](int status, const HttpHeaders &) { stream->status = status; };
        handlers.onData = [this, stream](std::string_view data) { handleData(*stream, data); };
        handlers.onEnd = [this, stream](const Outcome<std::monostate> &outcome) {
            handleEnd(stream, outcome);
        };
        m_client->stream(makeCall(*stream), std::move(handlers));
    }

    void handleData(Stream &stream, std::string_view data)
    {
        if (stream.status != 200) {
            stream.errorText += data;
            return;
        }
        const TimePoint now = MonotonicClock::now();
        stream.parser.feed(data, [&](const std::string &event) {
            if (event == "[DONE]")
                stream.isDone = true;
            else if (event.starts_with("{\"error\""))
                stream.errorText = event;
            else
                recordToken(stream, event, now);
        });
    }

    void recordToken(Stream &stream, std::string_view event, TimePoint now)
    {
        m_callers.m_tokens.fetch_add(1, std::memory_order_relaxed);
        const bool isFirst = stream.tokens++ == 0;
        if (isFirst)
            ++m_callers.m_open;
        const TimePoint last = std::exchange(stream.last, now);
        if (!m_callers.m_isRecording.load(std::memory_order_relaxed))
            return;
        ++m_samples.tokens;
        if (isFirst)
            m_samples.firstToken.push_back(microseconds(now - stream.sent));
        else
            m_samples.gap.push_back(microseconds(now - last));
        if (const TimePoint sent = parseSentTime(event); sent != TimePoint())
            m_samples.transit.push_back(microseconds(now - sent));
    }

    void handleEnd(const StreamPointer &stream, const Outcome<std::monostate> &outcome)
    {
        if (stream->tokens > 0)
            --m_callers.m_open;
        const bool isComplete = succeeded(outcome) && stream->isDone
                                && stream->tokens == m_callers.m_load.maxTokens;
        if (!isComplete) {
            ++m_callers.m_failures;
            const std::lock_guard lock(m_mutex);
            m_lastFailure = succeeded(outcome) ? "status " + std::to_string(stream->status) + ' '
                                                         + stream->errorText
                                               : toString(std::get<1>(outcome));
        }
        startAfter(stream, isComplete ? Duration(0) : RetryPause);
    }

    StreamCallers &m_callers;
    std::mutex m_mutex;
    std::string m_lastFailure; ///< Guarded by m_mutex.
    StreamSamples m_samples;
    IoThread m_thread;
    std::vector<StreamPointer> m_streams;
    std::unique_ptr<HttpClient> m_client;
};

StreamCallers::StreamCallers(StreamLoad load)
    : m_load(std::move(load))
{
    for (std::size_t i = 0; i < m_load.threads; ++i)
        m_workers.push_back(std::make_unique<Worker>(*this));
}

StreamCallers::~StreamCallers()
{
    stop();
}

void StreamCallers::addStreams(std::size_t count)
{
    const double response = static_cast<double>(m_load.maxTokens) / m_load.tokensPerSecond;
    const double ramp = std::min(response, toSeconds(MaxRampTime));
    for (std::size_t i = 0; i < count; ++i) {
        const double share = static_cast<double>(i) / static_cast<double>(count);
        const std::size_t number = m_next++;
        m_workers[number % m_workers.size()]->add(number, fromSeconds(ramp * share));
    }
}

StreamSamples StreamCallers::stop()
{
    StreamSamples all;
    for (const auto &worker : m_workers) {
        const StreamSamples samples = worker->stop();
        const auto append = [](auto &to, const auto &from) {
            to.insert(to.end(), from.begin(), from.end());
        };
        append(all.firstToken, samples.firstToken);
        append(all.gap, samples.gap);
        append(all.transit, samples.transit);
        all.tokens += samples.tokens;
    }
    m_workers.clear();
    return all;
}

std::string StreamCallers::lastFailure() const
{
    for (const auto &worker : m_workers) {
        if (auto text = worker->lastFailure(); !text.empty())
            return text;
    }
    return {};
}

} // namespace godwit
