#include <LibNetwork/HttpServer.h>
#include <LibOperations/InstanceReport.h>

#include <boost/asio/co_spawn.hpp>
#include <gtest/gtest.h>

namespace Briarbend::Operations
{

namespace
{

InstanceReport reportOf(std::uint16_t port, const std::string &configuration)
{
    const auto body = R"({"instance":"i","data_centre":"x","ready":true,"configuration":)" + configuration + "}";
    return parseReport({"127.0.0.1", port}, body);
}

} // namespace

TEST(InstanceReport, anOlderOrMissingSectionIsOutOfStep)
{
    const std::vector<InstanceReport> reports{reportOf(1, R"({"a":5,"b":7})"), reportOf(2, R"({"a":6,"b":7})"), reportOf(3, R"({"a":6})")};
    const auto newest = newestVersions(reports);
    EXPECT_EQ(newest, (std::vector<SectionVersion>{{{"a"}, 6}, {{"b"}, 7}}));
    EXPECT_TRUE(isOutOfStep(reports[0], newest));
    EXPECT_FALSE(isOutOfStep(reports[1], newest));
    EXPECT_TRUE(isOutOfStep(reports[2], newest));
    const auto merged = mergeReports(reports);
    const MergedEntry expected{"/configuration/b", {{"7", {"127.0.0.1:1", "127.0.0.1:2"}}, {"-", {"127.0.0.1:3"}}}};
    EXPECT_NE(std::ranges::find(merged, expected), merged.end());
    EXPECT_THROW(parseReport({}, R"({"instance":"i"})"), std::runtime_error);
}

TEST(InstanceReport, oneSilentInstanceDoesNotHideTheOthers)
{
    boost::asio::io_context context;
    Network::HttpServer server(context, {"127.0.0.1", 0}, [](Network::Request) -> boost::asio::awaitable<Network::Response> {
        co_return Network::makeResponse(
            Network::Http::status::ok, "application/json", R"({"instance":"i","data_centre":"x","ready":false,"configuration":{}})");
    });
    const auto silent = Network::openAcceptor(context, {"127.0.0.1", 0});
    const Network::Endpoint silentAddress{"127.0.0.1", silent.local_endpoint().port()};
    std::vector<InstanceReport> reports;
    boost::asio::co_spawn(context,
                          fetchReports({silentAddress, server.endpoint()}, std::chrono::milliseconds(50)),
                          [&](const std::exception_ptr &exception, std::vector<InstanceReport> result) {
                              EXPECT_FALSE(exception);
                              reports = std::move(result);
                              context.stop();
                          });
    context.run();
    ASSERT_EQ(reports.size(), 2U);
    EXPECT_FALSE(reports[0].hasAnswered());
    EXPECT_EQ(reports[0].operatorAddress, silentAddress);
    EXPECT_EQ(reports[1].instance, "i");
}

} // namespace Briarbend::Operations
