#include <LibGateway/UsageReporter.h>
#include <Tests/LibDuties/FakePlatform.h>
#include <Tests/LibGateway/FakePeers.h>
#include <Tests/LibGateway/RequestFlowTest.h>

namespace Briarbend::Gateway
{

namespace
{

/// The interfaces to a fake platform, which notes broken rules as test failures.
class FakeDutyPlatform final : public DutyStore, public UsageEndpoint
{
public:
    boost::asio::awaitable<Duties::ReadResult> readDuty() override
    {
        co_return this->fake.read();
    }

    boost::asio::awaitable<Duties::WriteResult> writeDuty(Duties::WriteRecord write) override
    {
        co_return this->fake.write(write);
    }

    boost::asio::awaitable<Duties::CallResult> sendReport(std::string holder, Duties::SendReport report) override
    {
        co_return this->fake.call(holder, report);
    }

    Duties::FakePlatform fake;
};

struct ReportingInstance {
    ReportingInstance(boost::asio::io_context &context,
                      ManualTimers &timers,
                      FakeNetwork &network,
                      FakeDutyPlatform &platform,
                      const std::string &name,
                      std::uint32_t linkMegabits)
        : state(context.get_executor(), settings(name), Platform::wireDialect(), 3)
        , transport(network.makeTransport(name))
        , link(timers,
               *this->transport,
               Gossip::makeState(
                   {.id = {name + "-1"}, .address = {name}, .dataCentre = {"a"}, .linkMegabits = linkMegabits}, {{"a1"}}, timers.now()),
               this->random)
        , reporter(this->state,
                   timers,
                   this->link,
                   platform,
                   platform,
                   {.wall =
                        [&timers] {
                            return Core::WallTime(std::chrono::floor<std::chrono::milliseconds>(timers.now().time_since_epoch()));
                        },
                    .boot =
                        [&timers] {
                            return std::chrono::nanoseconds(timers.now().time_since_epoch());
                        }})
    {
    }

    static Settings::GatewaySettings settings(const std::string &name)
    {
        Settings::GatewaySettings settings;
        settings.instance.name = name;
        return settings;
    }

    Core::Random random{11};
    GatewayState state;
    std::unique_ptr<Peers::Transport> transport;
    Coordination::PeerLink link;
    UsageReporter reporter;
};

class UsageReporterTest : public testing::Test
{
protected:
    UsageReporterTest()
    {
        for (const auto &[name, linkMegabits] :
             std::vector<std::pair<std::string, std::uint32_t>>{{"a1", 10}, {"a2", 200}, {"a3", 100}, {"a4", 10}}) {
            this->instances.push_back(
                std::make_unique<ReportingInstance>(this->context, this->timers, this->network, this->platform, name, linkMegabits));
        }
    }

    void runFor(Core::Duration duration)
    {
        for (Core::Duration passed{0}; passed < duration; passed += 50ms) {
            this->timers.runFor(50ms);
            this->platform.fake.events.now = this->timers.now();
            this->context.restart();
            this->context.poll();
        }
    }

