#pragma once

#include <godwit/standin/enginestandin.h>

namespace godwit::standin {

/// A queued or running completion request.
struct EngineStandin::Run
{
    RequestId request;
    ModelPin pin;
    std::string prompt;
    int priority = 0;
    bool chat = true;
    bool stream = false;
    bool poison = false;
    bool silent = false;        ///< Sends no more tokens and never finishes.
    bool hasTimestamps = false; ///< Adds the time of sending to each event.
    double tokensPerSecond = 0;
    std::uint64_t first = 0; ///< Position of the first token to send.
    std::uint64_t next = 0;
    std::uint64_t total = 0;
    TimePoint firstToken;
    std::string text; ///< Generated text of a response that is not streamed.
    std::shared_ptr<HttpReply> reply;
    std::size_t ledgerIndex = 0; ///< Index in EngineLedger::runs.
};

/// A weight upload in progress.
struct EngineStandin::WeightLoad
{
    std::string id;
    EngineOrder order;
    std::string bytes;
    std::map<std::uint64_t, std::uint64_t> received; ///< Disjoint byte ranges: offset to end.

    void add(std::uint64_t offset, std::string_view data);
    std::uint64_t receivedBytes() const;
};

/// A generated token with the origin to report for it.
struct Token
{
    ModelPin pin;
    RequestId request;
    std::uint64_t position = 0;
    std::string text;
};

/// Returns a chunk of a streamed completion or chat completion. \a Run is EngineStandin::Run, which
/// is private.
template <typename Run>
boost::json::object tokenChunk(const Run &run, const Token &token, const std::string &engine,
                               bool last)
{
    boost::json::object choice{{"index", 0}};
    if (run.chat)
        choice["delta"] = boost::json::object{{"content", token.text}};
    else
        choice["text"] = token.text;
    choice["finish_reason"] = last ? boost::json::value("stop") : boost::json::value(nullptr);
    return {{"id", token.request.value()},
            {"object", run.chat ? "chat.completion.chunk" : "text_completion"},
            {"model", token.pin.model.value()},
            {"origin", boost::json::object{{"engine", engine},
                                           {"adapter", token.pin.adapter.value()},
                                           {"version", token.pin.version.value()},
                                           {"request", token.request.value()},
                                           {"position", token.position}}},
            {"choices", boost::json::array{choice}}};
}

inline boost::json::object usageJson(const EngineRun &run)
{
    return {{"prompt_tokens", run.promptTokens},
            {"completion_tokens", run.tokens},
            {"prompt_tokens_details", boost::json::object{{"cached_tokens", run.cachedTokens}}}};
}

/// Returns a completion or chat completion that is not streamed. \a Run is EngineStandin::Run.
template <typename Run>
boost::json::object wholeResponse(const Run &run, const std::string &engine,
                                  const EngineRun &record)
{
    boost::json::object choice{{"index", 0}, {"finish_reason", "stop"}};
    if (run.chat)
        choice["message"] = boost::json::object{{"role", "assistant"}, {"content", run.text}};
    else
        choice["text"] = run.text;
    return {{"id", run.request.value()},
            {"object", run.chat ? "chat.completion" : "text_completion"},
            {"model", run.pin.model.value()},
            {"origin", boost::json::object{{"engine", engine},
                                           {"adapter", run.pin.adapter.value()},
                                           {"version", run.pin.version.value()},
                                           {"request", run.request.value()}}},
            {"choices", boost::json::array{choice}},
            {"usage", usageJson(record)}};
}

} // namespace godwit::standin
