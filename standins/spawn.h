#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace almondmill::standin {

/// Starts a coroutine on the event loop. What it throws comes out of the loop's run.
void spawn(boost::asio::io_context &loop, boost::asio::awaitable<void> coroutine);

} // namespace almondmill::standin
