#include <LibCoordination/ReceivedTraffic.h>

#include <gtest/gtest.h>

namespace Briarbend::Coordination
{

using namespace std::chrono_literals;

TEST(ReceivedTraffic, differenceNamesOnlyChannelsWithNewMessages)
{
    const ReceivedTraffic earlier{{Channel::Gossip, {.messages = 3, .handling = 4ms}}, {Channel::News, {.messages = 1, .handling = 1ms}}};
    auto now = earlier;
    now[Channel::Gossip] = {.messages = 5, .handling = 10ms};
    now[Channel::Rollout] = {.messages = 2, .handling = 7ms};
    const auto difference = receivedSince(earlier, now);
    ASSERT_EQ(difference.size(), 2U);
    EXPECT_EQ(difference.at(Channel::Gossip).messages, 2U);
    EXPECT_EQ(difference.at(Channel::Gossip).handling, 6ms);
    EXPECT_EQ(difference.at(Channel::Rollout).messages, 2U);
    EXPECT_EQ(difference.at(Channel::Rollout).handling, 7ms);
}

} // namespace Briarbend::Coordination