    boost::asio::io_context context;
    ManualTimers timers;
    FakeNetwork network;
    FakeDutyPlatform platform;
    std::vector<std::unique_ptr<ReportingInstance>> instances;
};

/// Guards against requests that are missing from the report of their window, and against reports by instances with narrow links.
TEST_F(UsageReporterTest, CountsOfAllInstancesAreReportedOnce)
{
    this->runFor(5s);
    EXPECT_EQ(this->platform.fake.reads + this->platform.fake.writes, 0U) << "without requests of tenants there is nothing to report";
    this->instances[0]->state.countRequest("t0");
    this->runFor(15s);
    const Duties::WindowIndex window = this->timers.now().time_since_epoch() / 5s;
    for (auto &instance : this->instances) {
        instance->state.countRequest("t1");
        instance->state.countRequest("t2")();
    }
    this->runFor(8s);
    ASSERT_TRUE(this->platform.fake.reports.contains(window));
    EXPECT_EQ(this->platform.fake.reports.at(window), (Duties::Counts{{"t1", 4}}));
    EXPECT_EQ(this->platform.fake.acts.back().holder, "a2");
    EXPECT_TRUE(this->instances[1]->state.holdsUsageDuty);
    EXPECT_GT(this->instances[1]->state.counters.usageReports, 0U);
}

/// Guards against counts that are lost when the holder stops, and against a stop that delays reports until the holder is missed.
TEST_F(UsageReporterTest, SuccessorReportsCountsOfInstancesThatStop)
{
    this->runFor(5s);
    this->instances[0]->state.countRequest("t0");
    this->runFor(20s);
    ASSERT_TRUE(this->instances[1]->state.holdsUsageDuty);
    const Duties::WindowIndex window = this->timers.now().time_since_epoch() / 5s;
    this->instances[1]->state.countRequest("t1");
    this->instances[0]->state.countRequest("t1");
    this->instances[0]->reporter.finish();
    this->instances[1]->reporter.finish();
    this->instances[1]->link.leave();
    this->runFor(11s);
    ASSERT_TRUE(this->platform.fake.reports.contains(window));
    EXPECT_EQ(this->platform.fake.reports.at(window), (Duties::Counts{{"t1", 2}}));
    EXPECT_TRUE(this->instances[2]->state.holdsUsageDuty);
}

/// Guards against a duty that moves when a holder is no longer the first, only the second, by the width of links.
TEST_F(UsageReporterTest, HolderKeepsDutyWhenWiderLinkJoins)
{
    this->runFor(5s);
    this->instances[0]->state.countRequest("t0");
    this->runFor(20s);
    this->instances.push_back(std::make_unique<ReportingInstance>(this->context, this->timers, this->network, this->platform, "a5", 500));
    this->runFor(30s);
    EXPECT_TRUE(this->instances[1]->state.holdsUsageDuty);
    EXPECT_EQ(this->platform.fake.record->record.token, 1U);
}

/// Guards against a smaller part of the fleet that takes the duty from a live holder and reports only its own counts.
TEST_F(UsageReporterTest, SeparatedMinorityLeavesDutyToLiveHolder)
{
    this->instances.push_back(std::make_unique<ReportingInstance>(this->context, this->timers, this->network, this->platform, "a5", 10));
    this->runFor(5s);
    this->instances[0]->state.countRequest("t0");
    this->runFor(20s);
    ASSERT_TRUE(this->instances[1]->state.holdsUsageDuty);
    this->network.separated = {"a3", "a4"};
    this->runFor(60s);
    EXPECT_TRUE(this->instances[1]->state.holdsUsageDuty);
    EXPECT_EQ(this->platform.fake.record->record.token, 1U);
}

/// Guards against messages that another build cannot read, and against bytes that end the process.
TEST(UsageMessageTest, MessagesSurviveEncodingAndMalformedBytesThrow)
{
    const UsageMessage counts = UsageCounts{.reporter = {"a-1"}, .sequence = 7, .windows = {{.window = 3, .counts = {{"t", 9}}}}};
    const UsageMessage holder = UsageHolder{.token = 4, .isActing = true};
    EXPECT_EQ(decodeUsage(encodeUsage(counts)), counts);
    EXPECT_EQ(decodeUsage(encodeUsage(holder)), holder);
    EXPECT_ANY_THROW(decodeUsage("\x81\x07"));
    EXPECT_ANY_THROW(decodeUsage(""));
}

/// Guards against one message that stops the reports of all instances: names that are not text, sums and tokens that overflow.
TEST(UsageMessageTest, ValuesOutOfRangeThrow)
{
    const auto decodeCount = [](const std::string &tenant, std::uint64_t count) {
        return decodeUsage(
            encodeUsage(UsageCounts{.reporter = {"a-1"}, .sequence = 7, .windows = {{.window = 3, .counts = {{tenant, count}}}}}));
    };
    const auto decodeToken = [](std::uint64_t token) {
        return decodeUsage(encodeUsage(UsageHolder{.token = token, .isActing = true}));
    };
    EXPECT_NO_THROW(decodeCount(std::string(128, '~'), 1'000'000'000));
    for (const auto &tenant : {std::string(), std::string(129, 'a'), std::string("\xff"), std::string("a\n")}) {
        EXPECT_THROW(decodeCount(tenant, 1), std::invalid_argument);
    }
    EXPECT_THROW(decodeCount("a", 1'000'000'001), std::invalid_argument);
    EXPECT_NO_THROW(decodeToken(std::uint64_t{1} << 62U));
    EXPECT_THROW(decodeToken((std::uint64_t{1} << 62U) + 1), std::invalid_argument);
}

class UsageCountingTest : public RequestFlowTest
{
protected:
    UsageCountingTest()
    {
        this->state.countRequest = [this](const std::string &tenant) {
            ++this->counts[tenant];
            return [this, tenant] {
                --this->counts[tenant];
            };
        };
    }

    void runFor(const std::string &tenant)
    {
        auto request = this->makeContext("a1");
        request->tenant = tenant;
        this->run(request);
    }

    Duties::Counts counts;
};

/// Guards against requests that count although the target says that it did not run them.
TEST_F(UsageCountingTest, RequestCountsUnlessTargetDidNotRunIt)
{
    this->addTarget("t1", [requests = std::size_t{0}](const Network::Request &) mutable {
        const bool isFirst = requests++ == 0;
        return Reaction{.status = isFirst ? 503 : 200, .isNotRun = isFirst};
    });
    this->configureRoute(RouteKind::Idempotent, 1);
    this->runFor("refused");
    this->runFor("big");
    this->runFor("");
    EXPECT_EQ(this->counts, (Duties::Counts{{"refused", 0}, {"big", 1}}));
}

/// Guards against work that is not reported: a request that two targets began to run counts twice.
TEST_F(UsageCountingTest, RequestThatTwoTargetsRanCountsTwice)
{
    for (const auto *name : {"t1", "t2"}) {
        this->addTarget(name, [](const Network::Request &) {
            return Reaction{.status = std::nullopt};
        });
    }
    this->configureRoute(RouteKind::Idempotent, 2);
    this->runFor("big");
    EXPECT_EQ(this->counts, (Duties::Counts{{"big", this->runsOf("a1")}}));
    EXPECT_EQ(this->runsOf("a1"), 2U);
}

} // namespace

} // namespace Briarbend::Gateway
