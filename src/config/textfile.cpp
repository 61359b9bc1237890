#include "almondmill/config/textfile.h"

#include "almondmill/kernel/error.h"

#include <fstream>
#include <sstream>

namespace almondmill {

std::string readTextFile(const std::string &file)
{
    const std::ifstream in(file, std::ios::binary);
    if (!in)
        throw Error("config.206", file + ": cannot open the file");
    std::ostringstream content;
    content << in.rdbuf();
    return content.str();
}

} // namespace almondmill
