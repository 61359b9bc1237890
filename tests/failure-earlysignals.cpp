// Signals that reach the daemon before it is set up.

#include "support/childprocess.h"
#include "support/loopback.h"

#include <gtest/gtest.h>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <string>
#include <thread>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

namespace almondmill::test {

namespace {

/// Settings of a router whose store doesn't answer.
std::string forwardingSettings()
{
    const std::string address = nextLoopbackAddress();
    return "name = \"router-1\"\ndata_centre = \"a\"\n[forwarding]\nadapter = \"rietwerk\"\n"
           "store = \""
           + address + ":8200\"\ncallers_listen = \"" + address + ":8100\"\nready_listen = \""
           + address + ":8101\"\npeers_listen = \"" + address + ":8102\"\n";
}

} // namespace

// Guards against a router that ends when it is to read its settings again before it has set up its
// handlers.
TEST(EarlySignals, AReloadBeforeTheHandlersAreSetUpDoesNotEndTheProcess)
{
    const auto folder = std::filesystem::temp_directory_path()
                        / ("almondmill-early-signals-" + std::to_string(getpid()));
    std::filesystem::create_directory(folder);
    const std::string file = folder / "settings.toml";
    ASSERT_EQ(mkfifo(file.c_str(), S_IRUSR | S_IWUSR), 0);
    ChildProcess router("almondmilld", {"--config", file});
    // The process reads its settings and waits for their end.
    const int settings = open(file.c_str(), O_WRONLY | O_CLOEXEC);
    ASSERT_GE(settings, 0);
    router.signal(SIGHUP);
    std::filesystem::remove(file);
    const std::string text = forwardingSettings();
    std::ofstream(file) << text; // For the reload.
    ASSERT_EQ(write(settings, text.data(), text.size()), static_cast<ssize_t>(text.size()));
    close(settings);
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    EXPECT_FALSE(router.hasEnded());
    std::filesystem::remove_all(folder);
}

} // namespace almondmill::test
