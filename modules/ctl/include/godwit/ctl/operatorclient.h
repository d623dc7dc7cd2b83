#pragma once

#include <godwit/base/result.h>
#include <godwit/ctl/clientoptions.h>
#include <godwit/ctl/clientresult.h>
#include <godwit/language/operatorrequest.h>
#include <godwit/ports/httpclient.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace godwit {

/// Sends operator requests to the first entry process that replies.
///
/// Fails over to the next entry if one cannot be reached or reports that it has no usable
/// configuration. While it is unknown whether a command took effect, resends it with the same
/// operation id, by which entries detect duplicates, for a limited number of passes.
///
/// The io_context must be run by a single thread, on which the callbacks run. The destructor
/// cancels the request that was started last; its callback is not called.
class OperatorClient
{
public:
    OperatorClient(boost::asio::io_context &io, ClientOptions options);
    ~OperatorClient();
    OperatorClient(const OperatorClient &) = delete;
    OperatorClient &operator=(const OperatorClient &) = delete;

    /// Fails with EntryUnreachable or EntryReplyInvalid if no entry process accepted the request;
    /// it then has no effect.
    void send(OperatorRequest request, std::function<void(Outcome<ClientResult>)> onDone);

private:
    class PendingRequest;
    ClientOptions m_options;
    HttpClient m_http;
    std::shared_ptr<PendingRequest> m_pendingRequest; ///< The request started last.
};

} // namespace godwit
