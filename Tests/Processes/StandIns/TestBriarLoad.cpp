#include <Tests/Processes/Support/Exchange.h>
#include <Tests/Processes/Support/Process.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <set>

namespace Briarbend::Processes
{

namespace
{

constexpr std::chrono::seconds LOAD_TIMEOUT{30};

class BriarLoad : public testing::Test
{
protected:
    Process start(std::vector<std::string> arguments) const
    {
        arguments.insert(arguments.end(), {"--to", this->ready.at("listening").get<std::string>(), "--json", "--quiet"});
        return {"briarload", arguments};
    }

    void control(const nlohmann::json &json) const
    {
        postJson(Network::parseEndpoint(this->ready.at("control").get<std::string>()).value(), "/control", json);
    }

    std::vector<nlohmann::json> runs() const
    {
        const auto endpoint = Network::parseEndpoint(this->ready.at("control").get<std::string>()).value();
        std::istringstream lines(exchange(endpoint, Network::makeRequest(Network::Http::verb::get, "/control/history", "")).body());
        std::vector<nlohmann::json> found;
        for (std::string line; std::getline(lines, line);) {
            found.push_back(nlohmann::json::parse(line));
        }
        return found;
    }

    Process target{"standin_target", {"--listen", "127.0.0.1:0", "--control", "127.0.0.1:0"}};
    nlohmann::json ready = target.waitUntilReady();
};

} // namespace

TEST_F(BriarLoad, chargesAStallToEveryRequestThatWasDueInIt)
{
    this->control({{"shed_queue", 1000}});
    auto load = this->start({"--rate", "300", "--duration", "1"});
    ASSERT_TRUE(eventually(
        [this] {
            return this->runs().size() > 30;
        },
        LOAD_TIMEOUT));
    this->target.freeze();
    EXPECT_FALSE(load.waitForExit(std::chrono::milliseconds(400)));
    this->target.resume();
    const auto result = nlohmann::json::parse(load.readOutput(LOAD_TIMEOUT));
    EXPECT_EQ(load.waitForExit(LOAD_TIMEOUT), 0);
    EXPECT_EQ(result.at("outcomes").at("answered"), result.at("attempts"));
    // About two in five requests fell due within the 400 ms and waited for what was left of them.
    EXPECT_GT(result.at("latency_us").at("p90"), 200'000);
    EXPECT_LT(result.at("latency_us").at("p50"), 200'000);
    EXPECT_LT(result.at("send_delay_us").at("p50"), 50'000);
}

TEST_F(BriarLoad, findsWrongAnswersAndSaysSoByItsExitCode)
{
    this->control({{"trailing", 1.0}});
    auto load = this->start({"--rate", "300", "--duration", "0.3"});
    const auto result = nlohmann::json::parse(load.readOutput(LOAD_TIMEOUT));
    EXPECT_GT(result.at("outcomes").at("wrong_answer"), 0);
    EXPECT_EQ(load.waitForExit(LOAD_TIMEOUT), 2);
    this->control({{"trailing", 0.0}, {"fail_fast", true}});
    auto failing = this->start({"--rate", "300", "--duration", "0.2"});
    EXPECT_EQ(failing.waitForExit(LOAD_TIMEOUT), 1);
    EXPECT_EQ(this->start({"--rate", "0"}).waitForExit(LOAD_TIMEOUT), 64);
}

TEST_F(BriarLoad, itsHistoryAndThatOfTheTargetAgreeOnEveryRun)
{
    const auto file = std::filesystem::temp_directory_path() / ("briarload-" + std::to_string(this->target.pid()) + ".jsonl");
    this->control({{"close_mid_body", 0.2}});
    auto load = this->start(
        {"--rate", "500", "--duration", "0.5", "--resubmit", "1", "--route", "1,POST,/once/x,300,once", "--history", file.string()});
    EXPECT_EQ(load.waitForExit(LOAD_TIMEOUT), 1);
    std::set<std::string> attempts;
    std::set<std::string> keys;
    std::ifstream lines(file);
    for (std::string line; std::getline(lines, line);) {
        const auto event = nlohmann::json::parse(line);
        attempts.insert(event.at("request_id").get<std::string>());
        keys.insert(event.at("key").get<std::string>());
    }
    std::filesystem::remove(file);
    const auto targetRuns = this->runs();
    EXPECT_EQ(attempts.size(), targetRuns.size());
    EXPECT_LT(keys.size(), attempts.size());
    EXPECT_TRUE(std::ranges::all_of(targetRuns, [&](const auto &run) {
        return attempts.contains(run.at("request_id")) && keys.contains(run.at("key"));
    }));
}

} // namespace Briarbend::Processes
