#include <Tests/LibGateway/CallerFrontendTest.h>

/// Callers that take their responses slowly or not at all.
namespace Briarbend::Gateway
{

namespace
{

/// More than the kernel buffers for one connection.
constexpr std::size_t LONG_BODY_BYTES = 12UL * 1024 * 1024;
/// Less than any time-out, and more than the kernel takes to show progress.
constexpr std::chrono::seconds STEP{8};

} // namespace

// A caller that took its response slowly was disconnected after a fixed time.
TEST_F(CallerFrontendTest, callerThatTakesBytesIsKeptAndOneThatTakesNoneIsCut)
{
    this->isVirtual = true;
    this->react = [](const auto &) {
        return Reaction{.paddingBytes = LONG_BODY_BYTES};
    };
    auto &slow = this->connect();
    slow.send(request("/slow"));
    EXPECT_TRUE(this->runUntil([&] {
        return this->state.counters.answered == 1;
    }));
    auto now = Core::Clock::now();
    for (int step = 0; step < 10; ++step) {
        EXPECT_TRUE(this->letRead(slow, 512UL * 1024));
        this->frontend->checkConnections(now += STEP);
    }
    EXPECT_EQ(this->state.counters.callersCut, 0U);
    EXPECT_EQ(this->service()->targets.front().ownInFlight, 0U) << "the response was read whole";
    for (int step = 0; step < 3; ++step) {
        this->frontend->checkConnections(now += STEP);
    }
    EXPECT_EQ(this->state.counters.callersCut, 1U);
    EXPECT_TRUE(this->runUntil([&] {
        return this->state.bodyBudget.held == 0 && this->state.callerConnections == 0;
    }));
}

// Memory held for stalled callers ended in refusals for all, or connections were closed before that.
TEST_F(CallerFrontendTest, backPressureComesInOrder)
{
    this->isVirtual = true;
    this->react = [](const auto &request) {
        return Reaction{.delay = 10ms, .paddingBytes = request.target() == "/stalled" ? LONG_BODY_BYTES : 0};
    };
    this->state.bodyBudget.limit = LONG_BODY_BYTES * 4 / 3;
    auto &stalled = this->connect();
    stalled.send(request("/stalled"));
    EXPECT_TRUE(this->runUntil([&] {
        return this->state.counters.answered == 1;
    }));
    auto &normal = this->connect();
    normal.startReading();
    normal.send(requests({"/a", "/b"}));
    std::uint32_t mostInFlight = 0;
    EXPECT_TRUE(this->runUntil([&] {
        mostInFlight = std::max(mostInFlight, this->state.requestsInFlight);
        return normal.hasInOrder({"body of /a", "body of /b"});
    })) << normal.text();
    EXPECT_EQ(mostInFlight, 2U) << "one request beside the stalled one";

    Core::ByteHold others(this->state.bodyBudget);
    EXPECT_TRUE(others.growTo(LONG_BODY_BYTES / 6));
    normal.send(request("/c"));
    EXPECT_TRUE(this->runUntil([&] {
        return normal.hasInOrder({"HTTP/1.1 503"});
    })) << normal.text();
    EXPECT_EQ(this->state.counters.callersCut, 0U);

    this->frontend->checkConnections(Core::Clock::now() + 500ms);
    this->frontend->checkConnections(Core::Clock::now() + STEP);
    EXPECT_EQ(this->state.counters.callersCut, 1U);
    normal.send(request("/d"));
    EXPECT_TRUE(this->runUntil([&] {
        return normal.hasInOrder({"503", "body of /d"});
    })) << normal.text();
}

// Memory for one request closed all stalled uploads, since none gave back its memory before its coroutine went on.
TEST_F(CallerFrontendTest, shortageClosesNoMoreStalledUploadsThanNeeded)
{
    constexpr std::size_t UPLOADS = 4;
    constexpr std::size_t SENT_BYTES = 60'000;
    this->isVirtual = true;
    this->state.bodyBudget.limit = UPLOADS * SENT_BYTES + 4'000;
    for (std::size_t index = 0; index < UPLOADS; ++index) {
        this->connect().send(unfinishedUpload("/upload", SENT_BYTES));
    }
    EXPECT_TRUE(this->runUntil([&] {
        return this->state.bodyBudget.held >= UPLOADS * SENT_BYTES;
    }));
    const auto now = Core::Clock::now() + STEP;
    this->state.relieveMemory = [this, now] {
        const auto before = this->state.counters.callersCut;
        this->frontend->checkConnections(now);
        return this->state.counters.callersCut > before;
    };
    Core::ByteHold other(this->state.bodyBudget);
    EXPECT_TRUE(takeMemory(this->state, other, SENT_BYTES));
    EXPECT_EQ(this->state.counters.callersCut, 1U);
}

// A stalled upload behind a request that was sent to a target cost the caller the response to that request.
TEST_F(CallerFrontendTest, shortageDropsStalledUploadAndKeepsEarlierRequest)
{
    constexpr std::size_t SENT_BYTES = 60'000;
    this->isVirtual = true;
    this->react = [](const auto &) {
        return Reaction{.delay = 500ms};
    };
    this->state.bodyBudget.limit = SENT_BYTES + 4'000;
    auto &caller = this->connect();
    caller.startReading();
    caller.send(request("/a") + unfinishedUpload("/upload", SENT_BYTES));
    EXPECT_TRUE(this->runUntil([&] {
        return this->hasArrived("/a") && this->state.bodyBudget.held >= SENT_BYTES;
    }));
    this->frontend->checkConnections(Core::Clock::now() + STEP);
    EXPECT_LT(this->state.bodyBudget.held, SENT_BYTES) << "the upload is dropped at once";
    EXPECT_TRUE(this->runUntil([&] {
        return caller.isEnded();
    }));
    EXPECT_TRUE(caller.hasInOrder({"200", "Connection: close", "body of /a"})) << caller.text();
    EXPECT_EQ(this->state.counters.callersCut, 0U);
    EXPECT_FALSE(this->hasArrived("/upload"));
}

// A caller that took none of its response was kept as long as it sent bytes of another request.
TEST_F(CallerFrontendTest, sendingDoesNotCountAsTakingResponse)
{
    constexpr std::size_t SENT_BYTES = 60'000;
    this->isVirtual = true;
    this->react = [](const auto &) {
        return Reaction{.delay = 100ms, .paddingBytes = LONG_BODY_BYTES};
    };
    this->state.bodyBudget.limit = 2 * LONG_BODY_BYTES;
    auto &caller = this->connect();
    caller.send(request("/slow") + unfinishedUpload("/upload", SENT_BYTES));
    const auto sendMore = [&](std::size_t expectedBytes) {
        caller.send(std::string(SENT_BYTES / 4, 'x'));
        EXPECT_TRUE(this->runUntil([&] {
            return this->state.bodyBudget.held >= LONG_BODY_BYTES + expectedBytes;
        }));
    };
    EXPECT_TRUE(this->runUntil([&] {
        return this->state.counters.answered == 1;
    }));
    sendMore(SENT_BYTES * 5 / 4);
    this->frontend->checkConnections(Core::Clock::now());
    const auto stalled = Core::Clock::now();
    sendMore(SENT_BYTES * 3 / 2);
    EXPECT_EQ(this->state.counters.callersCut, 0U);
    this->frontend->checkConnections(stalled + 15s);
    EXPECT_EQ(this->state.counters.callersCut, 1U);
}

// Callers that read a few bytes at a time, and for which responses are held, delayed others or were disconnected.
TEST_F(CallerFrontendTest, thousandSlowCallersDoNotDelayOthers)
{
    constexpr std::size_t SLOW_CALLERS = 1000;
    constexpr std::size_t FIRST_BYTES = 16;
    // Several times what the kernel buffers for a caller with small buffers.
    constexpr std::size_t BODY_BYTES = 200'000;
    this->state.bodyBudget.limit = 2 * SLOW_CALLERS * BODY_BYTES;
    this->react = [](const auto &request) {
        return Reaction{.paddingBytes = request.target() == "/slow" ? BODY_BYTES : 0};
    };
    for (std::size_t index = 0; index < SLOW_CALLERS; ++index) {
        this->connect(true).send(requests({"/slow", "/next"}));
        this->context.restart();
        this->context.poll();
    }
    EXPECT_TRUE(this->runUntil([&] {
        const auto &counters = this->state.counters;
        return counters.answered + counters.refused + counters.failed == 2 * SLOW_CALLERS;
    }));
    EXPECT_EQ(this->state.counters.answered, 2 * SLOW_CALLERS);
    std::ranges::for_each(this->callers, [this](const auto &caller) {
        EXPECT_TRUE(this->letRead(*caller, FIRST_BYTES));
    });
    const auto expectHeld = [this] {
        EXPECT_GE(this->state.bodyBudget.held, SLOW_CALLERS * BODY_BYTES);
        EXPECT_GE(this->state.requestsInFlight, 2 * SLOW_CALLERS);
    };
    expectHeld();
    auto &normal = this->connect();
    normal.startReading();
    const auto sent = Core::Clock::now();
    normal.send(requests({"/a", "/b", "/c"}));
    EXPECT_TRUE(this->runUntil([&] {
        return normal.hasInOrder({"body of /a", "body of /b", "body of /c"});
    })) << normal.text();
    EXPECT_LE(Core::Clock::now() - sent, 500ms);
    expectHeld();
    EXPECT_EQ(this->state.counters.callersCut, 0U);
    EXPECT_EQ(this->state.callerConnections, SLOW_CALLERS + 1);
}

} // namespace Briarbend::Gateway
