#pragma once

#include <godwit/base/json.h>
#include <godwit/ports/completion.h>
#include <godwit/ports/httpclient.h>
#include <godwit/ports/serviceoptions.h>

#include <optional>
#include <string>
#include <string_view>

namespace godwit {

/// Creates a call to the service that \a options describe.
HttpCall makeServiceCall(const ServiceOptions &options, std::string method, std::string target);

/// Converts a response with an error status to an Error. Returns std::nullopt for a status of 2xx.
/// The body may name the error as
/// {"error": {"code": "...", "message": "..."}} or {"error": "...", "code": N, "message": "..."}.
std::optional<Error> errorFromResponse(const HttpResponse &response);

/// Runs \a call and passes the body of a successful response to \a decode.
template <typename T, typename Decode>
std::shared_ptr<CallHandle> callService(HttpClient &client, HttpCall call, Completion<T> done,
                                        Decode decode)
{
    return client.call(std::move(call), [done = std::move(done), decode = std::move(decode)](
                                                Outcome<HttpResponse> outcome) mutable {
        if (const auto *error = std::get_if<Error>(&outcome)) {
            done(*error);
            return;
        }
        auto &response = std::get<HttpResponse>(outcome);
        if (const auto error = errorFromResponse(response)) {
            done(*error);
            return;
        }
        done(decode(response));
    });
}

/// Like callService() for a JSON body. Fails with PlatformBadReply if the body does not match T.
template <typename T>
std::shared_ptr<CallHandle> callJson(HttpClient &client, HttpCall call, Completion<T> done)
{
    return callService<T>(client, std::move(call), std::move(done),
                          [](HttpResponse &response) -> Outcome<T> {
                              auto outcome = capture([&] { return parseJson<T>(response.body); });
                              if (const auto *error = std::get_if<Error>(&outcome))
                                  return Error{ResultCode::PlatformBadReply, error->detail};
                              return outcome;
                          });
}

/// Like callService() for a call without a result.
inline std::shared_ptr<CallHandle> callWithoutResult(HttpClient &client, HttpCall call,
                                                     Completion<Done> done)
{
    return callService<Done>(client, std::move(call), std::move(done),
                             [](HttpResponse &) -> Outcome<Done> { return Done(); });
}

} // namespace godwit
