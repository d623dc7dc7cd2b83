#include "fleetprocessbase.h"

#include "fakeplatform.h"

#include <boost/asio/post.hpp>

#include <catch2/catch.hpp>

#include <stdexcept>

using namespace godwit;

namespace {

/// Process whose first event throws and whose second one stops it.
class ThrowingProcess : public FleetProcessBase
{
public:
    explicit ThrowingProcess(const FleetPlatform &platform)
        : FleetProcessBase(FleetSettings(), {}, platform)
    {}

protected:
    Result<void> start() override
    {
        boost::asio::post(m_io, [] { throw std::length_error("message too long"); });
        boost::asio::post(m_io, [this] { finish(7); });
        return {};
    }
    void beginShutdown() override {}
};

} // namespace

// Guards against one malformed message, or another error that nothing expects, ending a process
// with all its requests.
TEST_CASE("An exception in one callback leaves the process running")
{
    FakePlatform platform;
    ThrowingProcess process(platform);
    REQUIRE(succeeded(capture([&]() -> Result<bool> {
        BOOST_LEAF_CHECK(process.open());
        return true;
    })));
    CHECK(process.run() == 7);
}
