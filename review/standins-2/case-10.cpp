// Case 10: an entry that fills a page of the list, under a name with a space. It has a field of
// another type.

#include "casesetup.h"
#include "recovery.h"

#include <cstdlib>
#include <exception>

namespace {

/// `value_bytes` of the settings.
constexpr std::size_t ValueBytes = 1048576;

review::OddEntry oddEntry()
{
    const std::string head = R"({"service":"herd-book","state":"ready","slots":")";
    const std::string tail = "\"}";
    return {"\"a desk\"", head + std::string(ValueBytes - head.size() - tail.size(), 'x') + tail};
}

} // namespace

int main(int argc, char **argv)
{
    using namespace review;
    if (argc != 2)
        return CouldNotRun;
    Record &record = *new Record(argv[1]);
    int result = CouldNotRun;
    try {
        result = playRecovery(record, oddEntry());
    } catch (const std::exception &error) {
        record.write(std::string("could not run: ") + error.what());
    }
    std::_Exit(result);
}
