#include <LibGateway/TenantShareDisseminator.h>
#include <Tests/LibGateway/FakePeers.h>

#include <algorithm>
#include <gtest/gtest.h>

namespace Briarbend::Gateway
{

namespace
{

using namespace std::chrono_literals;

const Core::ServiceName SERVICE{"quotes"};

struct SharingInstance {
    SharingInstance(ManualTimers &timers, FakeNetwork &network, const std::string &name, std::uint32_t linkMegabits)
        : transport(network.makeTransport(name))
        , link(timers,
               *this->transport,
               Gossip::makeState(
                   {.id = {name}, .address = {name}, .dataCentre = {"a"}, .linkMegabits = linkMegabits}, {{"a1"}, {"a4"}}, timers.now()),
               this->random)
        , disseminator(timers, this->link, this->shares, [this] {
            return this->hasTenants;
        })
    {
    }

    Core::Random random{9};
    bool hasTenants{true};
    Tenants::InstanceShares shares;
    std::unique_ptr<Peers::Transport> transport;
    Coordination::PeerLink link;
    TenantShareDisseminator disseminator;
};

/// Five instances, of which the first two have the widest links and so collect.
class TenantSharesTest : public testing::Test
{
protected:
    TenantSharesTest()
    {
        for (const std::string name : {"a1", "a2", "a3", "a4", "a5"}) {
            this->instances[name] = std::make_unique<SharingInstance>(this->timers, this->network, name, name < "a3" ? 200U : 20U);
        }
        this->timers.runFor(8s);
    }

    /// Some seconds in which a large and a small tenant ask each instance for more than the service can do.
    void runSeconds(int seconds)
    {
        for (int second = 0; second < seconds; ++second) {
            for (auto &[name, instance] : this->instances) {
                for (int request = 0; request < 20; ++request) {
                    Tenants::countDemand(instance->shares, SERVICE, request < 18 ? "large" : "small");
                    request % 2 == 0 ? Tenants::countServed(instance->shares, SERVICE)
                                     : Tenants::countRefused(instance->shares, SERVICE, this->timers.now());
                }
            }
            this->timers.runFor(1s);
        }
    }

    double fraction(const std::string &name, std::string_view tenant)
    {
        return Tenants::admittedFraction(this->instances.at(name)->shares, SERVICE, tenant, this->timers.now());
    }

    std::size_t messagesSent() const
    {
        std::size_t messages = 0;
        for (const auto &[name, instance] : this->instances) {
            for (const auto &[key, total] : instance->link.sentTraffic().totals) {
                messages += key.first == Coordination::Channel::TenantShares ? total.messages : 0;
            }
        }
        return messages;
    }

    ManualTimers timers;
    FakeNetwork network;
    std::map<std::string, std::unique_ptr<SharingInstance>> instances;
};

} // namespace

// Guards against instances that do not hear of a limit, and against messages while no service is short.
TEST_F(TenantSharesTest, everyInstanceLimitsTheLargeTenant)
{
    this->timers.runFor(5s);
    EXPECT_EQ(this->messagesSent(), 0U);
    this->runSeconds(4);
    for (const auto &[name, instance] : this->instances) {
        EXPECT_NEAR(this->fraction(name, "large"), 0.5, 0.1) << name;
        EXPECT_EQ(this->fraction(name, "small"), 1) << name;
    }
    // Each second five reports, less the collectors' own, to two collectors, and one answer to the four others.
    EXPECT_LE(this->messagesSent(), 4U * (8 + 4));
    this->timers.runFor(10s);
    EXPECT_EQ(this->fraction("a5", "large"), 1);
    const auto sentBefore = this->messagesSent();
    this->timers.runFor(5s);
    EXPECT_EQ(this->messagesSent(), sentBefore);
}

// Guards against limits that end, or that nobody renews, when collectors die.
TEST_F(TenantSharesTest, limitsOutliveEitherCollectorAndReturnAfterBoth)
{
    this->runSeconds(4);
    this->instances.erase("a1");
    for (int second = 0; second < 6; ++second) {
        this->runSeconds(1);
        EXPECT_LT(this->fraction("a5", "large"), 0.7) << second;
    }
    this->instances.erase("a2");
    this->runSeconds(12);
    EXPECT_LT(this->fraction("a5", "large"), 0.7) << "others collect";
}

// Guards against limits in a deployment whose configuration has no tenants any more.
TEST_F(TenantSharesTest, limitsEndWithTheTenantsOfTheConfiguration)
{
    this->runSeconds(4);
    auto &instance = *this->instances.at("a5");
    instance.hasTenants = false;
    this->timers.runFor(1s);
    instance.hasTenants = true;
    EXPECT_EQ(this->fraction("a5", "large"), 1);
}

// Guards against a report or an answer that changes on its way.
TEST(TenantShareMessage, roundTripsAndRejectsMalformedMessages)
{
    const Tenants::DemandReport report{
        .reporter = "10.0.0.1:7000",
        .services = {{.service = SERVICE, .span = 1003ms, .counts = {.byTenant = {{"alpha", 7}, {"beta", 0}}, .served = 5, .refused = 2}}}};
    const auto received = std::get<Tenants::DemandReport>(decodeTenantShares(encodeTenantShares(report)));
    EXPECT_EQ(received.reporter, report.reporter);
    ASSERT_EQ(received.services.size(), 1U);
    EXPECT_EQ(received.services[0].service, SERVICE);
    EXPECT_EQ(received.services[0].span, 1003ms);
    EXPECT_EQ(received.services[0].counts.byTenant, report.services[0].counts.byTenant);
    EXPECT_EQ(received.services[0].counts.served, 5);
    EXPECT_EQ(received.services[0].counts.refused, 2);
    const auto answer = std::get<TenantShareAnswer>(decodeTenantShares(
        encodeTenantShares(TenantShareAnswer{{{.service = SERVICE, .limited = {{.tenant = "alpha", .fraction = 0.25}}}}})));
    ASSERT_EQ(answer.services.size(), 1U);
    EXPECT_EQ(answer.services[0].limited, (std::vector<Tenants::TenantFraction>{{.tenant = "alpha", .fraction = 0.25}}));
    const auto outOfRange = encodeTenantShares(TenantShareAnswer{{{.service = SERVICE, .limited = {{.tenant = "a", .fraction = -1}}}}});
    for (const std::string &bytes : {std::string{}, std::string("x"), std::string("\x80"), std::string("\x82\x18\x63\x01"), outOfRange}) {
        EXPECT_THROW(decodeTenantShares(bytes), std::exception);
    }
}

} // namespace Briarbend::Gateway
