// Case 6: an entry whose name holds bytes that are no text, and that lacks fields.

#include "casesetup.h"
#include "recovery.h"

#include <cstdlib>
#include <exception>

int main(int argc, char **argv)
{
    using namespace review;
    if (argc != 2)
        return CouldNotRun;
    Record &record = *new Record(argv[1]);
    int result = CouldNotRun;
    try {
        result = playRecovery(record,
                              {"\"desk-\xff\xfe\"", R"({"service":"herd-book","state":"ready"})"});
    } catch (const std::exception &error) {
        record.write(std::string("could not run: ") + error.what());
    }
    std::_Exit(result);
}
