#pragma once

#include "standins/rietwerk/metadataserver.h"
#include "standins/spawn.h"
#include "support/loopback.h"

#include "almondmill/forward/platformadapter.h"
#include "almondmill/forward/socketaddress.h"
#include "almondmill/store/asyncstore.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <utility>

namespace almondmill::test {

/// Runs the platform adapter's client of the metadata store and the store's stand-in on one event
/// loop.
class StoreClientTest : public testing::Test
{
protected:
    StoreClientTest()
        : server(loop, nextLoopbackAddress() + ":8200")
        , adapter(PlatformAdapterRegistry::create("rietwerk"))
        , client(adapter->makeStore(loop.get_executor(), parseSocketAddress(server.address())))
    {}

    /// The result of a call; runs the event loop until it is there.
    template<typename T>
    T wait(boost::asio::awaitable<T> call)
    {
        std::optional<T> result;
        standin::spawn(loop, store(std::move(call), result));
        while (!result)
            loop.run_one();
        return std::move(*result);
    }

    static SteadyTime deadline()
    {
        return std::chrono::steady_clock::now() + std::chrono::seconds(5);
    }

    boost::asio::io_context loop;
    standin::rietwerk::MetadataServer server;
    std::unique_ptr<PlatformAdapter> adapter;
    std::unique_ptr<AsyncStore> client;

private:
    template<typename T>
    static boost::asio::awaitable<void> store(boost::asio::awaitable<T> call,
                                              std::optional<T> &result)
    {
        result = co_await std::move(call);
    }
};

} // namespace almondmill::test
