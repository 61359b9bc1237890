// The engine stand-in as a process.

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
    app.add_option("--block-bytes", options.blockBytes, "prompt bytes in a cache block");
    app.add_option("--cache-blocks", options.cacheBlocks, "blocks the cache holds");
    app.add_option("--prefill-ms-per-block", prefillMs, "time to compute a block, ms");
    app.add_option("--token-gap-us", gapUs, "time between tokens, microseconds");
    app.add_flag("--ignores-fencing{false}", options.checksFencing,
                 "carry out orders with an old fencing number");
    CLI11_PARSE(app, argc, argv);
    options.prefillPerBlock = std::chrono::milliseconds(prefillMs);
    options.tokenGap = std::chrono::microseconds(gapUs);

    almondmill::standin::blockTerminationSignals();
    const almondmill::standin::EngineServer server(options);
    std::cout << "port " << server.port() << std::endl;
    almondmill::standin::waitForTermination();
    return 0;
}
