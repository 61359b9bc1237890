#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>

namespace almondmill {

/// Returns after `pause`, or when the event loop ends.
boost::asio::awaitable<void> sleepFor(boost::asio::io_context &loop,
                                      std::chrono::milliseconds pause);

} // namespace almondmill
