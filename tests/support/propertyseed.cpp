// Fixes the seed of all property tests, so that they give the same verdict every time. RC_PARAMS in
// the environment goes before it.

#include <cstdlib>

namespace {

const int SeedIsSet = setenv("RC_PARAMS", "seed=20261204", 0);

} // namespace
