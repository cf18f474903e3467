#include <Tests/Processes/Support/Exchange.h>
#include <Tests/Processes/Support/Process.h>

#include <algorithm>
#include <future>
#include <gtest/gtest.h>

namespace Briarbend::Processes
{

namespace
{

namespace Http = Network::Http;

class TargetStandIn : public testing::Test
{
protected:
    Network::Response get(const std::string &target, const std::string &crashMarker = {}, Core::Duration timeout = EXCHANGE_TIMEOUT) const
    {
        auto request = Network::makeRequest(Http::verb::get, target, this->endpoint.text());
        if (!crashMarker.empty()) {
            request.set("x-crash", crashMarker);
        }
        return exchange(this->endpoint, std::move(request), timeout);
    }

    std::vector<std::future<Network::Response>> getMany(std::size_t count, Core::Duration timeout = EXCHANGE_TIMEOUT) const
    {
        std::vector<std::future<Network::Response>> answers(count);
        std::ranges::generate(answers, [this, timeout] {
            return std::async(std::launch::async, [this, timeout] {
                return this->get("/x", {}, timeout);
            });
        });
        return answers;
    }

    void control(const nlohmann::json &json) const
    {
        postJson(this->controlEndpoint, "/control", json);
    }

    nlohmann::json counter(const std::string &name) const
    {
        return getJson(this->controlEndpoint, "/control/counters").at(0).at(name);
    }

    bool eventuallyCounts(const std::string &name, int value) const
    {
        return eventually(
            [&] {
                return this->counter(name) == value;
            },
            EXCHANGE_TIMEOUT);
    }

    Process process{"standin_target", {"--listen", "127.0.0.1:0", "--control", "127.0.0.1:0"}};
    nlohmann::json ready = process.waitUntilReady();
    Network::Endpoint endpoint{Network::parseEndpoint(ready.at("listening").get<std::string>()).value()};
    Network::Endpoint controlEndpoint{Network::parseEndpoint(ready.at("control").get<std::string>()).value()};
};

} // namespace

TEST_F(TargetStandIn, countsAndFailsWhatExceedsAColdStartAndWarmsUpByCompletedRequests)
{
    this->control({{"cold", true}, {"cold_completions", 3}, {"mean_ms", 1e7}});
    auto first = this->getMany(1);
    ASSERT_TRUE(this->eventuallyCounts("in_flight", 1));
    EXPECT_EQ(this->get("/x").result(), Http::status::internal_server_error);
    EXPECT_EQ(this->get("/x").result(), Http::status::internal_server_error);
    EXPECT_EQ(this->counter("violations"), 2);
    this->control({{"mean_ms", 0.1}, {"restart", true}});
    EXPECT_THROW(first.front().get(), boost::system::system_error);
    for (int index = 0; index < 3; ++index) {
        EXPECT_EQ(this->counter("cold"), true);
        EXPECT_EQ(this->get("/x").result(), Http::status::ok);
    }
    EXPECT_EQ(this->counter("cold"), false);
    EXPECT_EQ(this->counter("violations"), 2);
}

TEST_F(TargetStandIn, runsSixAtOnceQueuesTheRestAndDropsWhatItsCallerLeft)
{
    this->control({{"mean_ms", 1e7}});
    auto answers = this->getMany(8, std::chrono::milliseconds(1500));
    ASSERT_TRUE(this->eventuallyCounts("in_flight", 8));
    for (auto &answer : answers) {
        EXPECT_THROW(answer.get(), boost::system::system_error);
    }
    EXPECT_TRUE(this->eventuallyCounts("cancelled", 2));
    EXPECT_EQ(this->counter("in_flight"), 6);
    this->control({{"shed_queue", 0}});
    const auto shed = this->get("/x");
    EXPECT_EQ(shed.result(), Http::status::service_unavailable);
    EXPECT_EQ(shed["Request-Not-Run"], "?1");
    EXPECT_FALSE(shed[Http::field::retry_after].empty());
}

TEST_F(TargetStandIn, crashesOnAMarkedRequestAndComesBackColdAsANewStart)
{
    const auto start = this->counter("start");
    this->control({{"dead_ms", 1000}});
    EXPECT_THROW(this->get("/x", "poison"), boost::system::system_error);
    EXPECT_THROW(this->get("/x"), boost::system::system_error);
    const auto isBack = [this] {
        try {
            return this->get("/load").result() == Http::status::ok;
        } catch (const boost::system::system_error &) {
            return false;
        }
    };
    ASSERT_TRUE(eventually(isBack, EXCHANGE_TIMEOUT));
    EXPECT_GT(this->counter("start"), start);
    EXPECT_EQ(this->counter("cold"), true);
    EXPECT_EQ(this->counter("crashes"), (nlohmann::json{{"poison", 1}}));
}

TEST_F(TargetStandIn, finishesWhatItHasAndRefusesNewWorkWhileItDrains)
{
    this->control({{"mean_ms", 2000}});
    auto running = this->getMany(1);
    ASSERT_TRUE(this->eventuallyCounts("requests", 1));
    this->control({{"drain", true}});
    const auto refused = this->get("/x");
    EXPECT_EQ(refused.result(), Http::status::service_unavailable);
    EXPECT_EQ(refused["Request-Not-Run"], "?1");
    EXPECT_EQ(running.front().get().result(), Http::status::ok);
    const auto report = nlohmann::json::parse(this->get("/load").body());
    EXPECT_EQ(report.at("named_metrics").at("leaving"), 1);
    EXPECT_EQ(this->counter("probes"), 1);
    EXPECT_EQ(this->counter("completed"), 1);
}

TEST_F(TargetStandIn, answersWrongOnDemandSoThatAStrictClientNotices)
{
    this->control({{"truncate", 1.0}});
    EXPECT_THROW(this->get("/x", {}, std::chrono::milliseconds(200)), boost::system::system_error);
    this->control({{"truncate", 0.0}, {"close_mid_body", 1.0}});
    EXPECT_THROW(this->get("/x"), boost::system::system_error);
    this->control({{"close_mid_body", 0.0}});
    EXPECT_EQ(this->get("/x?bytes=100").body(), this->get("/x?bytes=300").body().substr(0, 100));
    EXPECT_NE(this->get("/x?bytes=100").body(), this->get("/y?bytes=100").body());
}

} // namespace Briarbend::Processes
