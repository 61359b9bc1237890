#include "support/commandline.h"

#include <sys/wait.h>

#include <array>
#include <cstdio>

namespace almondmill::test {

CommandResult runAlmondmill(const std::string &arguments)
{
    constexpr std::size_t BufferBytes = 4096;
    const std::string command =
            std::string(ALMONDMILL_BIN_DIR) + "/almondmill " + arguments + " 2>&1";
    CommandResult result;
    FILE *pipe = popen(command.c_str(), "r");
    if (!pipe)
        return result;
    std::array<char, BufferBytes> buffer{};
    while (const std::size_t count = fread(buffer.data(), 1, buffer.size(), pipe))
        result.output.append(buffer.data(), count);
    const int status = pclose(pipe);
    result.exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return result;
}

} // namespace almondmill::test
