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

class StoreStandIn : public testing::Test
{
protected:
    Network::Response call(Http::verb method,
                           const std::string &target,
                           const std::string &body = {},
                           Http::field condition = Http::field::unknown,
                           const std::string &tag = {}) const
    {
        auto request = Network::makeRequest(method, target, this->endpoint.text());
        request.body() = body;
        if (condition != Http::field::unknown) {
            request.set(condition, tag);
        }
        return exchange(this->endpoint, std::move(request));
    }

    void control(const nlohmann::json &json) const
    {
        postJson(this->endpoint, "/control", json);
    }

    Process process{"standin_store", {"--listen", "127.0.0.1:0"}};
    Network::Endpoint endpoint{Network::parseEndpoint(process.waitUntilReady().at("listening").get<std::string>()).value()};
};

} // namespace

TEST_F(StoreStandIn, losesNoUpdateOfRacingWriters)
{
    constexpr int WRITERS = 8;
    constexpr int UPDATES = 25;
    this->call(Http::verb::put, "/objects/a/counter", "0");
    const auto increment = [this] {
        for (int done = 0; done < UPDATES;) {
            const auto read = this->call(Http::verb::get, "/objects/a/counter");
            const auto next = std::to_string(std::stoi(read.body()) + 1);
            const auto written = this->call(Http::verb::put, "/objects/a/counter", next, Http::field::if_match, read[Http::field::etag]);
            done += written.result() == Http::status::ok ? 1 : 0;
        }
    };
    std::vector<std::future<void>> writers(WRITERS);
    std::ranges::generate(writers, [&increment] {
        return std::async(std::launch::async, increment);
    });
    writers.clear();
    EXPECT_EQ(this->call(Http::verb::get, "/objects/a/counter").body(), std::to_string(WRITERS * UPDATES));
}

TEST_F(StoreStandIn, judgesEveryKindOfCondition)
{
    EXPECT_EQ(this->call(Http::verb::put, "/objects/k", "1", Http::field::if_match, "\"1\"").result(), Http::status::precondition_failed);
    EXPECT_EQ(this->call(Http::verb::put, "/objects/k", "1", Http::field::if_none_match, "*").result(), Http::status::created);
    const auto refused = this->call(Http::verb::put, "/objects/k", "2", Http::field::if_none_match, "*");
    EXPECT_EQ(refused.result(), Http::status::precondition_failed);
    EXPECT_EQ(refused[Http::field::etag], "\"1\"");
    EXPECT_EQ(this->call(Http::verb::delete_, "/objects/k", "", Http::field::if_match, "\"9\"").result(),
              Http::status::precondition_failed);
    EXPECT_EQ(this->call(Http::verb::delete_, "/objects/k", "", Http::field::if_match, "\"1\"").result(), Http::status::no_content);
    EXPECT_EQ(this->call(Http::verb::get, "/objects/k").result(), Http::status::not_found);
    EXPECT_EQ(this->call(Http::verb::put, "/objects/k", std::string(1024UL * 1024 + 1, 'x')).result(), Http::status::payload_too_large);
}

TEST_F(StoreStandIn, doesTheWriteWhoseAnswerItLoses)
{
    this->control({{"lose_answers", 1.0}});
    EXPECT_THROW(this->call(Http::verb::put, "/objects/k", "done"), boost::system::system_error);
    EXPECT_EQ(this->call(Http::verb::get, "/objects/k").body(), "done");
    this->control({{"lose_answers", 0.0}, {"outage", true}});
    EXPECT_THROW(this->call(Http::verb::put, "/objects/k", "not done"), boost::system::system_error);
    this->control({{"outage", false}});
    EXPECT_EQ(this->call(Http::verb::get, "/objects/k").body(), "done");
}

TEST_F(StoreStandIn, watchesAnswerToEachChangeAndNotBefore)
{
    EXPECT_EQ(this->call(Http::verb::get, "/objects?prefix=a/&after=0&wait=30").result(), Http::status::not_modified);
    auto prefixWatch = std::async(std::launch::async, [this] {
        return this->call(Http::verb::get, "/objects?prefix=a/&after=0&wait=9000");
    });
    auto objectWatch = std::async(std::launch::async, [this] {
        return this->call(Http::verb::get, "/objects/a/k?wait=9000", "", Http::field::if_none_match, "\"0\"");
    });
    const auto areWaiting = [this] {
        return getJson(this->endpoint, "/control/calls").at("waiting") == 2;
    };
    ASSERT_TRUE(eventually(areWaiting, EXCHANGE_TIMEOUT));
    this->call(Http::verb::put, "/objects/b/k", "other");
    EXPECT_TRUE(areWaiting());
    this->call(Http::verb::put, "/objects/a/k", "value");
    EXPECT_EQ(objectWatch.get().body(), "value");
    const auto listing = nlohmann::json::parse(prefixWatch.get().body());
    EXPECT_EQ(listing, nlohmann::json::parse(R"({"revision":2,"objects":[{"key":"a/k","version":2}]})"));
    const auto calls = getJson(this->endpoint, "/control/calls");
    EXPECT_EQ(calls.at("watch").at("count"), 3);
    EXPECT_EQ(calls.at("write").at("count"), 2);
}

TEST_F(StoreStandIn, showsTheInstanceListWithItsLagAndEnforcesLimits)
{
    const auto seen = [this] {
        return getJson(this->endpoint, "/instances").at("instances").size();
    };
    this->control({{"stale_reads", 600'000}, {"upsert_instance", {{"id", "127.0.0.1:1"}}}});
    EXPECT_EQ(seen(), 0U);
    this->control({{"stale_reads", 0}, {"write_limit", 3}});
    EXPECT_EQ(seen(), 1U);
    std::size_t refused = 0;
    for (int index = 0; index < 4; ++index) {
        refused += this->call(Http::verb::put, "/objects/k", "v").result() == Http::status::too_many_requests ? 1 : 0;
    }
    EXPECT_EQ(refused, 1U);
    EXPECT_THROW(this->control({{"outagee", true}}), std::runtime_error);
}

} // namespace Briarbend::Processes
