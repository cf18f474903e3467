#include <LibRouting/LoadReport.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Briarbend::Routing
{

TEST(LoadReport, parsesReportsAsTargetsSendThem)
{
    const auto report = parseLoadReport(
        R"(JSON {"named_metrics":{"in_flight":3,"slots":6,"cold":1,"start":12345},"rps_fractional":812.5,"application_utilization":0.5})");
    const LoadReport expected{
        .inFlight = 3, .slots = 6, .isCold = true, .start = Core::TargetStartId{"12345"}, .requestsPerSecond = 812.5, .utilization = 0.5};
    EXPECT_EQ(report, expected);
}

RC_GTEST_PROP(LoadReport, formattedReportsParseBack, (std::uint16_t inFlight, std::uint16_t slots, bool isCold, std::uint32_t start))
{
    const LoadReport report{.inFlight = inFlight,
                            .slots = slots,
                            .isCold = isCold,
                            .start = Core::TargetStartId{std::to_string(start)},
                            .requestsPerSecond = std::nullopt,
                            .utilization = std::nullopt};
    RC_ASSERT(parseLoadReport(formatLoadReport(report)) == report);
}

RC_GTEST_PROP(LoadReport, malformedReportsAreRejectedWithoutThrowing, (const std::string &text, std::uint8_t position))
{
    auto value = formatLoadReport({.inFlight = 3, .slots = 6});
    value.replace(position % value.size(), std::min<std::size_t>(text.size(), 3), text);
    parseLoadReport(value);
    RC_ASSERT(!parseLoadReport(text));
}

TEST(LoadReport, implausibleNumbersAreRejected)
{
    EXPECT_FALSE(parseLoadReport(R"(JSON {"named_metrics":{"in_flight":-1}})"));
    EXPECT_FALSE(parseLoadReport(R"(JSON {"named_metrics":{"in_flight":1e30}})"));
    EXPECT_FALSE(parseLoadReport(R"(JSON {"named_metrics":{"in_flight":"3"}})"));
    EXPECT_FALSE(parseLoadReport(R"(JSON {"named_metrics":[3]})"));
    EXPECT_FALSE(parseLoadReport("JSON " + std::string(4000, '[')));
}

} // namespace Briarbend::Routing
