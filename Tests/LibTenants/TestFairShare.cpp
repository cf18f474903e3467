#include <LibCore/Random.h>
#include <LibTenants/FairShare.h>

#include <algorithm>
#include <cmath>
#include <gtest/gtest.h>
#include <numeric>

namespace Briarbend::Tenants
{

namespace
{

using namespace std::chrono_literals;

const Core::ServiceName SERVICE{"quotes"};

double fractionOf(const std::vector<TenantFraction> &limited, std::string_view tenant)
{
    const auto found = std::ranges::find(limited, tenant, &TenantFraction::tenant);
    return found == limited.end() ? 1 : found->fraction;
}

/// Many instances with two collectors, of which the first answers, and one service that serves a number of requests per second.
class Fleet
{
public:
    explicit Fleet(std::size_t count)
        : instances(count)
    {
        for (auto &instance : this->instances) {
            instance.countedSince = this->now;
        }
    }

    /// One second of requests in random order. They reach instances unevenly: those of a lower number get more.
    void runSecond(const std::map<std::string, std::size_t> &demand, std::size_t capacity)
    {
        std::vector<std::string> requests;
        for (const auto &[tenant, count] : demand) {
            requests.insert(requests.end(), count, tenant);
        }
        for (std::size_t left = requests.size(); left > 1; --left) {
            std::swap(requests[this->random.below(left)], requests[left - 1]);
        }
        this->asked.clear();
        this->served.clear();
        for (const auto &tenant : requests) {
            const auto position = this->random.unit();
            auto &instance
                = this->instances[static_cast<std::size_t>(position * std::sqrt(position) * static_cast<double>(this->instances.size()))];
            ++this->asked[tenant];
            countDemand(instance, SERVICE, tenant);
            if (this->random.unit() >= admittedFraction(instance, SERVICE, tenant, this->now)) {
                continue;
            }
            if (capacity == 0) {
                countRefused(instance, SERVICE, this->now);
                continue;
            }
            --capacity;
            countServed(instance, SERVICE);
            ++this->served[tenant];
        }
        this->now += SHARE_INTERVAL;
        this->exchange();
    }

    double servedShare(const std::string &tenant)
    {
        return this->served[tenant] / this->asked[tenant];
    }

    double servedShare()
    {
        return this->servedTotal() / std::transform_reduce(this->asked.begin(), this->asked.end(), 0.0, std::plus{}, [](const auto &entry) {
                   return entry.second;
               });
    }

    double servedTotal() const
    {
        return std::transform_reduce(this->served.begin(), this->served.end(), 0.0, std::plus{}, [](const auto &entry) {
            return entry.second;
        });
    }

    std::vector<InstanceShares> instances;
    /// Instances of a lower number neither reach the collectors nor hear them.
    std::size_t cutOff{0};
    bool hasCollector{true};
    Core::TimePoint now{100s};
    std::size_t reportsSent{0};

private:
    void exchange()
    {
        for (std::size_t number = 0; number < this->instances.size(); ++number) {
            auto services = takeDemand(this->instances[number], this->now);
            this->reportsSent += services.empty() ? 0 : 1;
            if (!services.empty() && number >= this->cutOff && this->hasCollector) {
                addReport(this->collector, {.reporter = std::to_string(number), .services = std::move(services)}, this->now);
            }
        }
        if (!this->hasCollector) {
            return;
        }
        const auto answer = computeFractions(this->collector, this->instances.size(), this->now);
        for (std::size_t number = this->cutOff; number < this->instances.size(); ++number) {
            applyFractions(this->instances[number], answer, this->now);
        }
    }

