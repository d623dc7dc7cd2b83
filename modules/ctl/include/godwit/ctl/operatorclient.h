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

/// Sends requests of an operator to the first entry process that answers.
///
/// An entry that cannot be reached, or that reports that it has no usable configuration, is
/// followed by the next one. While it is unknown whether a command took effect, it is sent again
/// with the same operation id, which entries recognise, for a bounded number of passes.
///
/// Uses one io_context that is run by one thread, on which the callbacks run. Destruction ends all
/// requests without further callbacks.
class OperatorClient
{
public:
    OperatorClient(boost::asio::io_context &io, ClientOptions options);
    ~OperatorClient();
    OperatorClient(const OperatorClient &) = delete;
    OperatorClient &operator=(const OperatorClient &) = delete;

    /// Fails with EntryUnreachable or EntryReplyInvalid if no entry process could be asked; the
    /// request then has no effect.
    void send(OperatorRequest request, std::function<void(Outcome<ClientResult>)> onEnd);

private:
    class Exchange;
    ClientOptions m_options;
    HttpClient m_http;
    std::shared_ptr<Exchange> m_exchange; ///< The one that was started last.
};

} // namespace godwit
