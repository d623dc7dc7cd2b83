#pragma once

#include "loopback.h"

#include <godwit/ports/completion.h>
#include <godwit/ports/httpclient.h>
#include <godwit/ports/serviceoptions.h>
#include <godwit/standin/standin.h>

#include <memory>
#include <optional>

namespace godwit::standin {

/// One adapter against one stand-in over loopback, both on one io_context.
template <typename Stand, typename Adapter, typename Config>
struct Contract
{
    explicit Contract(const Config &config = {})
        : standin(io, config)
    {
        REQUIRE(succeeded(capture([&]() -> Result<bool> {
            BOOST_LEAF_CHECK(standin.start());
            return true;
        })));
        options.endpoint = standin.endpoint();
        // Long enough that a busy machine does not make a call fail.
        options.connectTimeout = std::chrono::seconds(15);
        options.replyTimeout = std::chrono::seconds(15);
        port = std::make_unique<Adapter>(client, options);
        // For calls that are never answered.
        options.replyTimeout = std::chrono::milliseconds(100);
        impatientPort = std::make_unique<Adapter>(client, options);
    }

    void set(Fault fault)
    {
        REQUIRE(succeeded(capture([&]() -> Result<bool> {
            BOOST_LEAF_CHECK(standin.setFault(std::move(fault)));
            return true;
        })));
    }

    /// Runs \a start, which takes the completion of a call, until the call has ended.
    template <typename T, typename Start>
    Outcome<T> await(Start start)
    {
        const auto result = std::make_shared<std::optional<Outcome<T>>>();
        start([result](Outcome<T> outcome) { *result = std::move(outcome); });
        runUntil(io, [&] { return result->has_value(); });
        return **result;
    }

    boost::asio::io_context io;
    Stand standin;
    HttpClient client{io};
    ServiceOptions options;
    std::unique_ptr<Adapter> port;
    std::unique_ptr<Adapter> impatientPort;
};

template <typename T>
ResultCode codeOf(const Outcome<T> &outcome)
{
    return succeeded(outcome) ? ResultCode::Ok : std::get<Error>(outcome).code;
}

template <typename T>
T valueOf(const Outcome<T> &outcome)
{
    if (!succeeded(outcome))
        FAIL(toString(std::get<Error>(outcome)));
    return std::get<0>(outcome);
}

} // namespace godwit::standin

namespace Catch {

template <>
struct StringMaker<godwit::ResultCode>
{
    static std::string convert(godwit::ResultCode code)
    {
        return std::string(godwit::resultCodeName(code));
    }
};

} // namespace Catch