    Core::Random random{7};
    ShareCollector collector;
    std::map<std::string, double> asked;
    std::map<std::string, double> served;
};

/// As many tenants as the customer has, of which one may flood.
std::map<std::string, std::size_t> demandOf(std::size_t large)
{
    std::map<std::string, std::size_t> demand{{"large", large}};
    for (int number = 0; number < 83; ++number) {
        demand["small-" + std::to_string(number)] = 4;
    }
    return demand;
}

constexpr std::size_t CAPACITY = 500;
constexpr std::size_t INSTANCES = 134;

/// The served share of the worst tenth of the small tenants over some seconds.
double worstTenth(Fleet &fleet, std::size_t large, int seconds)
{
    std::map<std::string, double> sums;
    for (int second = 0; second < seconds; ++second) {
        fleet.runSecond(demandOf(large), CAPACITY);
        for (const auto &[tenant, count] : demandOf(large)) {
            sums[tenant] += fleet.servedShare(tenant) / seconds;
        }
    }
    std::vector<double> shares;
    std::ranges::transform(sums, std::back_inserter(shares), [](const auto &entry) {
        return entry.first == "large" ? 1 : entry.second;
    });
    std::ranges::sort(shares);
    return std::accumulate(shares.begin(), shares.begin() + 8, 0.0) / 8;
}

} // namespace

// Guards against a division that gives a tenant more than it asks for while another goes short, or that wastes capacity.
TEST(FairShare, capacityIsDividedByWeightedMaxMin)
{
    const auto limited = divideFairly({{"a", 10, 1}, {"b", 100, 1}, {"c", 100, 2}}, 100);
    EXPECT_EQ(fractionOf(limited, "a"), 1);
    EXPECT_NEAR(fractionOf(limited, "b"), 0.3, 1e-6);
    EXPECT_NEAR(fractionOf(limited, "c"), 0.6, 1e-6);
    EXPECT_TRUE(divideFairly({{"a", 10, 1}, {"b", 20, 1}}, 30).empty());
    EXPECT_TRUE(divideFairly({{"a", 10, 1}}, 0).empty()) << "without a served request there is no estimate";
    EXPECT_TRUE(divideFairly({}, 10).empty());
}

// Guards against a tenant that is starved because it asks for much more than the others.
TEST(FairShare, nobodyIsLimitedBelowAQuarterOfTheMean)
{
    Core::Random random{3};
    for (int round = 0; round < 200; ++round) {
        std::vector<TenantDemand> tenants;
        double total = 0;
        for (std::size_t number = 0; number <= random.below(100); ++number) {
            const auto demand = std::pow(10, 4 * random.unit());
            tenants.push_back({.tenant = std::to_string(number), .demand = demand, .weight = 1 + random.unit()});
            total += demand;
        }
        const auto capacity = total * random.unit();
        double admitted = 0;
        for (const auto limited = divideFairly(tenants, capacity); const auto &tenant : tenants) {
            const auto fraction = fractionOf(limited, tenant.tenant);
            EXPECT_GE(fraction, MINIMUM_SERVED_PART * capacity / total - 1e-9);
            admitted += fraction * tenant.demand;
        }
        EXPECT_NEAR(admitted, capacity, 0.011 * total) << "a fraction above 0.99 is no limit";
    }
}

// Guards against a large tenant that takes the capacity of many small ones.
TEST(FairShare, smallTenantsKeepTheirShareWhileALargeOneFloods)
{
    Fleet fleet(INSTANCES);
    const auto unlimited = worstTenth(fleet, 1500, 1);
    EXPECT_LT(unlimited, 0.3) << "the flood binds";
    worstTenth(fleet, 1500, 4);
    for (int second = 0; second < 10; ++second) {
        fleet.runSecond(demandOf(1500), CAPACITY);
        EXPECT_GE(fleet.servedTotal(), 0.9 * CAPACITY) << "capacity is wasted";
        EXPECT_GE(fleet.servedShare("large"), MINIMUM_SERVED_PART * fleet.servedShare()) << second;
    }
    EXPECT_GE(worstTenth(fleet, 1500, 10), 0.75);
}

// Guards against limits that outlast the flood, and against messages while nothing is short.
TEST(FairShare, limitsEndWithTheFlood)
{
    Fleet fleet(INSTANCES);
    worstTenth(fleet, 100, 5);
    EXPECT_EQ(fleet.reportsSent, 0U);
    worstTenth(fleet, 1500, 8);
    worstTenth(fleet, 100, 3);
    EXPECT_EQ(worstTenth(fleet, 100, 2), 1);
    EXPECT_EQ(fleet.servedShare(), 1);
    worstTenth(fleet, 100, 4);
    const auto sentBefore = fleet.reportsSent;
    worstTenth(fleet, 100, 3);
    EXPECT_EQ(fleet.reportsSent, sentBefore);
}

// Guards against limits that come and go with every refusal.
TEST(FairShare, moreRefusalsBeginAShortageThanKeepIt)
{
    ShareCollector collector;
    Core::TimePoint now{100s};
    const auto answerTo = [&](double refused) {
        now += SHARE_INTERVAL;
        addReport(collector,
                  {.reporter = "one",
                   .services = {{.service = SERVICE,
                                 .span = SHARE_INTERVAL,
                                 .counts = {.byTenant = {{"alpha", 1000}}, .served = 1000 - refused, .refused = refused}}}},
                  now);
        return computeFractions(collector, 1, now).size();
    };
    EXPECT_EQ(answerTo(10), 0U);
    EXPECT_EQ(answerTo(30), 1U);
    for (int second = 0; second < 5; ++second) {
        EXPECT_EQ(answerTo(1), 1U) << second;
    }
    EXPECT_EQ(answerTo(0), 1U);
    EXPECT_EQ(answerTo(0), 1U);
    EXPECT_EQ(answerTo(0), 0U);
    EXPECT_EQ(answerTo(10), 0U);
}

// Guards against an estimate that falls with the admitted requests and never recovers.
TEST(FairShare, limitsFollowTheCapacity)
{
    Fleet fleet(INSTANCES);
    for (int second = 0; second < 15; ++second) {
        fleet.runSecond(demandOf(1500), 200);
    }
    for (int second = 0; second < 10; ++second) {
        fleet.runSecond(demandOf(1500), 1000);
    }
    double served = 0;
    for (int second = 0; second < 10; ++second) {
        fleet.runSecond(demandOf(1500), 1000);
        served += fleet.servedTotal() / 10;
    }
    EXPECT_GE(served, 850);
}

// Guards against an instance that limits for ever after it was cut off, and against fractions from the few that a collector still hears.
TEST(FairShare, cutOffInstancesAdmitEverythingAfterTheLifetime)
{
    Fleet fleet(INSTANCES);
    worstTenth(fleet, 1500, 6);
    ASSERT_LT(admittedFraction(fleet.instances.front(), SERVICE, "large", fleet.now), 0.5);
    fleet.cutOff = 10;
    worstTenth(fleet, 1500, 4);
    EXPECT_EQ(admittedFraction(fleet.instances.front(), SERVICE, "large", fleet.now), 1);
    EXPECT_LT(admittedFraction(fleet.instances.back(), SERVICE, "large", fleet.now), 0.5);
    fleet.cutOff = 100;
    worstTenth(fleet, 1500, 6);
    EXPECT_EQ(admittedFraction(fleet.instances.back(), SERVICE, "large", fleet.now), 1) << "34 of 134 do not show the demand of all";
}

// Guards against limits that nobody renews after the collectors died.
TEST(FairShare, limitsExpireWithoutCollectorsAndComeBackWithThem)
{
    Fleet fleet(INSTANCES);
    worstTenth(fleet, 1500, 6);
    fleet.hasCollector = false;
    worstTenth(fleet, 1500, 2);
    EXPECT_LT(admittedFraction(fleet.instances.front(), SERVICE, "large", fleet.now), 0.5) << "a lost answer changes nothing";
    worstTenth(fleet, 1500, 1);
    EXPECT_EQ(admittedFraction(fleet.instances.front(), SERVICE, "large", fleet.now), 1);
    fleet.hasCollector = true;
    worstTenth(fleet, 1500, 3);
    EXPECT_LT(admittedFraction(fleet.instances.front(), SERVICE, "large", fleet.now), 0.5);
}

} // namespace Briarbend::Tenants
