#include <Tests/Processes/Support/Cluster.h>

#include <gtest/gtest.h>

namespace Briarbend::Processes
{

namespace
{

namespace Http = Network::Http;

constexpr std::size_t SENDINGS = 12;
/// Targets that one request may break over all instances.
constexpr std::uint64_t BROKEN_TARGETS = 2;

Network::Response send(const EntryInstance &instance, const std::string &target)
{
    return exchange(instance.callers, Network::makeRequest(Http::verb::get, target, "test"));
}

std::uint64_t crashesOf(const Cluster &cluster)
{
    std::uint64_t crashes = 0;
    for (const auto &group : cluster.targetGroups) {
        for (const auto &counters : group.counters()) {
            for (const auto &[marker, count] : counters.at("crashes").items()) {
                crashes += count.get<std::uint64_t>();
            }
        }
    }
    return crashes;
}

} // namespace

TEST(CrashingRequest, breaksAtMostTwoTargetsHoweverOftenItsCallerSendsItAgain)
{
    Cluster cluster({});
    auto instance = cluster.instances.begin();
    Network::Response last;
    for (std::size_t sending = 0; sending < SENDINGS; ++sending) {
        last = send(*instance, "/crash/7");
        instance = std::next(instance) == cluster.instances.end() ? cluster.instances.begin() : std::next(instance);
    }
    EXPECT_LE(crashesOf(cluster), BROKEN_TARGETS);
    EXPECT_GE(crashesOf(cluster), 1U) << "the request never reached a target: the test shows nothing";
    EXPECT_EQ(last.result(), Http::status::service_unavailable) << last.body();
    EXPECT_NE(last.body().find("quarantined"), std::string::npos) << last.body();
    EXPECT_FALSE(last[Http::field::retry_after].empty());
    EXPECT_EQ(send(cluster.instances.front(), "/innocent?bytes=10").result(), Http::status::ok);
}

} // namespace Briarbend::Processes
