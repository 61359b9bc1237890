#include "almondmill/kernel/randomid.h"

#include <cstdio>
#include <random>

namespace almondmill {

namespace {

std::uint64_t randomBits()
{
    thread_local std::mt19937_64 engine = [] {
        std::random_device device;
        std::seed_seq seed{device(), device(), device(), device()};
        return std::mt19937_64(seed);
    }();
    return engine();
}

} // namespace

std::string randomId()
{
    char text[33];
    std::snprintf(text, sizeof text, "%016llx%016llx",
                  static_cast<unsigned long long>(randomBits()),
                  static_cast<unsigned long long>(randomBits()));
    return text;
}

std::uint64_t randomIncarnation()
{
    return randomBits() | 1U;
}

} // namespace almondmill
