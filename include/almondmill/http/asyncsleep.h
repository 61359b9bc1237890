#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>

namespace almondmill {

/// Completes after `pause`, unless the event loop stops first.
boost::asio::awaitable<void> sleepFor(boost::asio::io_context &loop,
                                      std::chrono::milliseconds pause);

} // namespace almondmill
