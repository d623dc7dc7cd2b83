#include <godwit/standin/enginestandin.h>
#include <godwit/standin/standinset.h>

#include <boost/asio/executor_work_guard.hpp>

#include <algorithm>

namespace godwit::standin {

template <typename Kind, typename Config>
void StandinSet::add(const std::vector<Config> &configs)
{
    for (const Config &config : configs) {
        auto &io = *m_contexts[m_standins.size() % m_contexts.size()];
        m_standins.push_back(std::make_unique<Kind>(io, config));
    }
}

Result<std::unique_ptr<StandinSet>> StandinSet::start(const Scenario &scenario, std::size_t threads)
{
    std::unique_ptr<StandinSet> set(new StandinSet);
    for (std::size_t i = 0; i < std::max<std::size_t>(threads, 1); ++i)
        set->m_contexts.push_back(std::make_unique<boost::asio::io_context>(1));
    set->add<KeyValueStandin>(scenario.keyValues);
    set->add<HostListStandin>(scenario.hostLists);
    set->add<ObjectStandin>(scenario.objects);
    set->add<EngineStandin>(scenario.engines);
    set->add<PlainServiceStandin>(scenario.plainServices);
    for (const auto &standin : set->m_standins) {
        auto status = standin->start();
        if (!status)
            return status.error();
        if (!set->m_endpoints.emplace(standin->name(), standin->endpoint()).second)
            return fail(ResultCode::SettingsInvalid, "duplicate stand-in name: " + standin->name());
    }
    for (const auto &io : set->m_contexts)
        set->m_threads.emplace_back([&io = *io] {
            const auto guard = boost::asio::make_work_guard(io);
            io.run();
        });
    return set;
}

StandinSet::~StandinSet()
{
    for (const auto &io : m_contexts)
        io->stop();
    for (std::thread &thread : m_threads)
        thread.join();
}

} // namespace godwit::standin
