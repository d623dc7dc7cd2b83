#pragma once

#include <godwit/base/result.h>
#include <godwit/ports/httpendpoint.h>
#include <godwit/standin/scenario.h>

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace godwit::standin {

class Standin;

/// The running stand-ins of a scenario, spread over threads. Talk to them over HTTP.
class StandinSet
{
public:
    /// Starts all stand-ins on \a threads threads. Fails as Standin::start().
    static Result<std::unique_ptr<StandinSet>> start(const Scenario &scenario,
                                                     std::size_t threads = 1);
    ~StandinSet();
    StandinSet(const StandinSet &) = delete;
    StandinSet &operator=(const StandinSet &) = delete;

    /// Where each stand-in listens, by name.
    const std::map<std::string, HttpEndpoint> &endpoints() const { return m_endpoints; }

private:
    StandinSet() = default;

    template <typename Kind, typename Config>
    void add(const std::vector<Config> &configs);

    std::vector<std::unique_ptr<boost::asio::io_context>> m_contexts;
    std::vector<std::unique_ptr<Standin>> m_standins;
    std::vector<std::thread> m_threads;
    std::map<std::string, HttpEndpoint> m_endpoints;
};

} // namespace godwit::standin
