#pragma once

#include "loopback.h"

#include <godwit/ports/completion.h>
#include <godwit/ports/httpclient.h>
#include <godwit/ports/serviceoptions.h>
#include <godwit/standin/standin.h>

#include <memory>
#include <optional>

namespace godwit::standin {

/// Fixture that connects an adapter to a stand-in over loopback, both on one io_context.
template <typename StandinType, typename Adapter, typename Config>
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
        // Long enough that calls do not time out on a busy machine.
        options.connectTimeout = std::chrono::seconds(15);
        options.replyTimeout = std::chrono::seconds(15);
        port = std::make_unique<Adapter>(client, options);
        // Used for calls that never receive a reply.
        options.replyTimeout = std::chrono::milliseconds(100);
        shortTimeoutPort = std::make_unique<Adapter>(client, options);
    }

    void setFault(Fault fault)
    {
        REQUIRE(succeeded(capture([&]() -> Result<bool> {
            BOOST_LEAF_CHECK(standin.setFault(std::move(fault)));
            return true;
        })));
    }

    /// Starts a call with \a start, which takes the completion handler, and runs the event loop
    /// until the call has completed.
    template <typename T, typename Start>
    Outcome<T> await(Start start)
    {
        const auto result = std::make_shared<std::optional<Outcome<T>>>();
        start([result](Outcome<T> outcome) { *result = std::move(outcome); });
        runUntil(io, [&] { return result->has_value(); });
        return **result;
    }

    boost::asio::io_context io;
    StandinType standin;
    HttpClient client{io};
    ServiceOptions options;
    std::unique_ptr<Adapter> port;
    std::unique_ptr<Adapter> shortTimeoutPort;
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
