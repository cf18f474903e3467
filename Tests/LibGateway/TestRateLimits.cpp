#include <LibGateway/TargetReports.h>
#include <Tests/LibGateway/RequestFlowTest.h>

/// Targets that state how many requests a second they take from all instances together.
namespace Briarbend::Gateway
{

namespace
{

/// The span over which the platform counts requests, and what it allows a target within it.
constexpr std::chrono::seconds COUNTED_SPAN{4};

std::size_t allowedWithinSpan(double requestsPerSecond)
{
    return static_cast<std::size_t>(1.5 * requestsPerSecond * COUNTED_SPAN.count() + 5);
}

Reaction limitedTo(const std::string &requestsPerSecond)
{
    return {.fields = "Server-Limit: " + requestsPerSecond + "\r\n"};
}

} // namespace

// A target in need that had named the rate it takes got its usual share of the requests: more than twice that rate.
TEST_F(RequestFlowTest, targetReceivesNoMoreThanTheRateThatItStates)
{
    auto &limited = this->addTarget("limited", [](const auto &) {
        return limitedTo("2.5");
    });
    this->addTarget("other", [](const auto &) {
        return Reaction{.delay = 5ms};
    });
    this->configureRoute(RouteKind::Safe);
    std::size_t sent = 0;
    const auto until = Core::Clock::now() + COUNTED_SPAN;
    while (Core::Clock::now() < until) {
        EXPECT_EQ(this->run("a" + std::to_string(++sent)).response.result_int(), 200U) << "the other target has room";
    }
    EXPECT_LE(limited.runs().size(), allowedWithinSpan(2.5));
}

} // namespace Briarbend::Gateway
