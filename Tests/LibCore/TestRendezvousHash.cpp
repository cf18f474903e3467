#include <LibCore/RendezvousHash.h>

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Briarbend::Core
{

RC_GTEST_PROP(RendezvousHash, removingANodeMovesOnlyItsOwnKeys, (const std::string &key))
{
    std::vector<std::string> nodes{"a", "b", "c", "d", "e"};
    const auto before = rendezvousOrder(nodes, key, 1).front();
    const auto removed = *rc::gen::elementOf(nodes);
    std::erase(nodes, removed);
    const auto after = rendezvousOrder(nodes, key, 1).front();
    RC_ASSERT(removed == before || after == before);
}

TEST(RendezvousHash, returnsFewerNodesThanAskedWhenThereAreFewer)
{
    EXPECT_EQ(rendezvousOrder({"only"}, "key", 3).size(), 1U);
    EXPECT_TRUE(rendezvousOrder({}, "key", 3).empty());
}

} // namespace Briarbend::Core
