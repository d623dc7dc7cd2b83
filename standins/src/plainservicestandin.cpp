#include <godwit/standin/plainservicestandin.h>

namespace godwit::standin {

PlainServiceStandin::PlainServiceStandin(boost::asio::io_context &io, PlainServiceConfig config)
    : Standin(io, config)
    , m_serviceTime(config.serviceTime)
{}

std::string PlainServiceStandin::requestKind(const HttpRequest &request) const
{
    return request.method;
}

void PlainServiceStandin::handle(HttpRequest request, const ReplyPointer &reply)
{
    PlainRun run;
    run.number = m_runs.size() + 1;
    run.key = std::string(request.headers.value("Idempotency-Key"));
    run.target = request.target;
    run.body = Digest::of(request.body);
    run.time = MonotonicClock::now().time_since_epoch();
    run.count = ++m_runsByKey[run.key];
    m_runs.push_back(run);
    runAfter(m_serviceTime, [this, run, reply] {
        sendJson(reply, 200,
                 boost::json::object{{"service", name()},
                                     {"key", run.key},
                                     {"number", run.number},
                                     {"count", run.count},
                                     {"digest", run.body.toHex()}});
    });
}

boost::json::value PlainServiceStandin::ledger() const
{
    return toJson(m_runs);
}

} // namespace godwit::standin
