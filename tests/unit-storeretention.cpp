// How long a saved part is expected in a KV cache store. The pattern: new weights are named, all
// sessions are saved anew, and each store takes in as much as its link allows.

#include "almondmill/forward/storeretention.h"

#include "almondmill/route/routedservice.h"

#include <gtest/gtest.h>

namespace almondmill::test {

namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t BytesPerToken = 163840;

EngineTraits engine()
{
    EngineTraits traits;
    traits.bytesPerToken = BytesPerToken;
    return traits;
}

KvCacheStore storeWith(std::uint64_t memoryTokens, double linkMegabitsPerSecond)
{
    return {"10.0.0.1:1", "a", memoryTokens, linkMegabitsPerSecond};
}

} // namespace

TEST(StoreRetention, AFullyUsedLinkFillsTheMemoryOnceInThatTime)
{
    const KvCacheStore store = storeWith(2000000, 300000);
    const double seconds = std::chrono::duration<double>(storeRetention(store, engine())).count();
    const double savedBytes = seconds * 300000 * 125000 * SaveLinkRatio;
    EXPECT_NEAR(savedBytes, 2000000.0 * BytesPerToken, 1e9);
}

TEST(StoreRetention, IsBounded)
{
    EXPECT_EQ(storeRetention(storeWith(2000000, 0), engine()), milliseconds(30000));
    EXPECT_EQ(storeRetention(storeWith(2000000, 100), engine()), milliseconds(30000));
    EXPECT_EQ(storeRetention(storeWith(1000, 300000), engine()), milliseconds(8000));
}

} // namespace almondmill::test
