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

/// Runs the stand-ins of a scenario on a number of threads. They are accessible only over HTTP.
class StandinSet
{
public:
    /// Starts all stand-ins on \a threads threads. Fails like Standin::start(), or with
    /// SettingsInvalid if two stand-ins have the same name.
    static Result<std::unique_ptr<StandinSet>> start(const Scenario &scenario,
                                                     std::size_t threads = 1);
    ~StandinSet();
    StandinSet(const StandinSet &) = delete;
    StandinSet &operator=(const StandinSet &) = delete;

    /// Returns the listening address of each stand-in by name.
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
