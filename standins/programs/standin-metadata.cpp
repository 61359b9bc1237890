// Stand-in for the platform's metadata store. Prints its address to standard output.

#include "rietwerk/metadataserver.h"

#include <CLI/CLI.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <iostream>

int main(int argc, char **argv)
{
    CLI::App app("Stand-in for the platform's metadata store");
    std::string address = "127.0.0.1:0";
    app.add_option("--listen", address, "IP:port to serve on");
    CLI11_PARSE(app, argc, argv);

    boost::asio::io_context loop;
    const almondmill::standin::rietwerk::MetadataServer server(loop, address);
    std::cout << "listening on " << server.address() << std::endl;
    boost::asio::signal_set signals(loop, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code &, int) { loop.stop(); });
    loop.run();
    return 0;
}
