#include <LibCoordination/SentTraffic.h>

#include <gtest/gtest.h>

namespace Briarbend::Coordination
{

TEST(SentTraffic, isCountedByChannelAndReach)
{
    const Core::TimePoint now{std::chrono::seconds{100}};
    const auto member = [](const std::string &name, const std::string &dataCentre) {
        Membership::MemberUpdate update;
        update.id = {name};
        update.address = {name + ":1"};
        update.dataCentre = {dataCentre};
        return update;
    };
    auto members = Membership::makeState(member("self", "here"), {}, now);
    members.members[{"near"}].update = member("near", "here");
    members.members[{"far"}].update = member("far", "there");
    SentTraffic traffic;
    countSent(traffic, members, Channel::News, "near:1", 10);
    countSent(traffic, members, Channel::News, "far:1", 20);
    countSent(traffic, members, Channel::News, "far:1", 20);
    countSent(traffic, members, Channel::Gossip, "stranger:1", 5);
    const auto bytes = [&traffic](Channel channel, Reach reach) {
        return traffic.totals[{channel, reach}].bytes;
    };
    EXPECT_EQ(bytes(Channel::News, Reach::Near), 10U);
    EXPECT_EQ(bytes(Channel::News, Reach::Far), 40U);
    EXPECT_EQ(bytes(Channel::Gossip, Reach::Unknown), 5U);
    EXPECT_EQ((traffic.totals[{Channel::News, Reach::Far}].messages), 2U);
    members.members[{"stranger"}].update = member("stranger", "there");
    countSent(traffic, members, Channel::Gossip, "stranger:1", 5);
    EXPECT_EQ(bytes(Channel::Gossip, Reach::Far), 5U) << "the member is known by now";
}

} // namespace Briarbend::Coordination
