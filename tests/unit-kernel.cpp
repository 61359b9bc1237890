#include "almondmill/kernel/rcucell.h"
#include "almondmill/placement/placementpolicy.h"

#include <gtest/gtest.h>

namespace almondmill {

TEST(Registry, ErrorForAnUnknownNameListsTheKnownNames)
{
    try {
        PlacementRegistry::create("no-such-policy");
        FAIL() << "no error for an unknown name";
    } catch (const Error &error) {
        EXPECT_EQ(error.id(), "kernel.101");
        EXPECT_NE(std::string(error.what()).find("rendezvous"), std::string::npos);
    }
}

TEST(RcuCell, SnapshotKeepsTheOldValueAfterPublish)
{
    RcuCell<int> cell(std::make_shared<const int>(1));
    const auto first = cell.snapshot();
    cell.publish(std::make_shared<const int>(2));
    EXPECT_EQ(*first, 1);
    EXPECT_EQ(*cell.snapshot(), 2);
}

} // namespace almondmill
