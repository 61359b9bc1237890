#pragma once

#include "record.h"

#include <string>

namespace review {

/// An entry of another writer in kind `servers`, as JSON texts.
struct OddEntry
{
    std::string name;
    std::string spec;
};

/// Plays a server that leaves and then the final fault, with that entry beside those of the servers
/// unless TROUBLE=0, and checks RECOVER. Returns the exit code of the case.
int playRecovery(Record &record, const OddEntry &entry);

} // namespace review
