// A part of prompts crashes each engine right after the first event of its answer: do requests with
// the part stop reaching engines, and do sound requests still begin?

#include "casesetup.h"
#include "parttrouble.h"

int main(int argc, char **argv)
{
    if (argc != 2)
        return review::NotRun;
    review::PartTrouble trouble;
    trouble.engines = 4;
    trouble.interval = std::chrono::milliseconds(1000);
    review::runPartTrouble(trouble, argv[1]);
}
