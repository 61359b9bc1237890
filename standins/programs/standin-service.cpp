// Stand-in for a plain service that counts how often each operation was executed. Prints its port
// to standard output.

#include "serviceserver.h"
#include "waitforsignal.h"

#include <CLI/CLI.hpp>

#include <iostream>

int main(int argc, char **argv)
{
    CLI::App app("Stand-in for a plain service");
    std::string address = "127.0.0.1:0";
    app.add_option("--listen", address, "IP:port to serve on");
    CLI11_PARSE(app, argc, argv);

    almondmill::standin::blockTerminationSignals();
    const almondmill::standin::ServiceServer server(address);
    std::cout << "port " << server.port() << std::endl;
    almondmill::standin::waitForTermination();
    return 0;
}
