#include "almondmill/config/tomltext.h"

#include "almondmill/kernel/findings.h"

namespace almondmill {

toml::table parseToml(const std::string &text, const std::string &file, Findings &findings)
{
    try {
        return toml::parse(text, file);
    } catch (const toml::parse_error &error) {
        findings.add({"config.207",
                      file,
                      error.source().begin.line,
                      {},
                      std::string(error.description())});
        return {};
    }
}

} // namespace almondmill
