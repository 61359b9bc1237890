#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

namespace almondmill {

/// Starts a coroutine that should run as long as the event loop. When an exception ends it, the
/// exception is logged with `name`, and the coroutine is started again after a pause. A coroutine
/// that returns is not started again.
void startSupervised(boost::asio::io_context &loop, std::string name,
                     std::function<boost::asio::awaitable<void>()> task);

/// Runs the event loop until it is stopped. An exception that a handler throws is logged and ends
/// that handler only.
void runSupervised(boost::asio::io_context &loop);

} // namespace almondmill
