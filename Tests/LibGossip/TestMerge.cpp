#include <LibGossip/Table.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Briarbend::Gossip
{

namespace
{

constexpr Core::TimePoint NOW{std::chrono::hours{1}};
constexpr Core::TimePoint LATER = NOW + std::chrono::minutes{1};

/// Generates records from few keys and values, so that keys collide.
template<typename RecordType>
RecordType anyRecord();

template<>
RolloutProgressRecord anyRecord()
{
    return {{{"s"}, {"1"}, {*rc::gen::element<std::string>("2", "3")}, {}},
            *rc::gen::element(RolloutPhase::Running, RolloutPhase::Done, RolloutPhase::RolledBack),
            *rc::gen::inRange(0U, 4U)};
}

template<>
WarmUpStateRecord anyRecord()
{
    return {{*rc::gen::element<std::string>("a", "b")}, *rc::gen::inRange<std::uint64_t>(0, 3), *rc::gen::arbitrary<bool>()};
}

template<>
WarmUpProgressRecord anyRecord()
{
    return {
        {"a"}, {*rc::gen::element<std::string>("i", "j")}, *rc::gen::inRange<std::uint64_t>(0, 3), *rc::gen::inRange<std::uint64_t>(0, 9)};
}

template<>
QuarantineRecord anyRecord()
{
    return {*rc::gen::inRange<std::uint64_t>(0, 3), {*rc::gen::element<std::string>("t", "u")}};
}

template<typename RecordType>
void checkMergeIsOrderIndependent()
{
    std::vector<RecordType> records;
    for (auto left = *rc::gen::inRange(1, 12); left > 0; --left) {
        records.push_back(anyRecord<RecordType>());
    }
    Table<RecordType> forwards;
    Table<RecordType> backwardsTwice;
    for (const auto &record : records) {
        merge(forwards, record, LATER, NOW);
    }
    for (int round = 0; round < 2; ++round) {
        for (auto at = records.rbegin(); at != records.rend(); ++at) {
            merge(backwardsTwice, *at, LATER, NOW);
        }
    }
    RC_ASSERT(forwards.entries.size() == backwardsTwice.entries.size());
    for (const auto &[key, entry] : forwards.entries) {
        RC_ASSERT(backwardsTwice.entries.at(key).record == entry.record);
    }
    RC_ASSERT(forwards.digests == backwardsTwice.digests);
    expire(forwards, LATER);
    RC_ASSERT(forwards.entries.empty() && forwards.digests == BucketDigests{});
}

} // namespace

RC_GTEST_PROP(Merge, mergeIsIndependentOfOrderAndRepetition, ())
{
    checkMergeIsOrderIndependent<RolloutProgressRecord>();
    checkMergeIsOrderIndependent<WarmUpStateRecord>();
    checkMergeIsOrderIndependent<WarmUpProgressRecord>();
    checkMergeIsOrderIndependent<QuarantineRecord>();
}

TEST(Merge, rolledBackAndHigherEpochTakePrecedence)
{
    Table<RolloutProgressRecord> rolloutProgress;
    const RolloutKey rollout{{"s"}, {"1"}, {"2"}, {}};
    EXPECT_TRUE(merge(rolloutProgress, {rollout, RolloutPhase::RolledBack, 1}, LATER, NOW));
    EXPECT_FALSE(merge(rolloutProgress, {rollout, RolloutPhase::Done, 9}, LATER, NOW));
    Table<WarmUpStateRecord> states;
    EXPECT_TRUE(merge(states, {{"a"}, 1, true}, LATER, NOW));
    EXPECT_TRUE(merge(states, {{"a"}, 2, false}, LATER, NOW)) << "a higher epoch marks the start as cold again";
    EXPECT_FALSE(merge(states, {{"a"}, 1, true}, LATER, NOW));
    EXPECT_FALSE(merge(states, {{"b"}, 1, true}, NOW, NOW)) << "an expired record is not merged";
}

} // namespace Briarbend::Gossip
