#include <Tests/Processes/Support/Cluster.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <gtest/gtest.h>
#include <list>
#include <thread>

namespace Briarbend::Processes
{

namespace
{

using namespace std::chrono_literals;

constexpr std::chrono::seconds LOAD_TIMEOUT{60};
/// Probes that one target bears in any window of one second, from all instances together.
constexpr std::uint64_t PROBE_BUDGET = 50;
/// Connections that one target bears.
constexpr std::uint64_t CONNECTION_BUDGET = 200;

std::uint64_t largest(const Cluster &cluster, const std::string &counter)
{
    std::uint64_t value = 0;
    for (const auto &group : cluster.targetGroups) {
        for (const auto &counters : group.counters()) {
            value = std::max(value, counters.at(counter).get<std::uint64_t>());
        }
    }
    return value;
}

std::uint64_t runsOf(const TargetGroup &group)
{
    std::uint64_t runs = 0;
    for (const auto &counters : group.counters()) {
        runs += counters.at("requests").get<std::uint64_t>();
    }
    return runs;
}

} // namespace

TEST(ColdTargets, bearNoMoreThanOneRequestThroughRestartsAFreezeAndAKill)
{
    ClusterPlan plan;
    plan.instances = 5;
    Cluster cluster(std::move(plan));
    Process load("briarload", cluster.loadArguments({"--rate", "400", "--duration", "16", "--json", "--route", "1,GET,/x,100"}));
    const auto &restarted = cluster.targetGroups.front();
    ASSERT_TRUE(eventually(
        [&] {
            return runsOf(restarted) > 50;
        },
        10s));
    restarted.apply({{"restart", true}});
    cluster.instances.front().process->freeze();
    const auto runsAtRestart = runsOf(restarted);
    cluster.targetGroups.back().apply({{"restart", true}});
    cluster.instances.back().process->kill();
    cluster.instances.front().process->resume();
    load.waitForExit(LOAD_TIMEOUT);
    EXPECT_EQ(cluster.sumOfCounter("violations"), 0U);
    EXPECT_GT(runsOf(restarted), runsAtRestart) << "the restarted targets came back into service";
    EXPECT_LE(largest(cluster, "probes_peak_per_second"), PROBE_BUDGET);
    EXPECT_LE(largest(cluster, "connections_peak"), CONNECTION_BUDGET);
}

// Requests that waited for the trial of a suspect one were all sent to a cold target at once when the trial ended: each had been permitted
// when it was chosen.
TEST(ColdTargets, bearNoMoreThanOneOfTheRequestsThatWaitForATrial)
{
    constexpr std::size_t REQUESTS = 30;
    // Longer than the time for which an instance must have been a sender of the target.
    constexpr std::chrono::seconds SETTLED{9};
    ClusterPlan plan;
    plan.dataCentres = {"sfax-1"};
    plan.targetsPerDataCentre = 1;
    plan.instances = 1;
    plan.targetConditions = {{"mean_ms", 200}, {"spread", 0}};
    Cluster cluster(std::move(plan));
    const auto &instance = cluster.instances.front();
    const auto &target = cluster.targetGroups.front();
    std::this_thread::sleep_for(SETTLED);

    boost::asio::io_context context;
    std::list<boost::beast::tcp_stream> callers;
    const auto send = [&] {
        auto &caller = callers.emplace_back(context);
        caller.connect(instance.callers.tcp());
        auto request = Network::makeRequest(Network::Http::verb::get, "/x", instance.callers.text());
        Network::Http::write(caller, request);
    };
    send();
    ASSERT_TRUE(eventually(
        [&] {
            return runsOf(target) == 1;
        },
        EXCHANGE_TIMEOUT));
    // The request's connection is lost, which makes it suspect.
    target.apply({{"restart", true}});
    for (std::size_t index = 0; index < REQUESTS; ++index) {
        send();
    }
    for (auto &caller : callers) {
        boost::beast::flat_buffer buffer;
        Network::Response response;
        Network::Http::read(caller, buffer, response);
    }
    EXPECT_GT(runsOf(target), 2U) << "the cold target gets requests again";
    EXPECT_EQ(cluster.sumOfCounter("violations"), 0U);
}

TEST(ColdTargets, ofAServiceThatIsConfiguredLaterAreNotTakenForNew)
{
    constexpr std::size_t INSTANCES = 3;
    // Time in which a configuration comes into force everywhere.
    constexpr std::chrono::seconds IN_FORCE{4};
    ClusterPlan plan;
    plan.instances = 0;
    plan.declaredMaximumInstances = INSTANCES;
    Cluster cluster(std::move(plan));
    const auto &later = cluster.targetGroups.back();
    for (const auto &target : later.targets) {
        cluster.controlStore(
            {{"upsert_instance", {{"id", target}, {"service", "later"}, {"data_centre", "sfax-3"}, {"version", "v1"}, {"state", "live"}}}});
    }
    for (std::size_t index = 0; index < INSTANCES; ++index) {
        cluster.addInstance("sfax-3");
    }
    ASSERT_TRUE(eventually(
        [&cluster] {
            return std::ranges::all_of(cluster.instances, &EntryInstance::isReady);
        },
        20s));
    cluster.applyConfiguration("[[team.newcomers.service.later.route]]\npath = \"/later/\"\nkind = \"idempotent\"\n");
    const auto isServed = [](const EntryInstance &instance) {
        const auto request = Network::makeRequest(Network::Http::verb::get, "/later/1", instance.callers.text());
        return exchange(instance.callers, request).result() == Network::Http::status::ok;
    };
    EXPECT_TRUE(eventually(
        [&] {
            return std::ranges::all_of(cluster.instances, isServed);
        },
        IN_FORCE));
}

} // namespace Briarbend::Processes
