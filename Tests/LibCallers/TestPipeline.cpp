#include <LibCallers/Pipeline.h>

#include <gmock/gmock.h>
#include <rapidcheck/gtest.h>

namespace Briarbend::Callers
{

namespace
{

using testing::ElementsAre;
using testing::IsEmpty;

constexpr PipelineBounds BOUNDS{.requests = 8, .bytes = 1000};

RequestId add(Pipeline &pipeline, bool isAtMostOnce, bool closesConnection = false, std::uint64_t bytes = 1)
{
    return append(pipeline, {.isAtMostOnce = isAtMostOnce, .closesConnection = closesConnection, .bytes = bytes});
}

std::vector<RequestId> startAll(Pipeline &pipeline)
{
    std::vector<RequestId> started;
    while (const auto next = nextToStart(pipeline, BOUNDS)) {
        find(pipeline, *next)->stage = RequestStage::Running;
        started.push_back(*next);
    }
    return started;
}

} // namespace

// A request that runs at most once ran beside an earlier one, whose failure the caller could not have seen.
TEST(Pipeline, atMostOnceRequestRunsAlone)
{
    Pipeline pipeline;
    add(pipeline, false);
    add(pipeline, false);
    add(pipeline, true);
    add(pipeline, false);
    EXPECT_THAT(startAll(pipeline), ElementsAre(1, 2));
    removeFirst(pipeline);
    EXPECT_THAT(startAll(pipeline), IsEmpty());
    removeFirst(pipeline);
    EXPECT_THAT(startAll(pipeline), ElementsAre(3));
    removeFirst(pipeline);
    EXPECT_THAT(startAll(pipeline), ElementsAre(4));
}

// A response that was ready first overtook an earlier one.
TEST(Pipeline, onlyTheFirstResponseIsWritten)
{
    Pipeline pipeline;
    add(pipeline, false);
    add(pipeline, false);
    startAll(pipeline);
    find(pipeline, 2)->stage = RequestStage::Ready;
    EXPECT_FALSE(isNextReady(pipeline));
    find(pipeline, 1)->stage = RequestStage::Ready;
    EXPECT_TRUE(isNextReady(pipeline));
}

// Bytes behind a request that closes the connection were read as a request.
TEST(Pipeline, nothingIsReadBehindClosingRequestOrBeyondBounds)
{
    Pipeline pipeline;
    EXPECT_TRUE(mayRead(pipeline, {.requests = 1, .bytes = 0}));
    add(pipeline, false, false, 999);
    EXPECT_TRUE(mayRead(pipeline, BOUNDS));
    EXPECT_FALSE(mayRead(pipeline, {.requests = 1, .bytes = 1000}));
    add(pipeline, false, false, 1);
    EXPECT_FALSE(mayRead(pipeline, BOUNDS));
    EXPECT_THAT(startAll(pipeline), ElementsAre(1)) << "a connection at its bound of bytes starts nothing more";
    removeFirst(pipeline);
    EXPECT_TRUE(mayRead(pipeline, BOUNDS));
    add(pipeline, false, true);
    EXPECT_FALSE(mayRead(pipeline, BOUNDS));
}

// A planned stop sent requests that the caller could have sent to another instance, or lost some that had been sent.
TEST(Pipeline, stopKeepsWhatWasSent)
{
    Pipeline pipeline;
    for (int count = 0; count < 4; ++count) {
        add(pipeline, false);
    }
    startAll(pipeline);
    find(pipeline, 2)->wasSent = true;
    EXPECT_THAT(removeUnsent(pipeline), ElementsAre(3, 4));
    EXPECT_TRUE(pipeline.requests.back().closesConnection);
    EXPECT_THAT(removeUnsent(pipeline), IsEmpty());
    Pipeline unsent;
    add(unsent, true);
    add(unsent, false);
    EXPECT_THAT(removeUnsent(unsent), ElementsAre(2)) << "the first request is served as on any connection";
}

// Orders of arrivals, ends and writes that no example covers.
RC_GTEST_PROP(Pipeline, atMostOnceRequestsNeverRunBesideOthers, ())
{
    Pipeline pipeline;
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
    for (const auto step : steps) {
        if (step <= 1 && mayRead(pipeline, BOUNDS)) {
            add(pipeline, step == 1);
        } else if (step == 2) {
            startAll(pipeline);
        } else if (!pipeline.requests.empty() && pipeline.requests.front().stage == RequestStage::Running) {
            removeFirst(pipeline);
        }
        const auto isRunning = [](const PipelinedRequest &request) {
            return request.stage == RequestStage::Running;
        };
        const auto running = std::count_if(pipeline.requests.begin(), pipeline.requests.end(), isRunning);
        const bool hasOnce = std::any_of(pipeline.requests.begin(), pipeline.requests.end(), [&](const PipelinedRequest &request) {
            return isRunning(request) && request.isAtMostOnce;
        });
        RC_ASSERT(!hasOnce || (running == 1 && isRunning(pipeline.requests.front())));
        RC_ASSERT(pipeline.requests.size() <= BOUNDS.requests);
    }
}

// A connection was closed for memory that its running requests kept.
TEST(Pipeline, closingFreesNothingOfRunningRequests)
{
    Pipeline pipeline;
    for (const auto stage : {RequestStage::Ready, RequestStage::Running, RequestStage::Waiting}) {
        const auto id = append(pipeline, {.bytes = 10});
        find(pipeline, id)->stage = stage;
    }
    EXPECT_EQ(heldBytes(pipeline), 30U);
    EXPECT_EQ(bytesFreedByClosing(pipeline), 20U);
}

} // namespace Briarbend::Callers
