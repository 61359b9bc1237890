#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace almondmill::standin {

/// Starts a coroutine on the event loop. An exception that leaves it is thrown from the loop's
/// `run()`.
void spawn(boost::asio::io_context &loop, boost::asio::awaitable<void> coroutine);

} // namespace almondmill::standin
