// Stand-in for the platform's object API and VM list over HTTP. Prints its port to standard output.

#include "platformserver.h"
#include "waitforsignal.h"

#include <CLI/CLI.hpp>

#include <iostream>

int main(int argc, char **argv)
{
    CLI::App app("Stand-in for the platform's object API and VM list");
    std::string address = "127.0.0.1:0";
    app.add_option("--listen", address, "IP:port to serve on");
    CLI11_PARSE(app, argc, argv);

    almondmill::standin::blockTerminationSignals();
    const almondmill::standin::PlatformServer server(address);
    std::cout << "port " << server.port() << std::endl;
    almondmill::standin::waitForTermination();
    return 0;
}
