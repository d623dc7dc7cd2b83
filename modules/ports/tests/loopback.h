#pragma once

#include <boost/asio/io_context.hpp>

#include <catch2/catch.hpp>

#include <chrono>

namespace godwit {

/// Runs \a io until \a done returns true. Fails the test if no handler runs for 20 s. The total
/// time is not limited here, because a busy machine can slow a test down by any factor; the timeout
/// of CTest ends tests that never finish.
template <typename Predicate>
void runUntil(boost::asio::io_context &io, Predicate done)
{
    constexpr std::chrono::seconds inactivityLimit(20);
    auto lastHandler = std::chrono::steady_clock::now();
    io.restart();
    while (!done()) {
        REQUIRE(std::chrono::steady_clock::now() < lastHandler + inactivityLimit);
        if (io.run_one_for(std::chrono::milliseconds(100)) > 0)
            lastHandler = std::chrono::steady_clock::now();
        io.restart();
    }
}

} // namespace godwit
