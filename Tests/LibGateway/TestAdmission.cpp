#include <LibGateway/AdmissionControl.h>
#include <Tests/LibGateway/RequestFlowTest.h>

/// How a gateway shares the slots of a service by value.
namespace Briarbend::Gateway
{

namespace
{

class AdmissionTest : public RequestFlowTest
{
protected:
    AdmissionTest()
    {
        this->state.settings.admission.byValue = true;
        this->addTarget("one", [](const auto &) {
            return Reaction{};
        });
        this->configureRoute(RouteKind::Idempotent);
        this->state.routes["route"].statistics.workMilliseconds = 20;
    }

    Admission::ServiceAdmission &admission()
    {
        return findServiceWaiters(this->state, *this->service())->admission;
    }

    /// Makes the service contended, with urgent demand and the given sends of less urgent requests.
    void contend(int sends)
    {
        const auto now = Core::Clock::now();
        Admission::recordLoad(this->admission().contention, 60, 60, now);
        Admission::recordArrival(this->admission().demand, 0, 20, now);
        for (int index = 0; index < sends; ++index) {
            Admission::recordSent(this->admission().demand, 2, now);
        }
    }

    std::shared_ptr<RequestContext> makeRequest(const std::string &id, std::uint32_t priority)
    {
        auto request = this->makeContext(id);
        request->priority = priority;
        return request;
    }
};

} // namespace

// The last free slot went to whoever came first, and the next urgent request found none.
TEST_F(AdmissionTest, lastFreeSlotIsLeftToMoreUrgentRequestsWhileContended)
{
    this->targets.front()->load = "5,0,6,100";
    this->contend(0);
    EXPECT_EQ(this->run(this->makeRequest("cheap", 2)).response.result_int(), 503U);
    EXPECT_EQ(this->run(this->makeRequest("urgent", 0)).response.result_int(), 200U);
    EXPECT_EQ(this->state.counters.admission[2].refused, 1U);
    EXPECT_EQ(this->state.counters.admission[0].refused, 0U);
}

// A request with slack was refused at once although a slot became free soon after.
TEST_F(AdmissionTest, requestWithAProspectWaitsUntilAResponseFreesASlot)
{
    auto &target = *this->targets.front();
    target.load = "6,6,6,100";
    this->contend(200);
    boost::asio::steady_timer timer(this->context, 80ms);
    timer.async_wait([&](const boost::system::error_code &) {
        target.load = "1,0,6,100";
        recordSlotFreed(this->state, *this->service());
    });
    EXPECT_EQ(this->run(this->makeRequest("waits", 2)).response.result_int(), 200U);
    EXPECT_EQ(target.runs(), (std::vector<std::string>{"waits"}));
    EXPECT_EQ(this->state.counters.admission[2].queued, 1U);
    EXPECT_TRUE(this->admission().queue.waiting.empty());
}

// Urgent callers waited for a full service until their objective had passed.
TEST_F(AdmissionTest, urgentRequestToAFullServiceIsRefusedAfterAnEighthOfItsObjective)
{
    this->targets.front()->load = "6,12,6,100";
    const auto request = this->makeRequest("urgent", 0);
    const auto response = this->run(request).response;
    EXPECT_EQ(response.result_int(), 503U);
    EXPECT_EQ(response.count(Http::field::retry_after), 1U);
    EXPECT_LT(request->elapsed(), 300ms / 2);
    EXPECT_TRUE(this->admission().queue.waiting.empty());
}

// The place of a request whose caller has gone would block the queue.
TEST_F(AdmissionTest, requestWhoseCallerLeavesGivesUpItsPlace)
{
    this->targets.front()->load = "6,12,6,100";
    this->contend(60);
    RequestFlow flow(this->makeRequest("gone", 2));
    bool isEnded = false;
    boost::asio::co_spawn(this->context, flow.run(), [&isEnded](const std::exception_ptr &, const FlowResult &) {
        isEnded = true;
    });
    while (this->admission().queue.waiting.empty() && this->context.run_one_for(3s) > 0) { }
    EXPECT_EQ(this->admission().queue.waiting.size(), 1U);
    flow.callerGone();
    while (!isEnded && this->context.run_one_for(3s) > 0) { }
    EXPECT_TRUE(this->admission().queue.waiting.empty());
}

} // namespace Briarbend::Gateway
