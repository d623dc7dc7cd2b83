#include "callers.h"

#include <godwit/base/json.h>
#include <godwit/base/rendezvous.h>

#include <chrono>
#include <set>
#include <sstream>

namespace godwit {

namespace {

constexpr std::size_t MaxAttempts = 8;
constexpr double BookingShare = 0.25;
constexpr std::chrono::milliseconds ThinkTime{30};
constexpr std::chrono::milliseconds RetryPause{150};
constexpr std::string_view LastAttempt = "; last attempt: ";

/// Returns the index of a random entry process other than \a entry, as a load balancer would pick
/// after a failure.
std::size_t differentEntry(std::size_t entry, std::size_t count, Random &random)
{
    return count < 2 ? entry : (entry + 1 + random.below(count - 1)) % count;
}

/// Builds a POST request from a random one of ten customers.
HttpCall makeCall(const HttpEndpoint &entry, std::string target, std::string body, Random &random)
{
    HttpCall call;
    call.endpoint = entry;
    call.method = "POST";
    call.target = std::move(target);
    call.headers.add("X-Customer", "customer-" + std::to_string(random.below(10)));
    call.headers.add("X-Deadline-Ms", "20000");
    call.body = std::move(body);
    call.idleTimeout = std::chrono::seconds(30);
    return call;
}

double secondsSince(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

const boost::json::object *objectMember(const boost::json::object &json, std::string_view name)
{
    const auto *it = json.if_contains(boost::json::string_view(name.data(), name.size()));
    return it && it->is_object() ? &it->get_object() : nullptr;
}

std::string stringMember(const boost::json::object &json, std::string_view name)
{
    const auto *it = json.if_contains(boost::json::string_view(name.data(), name.size()));
    return it && it->is_string() ? std::string(it->get_string()) : std::string();
}

/// Stores the name of \a error as the reason in \a record and returns its run state.
std::string recordError(const boost::json::object &error, CallerRecord &record)
{
    record.reason = stringMember(error, "name");
    const std::string message = stringMember(error, "message");
    if (const auto at = message.find(LastAttempt); at != std::string::npos)
        record.reason += " after " + message.substr(at + LastAttempt.size());
    return stringMember(error, "run_state");
}

std::string readRunState(const std::string &body, CallerRecord &record)
{
    boost::json::error_code ec;
    const auto json = boost::json::parse(body, ec);
    if (ec || !json.is_object())
        return "unknown";
    const auto *error = objectMember(json.get_object(), "error");
    return error ? recordError(*error, record) : "unknown";
}

/// Derives the state of \a record from the server-sent events in \a body: whether the stream is
/// complete, in order, and from one request and one version.
void checkStreamedResponse(const std::string &body, CallerRecord &record)
{
    std::set<std::string> versions;
    std::set<std::string> requests;
    std::uint64_t next = 0;
    bool isDone = false;
    bool isOrdered = true;
    std::istringstream lines(body);
    for (std::string line; std::getline(lines, line);) {
        if (!line.starts_with("data: "))
            continue;
        const std::string data = line.substr(6);
        if (data == "[DONE]") {
            isDone = true;
            continue;
        }
        boost::json::error_code ec;
        const auto json = boost::json::parse(data, ec);
        if (ec || !json.is_object())
            continue;
        const auto &event = json.get_object();
        if (const auto *error = objectMember(event, "error")) {
            record.state = recordError(*error, record);
            continue;
        }
        const auto *origin = objectMember(event, "origin");
        if (!origin)
            continue;
        versions.insert(stringMember(event, "model") + '/' + stringMember(*origin, "version"));
        requests.insert(stringMember(*origin, "request"));
        const auto *position = origin->if_contains("position");
        isOrdered = isOrdered && position && position->to_number<std::uint64_t>() == next++;
    }
    record.isMixed = versions.size() > 1 || requests.size() > 1
                     || (!requests.empty() && !record.request.empty()
                         && *requests.begin() != record.request);
    if (isDone && !isOrdered)
        record.isIncomplete = true;
    if (isDone)
        record.state = "answered";
    else if (record.state.empty() || record.state == "answered")
        record.state = "broken";
}

} // namespace

Callers::Callers(std::vector<HttpEndpoint> entries, std::size_t count, std::uint64_t seed,
                 std::string keyPrefix)
    : m_entries(std::move(entries))
    , m_keyPrefix(std::move(keyPrefix))
{
    // Hashing the seed with the index keeps runs with adjacent seeds from sharing random sequences
    // between their callers.
    for (std::size_t i = 0; i < count; ++i)
        m_threads.emplace_back([this, i, seed] { run(i, stableHash(std::to_string(seed), i)); });
}

Callers::~Callers()
{
    stop();
}

std::vector<CallerRecord> Callers::stop()
{
    m_stopping = true;
    for (auto &thread : m_threads) {
        if (thread.joinable())
            thread.join();
    }
    const std::lock_guard lock(m_mutex);
    return m_records;
}

void Callers::run(std::size_t index, std::uint64_t seed)
{
    SyncHttp http;
    Random random(seed);
    for (std::size_t number = 0; !m_stopping; ++number) {
        ++m_sent;
        CallerRecord record;
        if (random.chance(BookingShare))
            record = book(http, random,
                          m_keyPrefix + '-' + std::to_string(index) + '-' + std::to_string(number));
        else
            record = complete(http, random, number);
        {
            const std::lock_guard lock(m_mutex);
            m_records.push_back(std::move(record));
        }
        std::this_thread::sleep_for(ThinkTime);
    }
}

CallerRecord Callers::complete(SyncHttp &http, Random &random, std::size_t number)
{
    const auto start = std::chrono::steady_clock::now();
    const std::string prompt = "Summarize ticket group " + std::to_string(random.below(40))
                               + " for the dryer, line " + std::to_string(number);
    const bool isStreamed = random.chance(0.7);
    const std::string body = boost::json::serialize(boost::json::object{
            {"model", "assistant/grain"},
            {"stream", isStreamed},
            {"max_tokens", 8 + random.below(24)},
            {"messages", boost::json::array{{{"role", "user"}, {"content", prompt}}}}});
    CallerRecord record;
    std::size_t entry = random.below(m_entries.size());
    for (std::size_t attempt = 0; attempt < MaxAttempts;
         ++attempt, entry = differentEntry(entry, m_entries.size(), random)) {
        HttpCall call = makeCall(m_entries[entry], "/v1/chat/completions", body, random);
        call.headers.add("Content-Type", "application/json");
        const auto outcome = http.call(std::move(call));
        record.state = "lost";
        if (const auto *error = std::get_if<Error>(&outcome))
            record.reason = toString(*error);
        if (succeeded(outcome)) {
            const auto &response = std::get<0>(outcome);
            record.request = std::string(response.headers.value("X-Request-Id"));
            if (response.status != 200)
                record.state = readRunState(response.body, record);
            else if (isStreamed)
                checkStreamedResponse(response.body, record);
            else
                record.state = "answered";
        }
        if (record.state == "answered")
            break;
        if (record.state == "not_run" && !record.request.empty())
            record.refused.push_back(record.request);
        std::this_thread::sleep_for(RetryPause);
    }
    record.seconds = secondsSince(start);
    return record;
}

CallerRecord Callers::book(SyncHttp &http, Random &random, const std::string &key)
{
    const auto start = std::chrono::steady_clock::now();
    CallerRecord record;
    record.key = key;
    std::size_t entry = random.below(m_entries.size());
    for (std::size_t attempt = 0; attempt < MaxAttempts;
         ++attempt, entry = differentEntry(entry, m_entries.size(), random)) {
        HttpCall call = makeCall(m_entries[entry], "/v1/services/booking/slots",
                                 "{\"bin\":\"" + key + "\"}", random);
        call.headers.add("Idempotency-Key", key);
        const auto outcome = http.call(std::move(call));
        record.state = "lost";
        if (const auto *error = std::get_if<Error>(&outcome))
            record.reason = toString(*error);
        if (succeeded(outcome)) {
            const auto &response = std::get<0>(outcome);
            if (response.status == 200) {
                record.state = "answered";
                record.isMixed = response.body.find(key) == std::string::npos;
                // Resends some answered bookings, to test that a repeated idempotency key does not
                // run the booking again.
                if (!random.chance(0.1))
                    break;
                continue;
            }
            record.state = readRunState(response.body, record);
        }
        std::this_thread::sleep_for(RetryPause);
    }
    record.seconds = secondsSince(start);
    return record;
}

} // namespace godwit
