// Some requests with a part of prompts that crashes engines come within half a second: do the sound
// requests that share their first part begin again when the engines are back?

#include "casesetup.h"
#include "parttrouble.h"

int main(int argc, char **argv)
{
    if (argc != 2)
        return review::NotRun;
    review::PartTrouble trouble;
    trouble.engines = 5;
    trouble.crashesEarly = true;
    trouble.burst = 12;
    trouble.interval = std::chrono::milliseconds(2000);
    review::runPartTrouble(trouble, argv[1]);
}
