// Stand-in for a language-model engine. Prints its port to standard output.

#include "engineserver.h"
#include "waitforsignal.h"

#include <CLI/CLI.hpp>

#include <iostream>

int main(int argc, char **argv)
{
    CLI::App app("Stand-in for a language-model engine");
    almondmill::standin::EngineOptions options;
    std::int64_t prefillMs = options.prefillPerBlock.count();
    std::int64_t gapUs = options.tokenGap.count();
    app.add_option("--listen", options.listen, "IP:port to serve on");
    app.add_option("--model", options.model, "model served");
    app.add_option("--weights", options.weights, "version of the weights at start");
    app.add_option("--block-bytes", options.blockBytes, "prompt bytes per cache block");
    app.add_option("--cache-blocks", options.cacheBlocks, "capacity of the prefix cache, blocks");
    app.add_option("--prefill-ms-per-block", prefillMs, "prefill time per uncached block, ms");
    app.add_option("--token-gap-us", gapUs, "time between tokens, microseconds");
    app.add_flag("--ignores-fencing{false}", options.checksFencing,
                 "accept orders with an outdated fencing token");
    CLI11_PARSE(app, argc, argv);
    options.prefillPerBlock = std::chrono::milliseconds(prefillMs);
    options.tokenGap = std::chrono::microseconds(gapUs);

    almondmill::standin::blockTerminationSignals();
    const almondmill::standin::EngineServer server(options);
    std::cout << "port " << server.port() << std::endl;
    almondmill::standin::waitForTermination();
    return 0;
}
