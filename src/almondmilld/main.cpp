// Entry point of the router daemon.

#include "almondmill/config/settings.h"
#include "almondmill/config/textfile.h"
#include "almondmill/forward/forwardersettings.h"
#include "almondmill/forward/forwardingrouter.h"
#include "almondmill/kernel/components.h"
#include "almondmill/kernel/error.h"
#include "almondmill/kernel/log.h"
#include "almondmill/kernel/node.h"
#include "almondmill/placement/placer.h"
#include "almondmill/store/platform.h"

#include <CLI/CLI.hpp>

#include <malloc.h>
#include <sys/resource.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <thread>

namespace {

using namespace almondmill;

constexpr int ExitInvalidInput = 2;

sigset_t blockTerminationSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

/// Blocks the signal to read the settings again, which would end a process that has no handler for
/// it. It stays pending until the router handles it; the product's own interface never does.
void blockReloadSignal()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

/// Raises the soft limit of open descriptors to the hard limit. Each stream uses two descriptors,
/// and the usual soft limit is too low for the number of streams of a router.
void raiseDescriptorLimit()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return;
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

/// Returns large blocks to the system as soon as they are freed. By default the allocator raises
/// the threshold after the first freed block, and the memory of bodies then stays with the process.
void returnFreedMemory()
{
    constexpr int LargeBlockBytes = 128 << 10;
    mallopt(M_MMAP_THRESHOLD, LargeBlockBytes);
    mallopt(M_TRIM_THRESHOLD, LargeBlockBytes);
}

/// Reports not ready, serves for `drainNotice` while the load balancer takes the router out of
/// rotation, and then waits until all open work is done.
void drain(Node &node, Components &components)
{
    log(LogLevel::Info, "daemon",
        "Shutting down: reporting not ready; serving until the load balancer has noticed.");
    node.draining = true;
    std::this_thread::sleep_for(node.settings.drainNotice);
    components.finishOpenWork();
}

/// Runs a router that forwards requests to the endpoints of a platform, and ends the process.
[[noreturn]] void runForwarding(const ForwarderSettings &settings, const std::string &settingsFile)
{
    std::signal(SIGPIPE, SIG_IGN);
    boost::asio::io_context loop(1);
    ForwardingRouter router(loop, settings, settingsFile);
    router.run();
    // The log is flushed and nothing else is to be saved. Suspended coroutines of the loop still
    // refer to the router, so that destroying the two in either order is not safe.
    std::_Exit(0);
}

int run(const std::string &settingsFile)
{
    raiseDescriptorLimit();
    const std::string text = readTextFile(settingsFile);
    if (hasForwarderSettings(text))
        runForwarding(parseForwarderSettings(text, settingsFile), settingsFile);
    const sigset_t signals = blockTerminationSignals();
    Node node(parseSettings(text, settingsFile));
    setUpLog(node.settings.logLevel);
    const auto platform = PlatformRegistry::create(node.settings.platformClient, node);
    node.store = platform.get();
    node.vmList = platform.get();
    node.placer = std::make_unique<Placer>(node, node.metrics);
    node.placementOwner = node.placer.get();
    Components components(node);
    node.components = &components;
    components.start();
    log(LogLevel::Info, "daemon", "Listening for callers at " + node.settings.listen + ".");

    int received = 0;
    sigwait(&signals, &received);
    drain(node, components);
    components.stop();
    log(LogLevel::Info, "daemon", "Stopped.");
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    returnFreedMemory();
    blockReloadSignal();
    CLI::App app("almondmilld: routes language-model traffic with long shared prompts");
    std::string settingsFile;
    app.add_option("--config", settingsFile, "settings file in TOML")
            ->envname("ALMONDMILL_SETTINGS")
            ->required();
    CLI11_PARSE(app, argc, argv);
    try {
        return run(settingsFile);
    } catch (const Error &error) {
        std::cerr << "almondmilld: " << error.what() << "\n";
        return ExitInvalidInput;
    }
}
