#include <Tests/LibGateway/RequestFlowTest.h>

/// What requests show of the version of their target.
namespace Briarbend::Gateway
{

class VersionObservationTest : public RequestFlowTest
{
protected:
    VersionObservationTest()
    {
        this->state.onObserved = [this](const AttemptObservation &observation) {
            this->observed.push_back(observation);
        };
    }

    /// What a target shows that answers 504 after 120 ms.
    AttemptObservation observeTimeout(std::chrono::milliseconds allowed)
    {
        this->addTarget("one", [](const auto &) {
            return Reaction{.status = 504, .delay = 120ms};
        });
        this->configureRoute(RouteKind::Once);
        this->run("a1", allowed);
        EXPECT_EQ(this->observed.size(), 1U);
        return this->observed.empty() ? AttemptObservation{} : this->observed.front();
    }

    std::vector<AttemptObservation> observed;
};

// Guards against rolling back a good version for callers that allow less time than it takes.
TEST_F(VersionObservationTest, callersShortTimeIsNoFailureOfTheVersion)
{
    const auto observation = this->observeTimeout(150ms);
    EXPECT_FALSE(observation.isFailure);
    EXPECT_TRUE(observation.isCutShort);
}

TEST_F(VersionObservationTest, timeoutWithTimeLeftIsAFailureOfTheVersion)
{
    EXPECT_TRUE(this->observeTimeout(1s).isFailure);
}

// Guards against a slow version of which nothing is seen since another target answers in its place.
TEST_F(VersionObservationTest, overtakenRequestCountsWithTheTimeThatItWaited)
{
    std::size_t requests = 0;
    const auto slowFirst = [&requests](const auto &) {
        return Reaction{.delay = ++requests == 1 ? 900ms : 1ms};
    };
    this->addTarget("one", slowFirst);
    this->addTarget("two", slowFirst);
    this->configureRoute(RouteKind::Safe, 2, 3s);
    this->run("a1", 3s);
    this->context.restart();
    this->context.run_for(50ms);
    const auto overtaken = std::ranges::count_if(this->observed, &AttemptObservation::isCutShort);
    const auto failed = std::ranges::count_if(this->observed, &AttemptObservation::isFailure);
    EXPECT_EQ(overtaken, 1);
    EXPECT_EQ(failed, 0);
}

} // namespace Briarbend::Gateway
