#pragma once

#include "almondmill/store/readresult.h"

#include <string>
#include <vector>

namespace almondmill::test {

/// Names of the objects in a list, in its order; empty when the list could not be read.
std::vector<std::string> listedNames(const ListResult &result);

} // namespace almondmill::test
