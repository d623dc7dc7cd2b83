#pragma once

#include <boost/asio/io_context.hpp>

#include <catch2/catch.hpp>

#include <chrono>

namespace godwit {

/// Runs \a io until \a done. A test fails if no handler runs for the limit; its total time is not
/// limited here, since a busy machine can make it any length, and CTest ends tests that run on and
/// on.
template <typename Predicate>
void runUntil(boost::asio::io_context &io, Predicate done)
{
    constexpr std::chrono::seconds limit(20);
    auto lastHandler = std::chrono::steady_clock::now();
    io.restart();
    while (!done()) {
        REQUIRE(std::chrono::steady_clock::now() < lastHandler + limit);
        if (io.run_one_for(std::chrono::milliseconds(100)) > 0)
            lastHandler = std::chrono::steady_clock::now();
        io.restart();
    }
}

} // namespace godwit
