#include <LibDocument/ValueType.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Briarbend::Document
{

namespace
{

using namespace std::chrono_literals;

template<typename Value>
std::optional<Value> read(const ValueType<Value> &type, const std::string &text)
{
    const auto table = toml::parse("key = " + text);
    return type.read(*table.get("key"));
}

} // namespace

RC_GTEST_PROP(Duration, isReadBackAsItWasWritten, ())
{
    const auto unit = *rc::gen::element<std::int64_t>(1, 1000, 1000000, 60000000, 3600000000);
    const std::chrono::microseconds duration(unit * *rc::gen::inRange<std::int64_t>(0, 100000));
    RC_ASSERT(parseDuration(formatDuration(duration)) == duration);
}

TEST(Duration, refusesWhatIsNotACountAndAUnit)
{
    for (const auto *text : {"", "5", "s", "-1s", "+1s", "1.5s", "1 s", "1S", "1s ", "9223372036854775808ms", "99999999999h"}) {
        EXPECT_FALSE(parseDuration(text)) << text;
    }
}

TEST(ValueType, enforcesRangesAndExactTypes)
{
    const auto duration = durationType<std::chrono::milliseconds>(10ms, 1min);
    EXPECT_EQ(read(duration, "\"1min\""), 60000ms);
    EXPECT_FALSE(read(duration, "\"9ms\""));
    EXPECT_FALSE(read(duration, "\"10500us\"")) << "not whole milliseconds";
    EXPECT_FALSE(read(duration, "250"));
    const auto integer = integerType<std::uint32_t>(1, 4294967295);
    EXPECT_EQ(read(integer, "4294967295"), 4294967295U);
    EXPECT_FALSE(read(integer, "-1"));
    EXPECT_FALSE(read(integer, "4294967297"));
    EXPECT_FALSE(read(integer, "1.0"));
    const auto share = shareType(0, 0.02);
    EXPECT_FALSE(read(share, "0.0"));
    EXPECT_FALSE(read(share, "nan"));
    EXPECT_EQ(read(share, "0.02"), 0.02);
    EXPECT_FALSE(read(listType(integer, 1), "[]"));
    EXPECT_FALSE(read(listType(integer, 1), "[1, \"2\"]"));
}

TEST(ValueType, readsTimesOfAllOffsetsAsOneInstant)
{
    const auto expected = Core::WallTime(std::chrono::sys_days(std::chrono::year(2026) / 3 / 1) + 5h);
    EXPECT_EQ(read(timeType(), "2026-03-01T06:00:00+01:00"), expected);
    EXPECT_EQ(read(timeType(), "2026-03-01T05:00:00Z"), expected);
    EXPECT_FALSE(read(timeType(), "2026-03-01T05:00:00")) << "a local time is a different instant for each reader";
    EXPECT_EQ(formatTime(expected), "2026-03-01T05:00:00.000Z");
}

} // namespace Briarbend::Document
