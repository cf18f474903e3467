#include <LibNetwork/HttpServer.h>
#include <platform/StoreClient.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <functional>
#include <gtest/gtest.h>

namespace Briarbend::Platform
{

namespace
{

using namespace std::chrono_literals;
using namespace Gateway;
namespace Asio = boost::asio;
using Network::Http::status;

std::string server(const std::string &name)
{
    return R"({"metadata":{"name":")" + name
        + R"(","revision":7},"spec":{"address":"10.3.64.11:8343","born":5,"info":{"service":"huda62a","slots":6,"version":"v1",)"
          R"("zone":"north"},"status":{"coldLeftS":0,"seq":1,"state":"ready"}}})";
}

std::string page(const std::string &items, bool hasMore, int revision)
{
    return R"({"items":[)" + items + R"(],"more":)" + (hasMore ? "true" : "false") + R"(,"storeRevision":)" + std::to_string(revision)
        + "}";
}

Network::Response json(const std::string &body, status code = status::ok)
{
    return Network::makeResponse(code, "application/json", body);
}

/// Tests the client against a fake store whose responses each test defines.
class StoreClientTest : public testing::Test
{
protected:
    using Handler = std::function<Network::Response(const Network::Request &request)>;

    void respondWith(Handler newHandler)
    {
        this->handler = std::move(newHandler);
    }

    template<typename Result>
    Result wait(Asio::awaitable<Result> call)
    {
        std::optional<Result> result;
        Asio::co_spawn(this->context, std::move(call), [&result](const std::exception_ptr &error, Result value) {
            EXPECT_FALSE(error);
            result = std::move(value);
        });
        this->context.restart();
        const auto end = std::chrono::steady_clock::now() + 3s;
        while (!result && std::chrono::steady_clock::now() < end) {
            this->context.run_one_for(50ms);
        }
        EXPECT_TRUE(result.has_value()) << "the call did not end";
        return result.value_or(Result{});
    }

    ListResult list(Freshness freshness = Freshness::Linearizable)
    {
        return this->wait(this->client.list(ObjectKind::Targets, freshness));
    }

    WatchResult watch(std::chrono::milliseconds length = 100ms)
    {
        return this->wait(this->client.watch(ObjectKind::Targets, Revision{.era = 0, .number = 41}, length, Freshness::Relaxed));
    }

    WriteResult write()
    {
        return this->wait(this->client.writeProgress(
            "huda62a",
            Revision{.era = 0, .number = 12},
            {.state = RolloutState::Running, .version = {"v2"}, .startedAt = Core::WallTime(7ms), .share = 0.5}));
    }

    Asio::awaitable<Network::Response> handle(Network::Request request)
    {
        this->targets.emplace_back(request.target());
        this->bodies.push_back(request.body());
        if (this->isSilent) {
            Asio::steady_timer timer(this->context, 1h);
            co_await timer.async_wait(Asio::use_awaitable);
        }
        co_return this->handler(request);
    }

    Asio::io_context context;
    Handler handler;
    bool isSilent{false};
    std::vector<std::string> targets;
    std::vector<std::string> bodies;
    Network::HttpServer store{this->context, {.address = "127.0.0.1", .port = 0}, [this](Network::Request request) {
                                  return this->handle(std::move(request));
                              }};
    StoreClient client{this->context.get_executor(), this->store.endpoint()};
};

} // namespace

TEST_F(StoreClientTest, pagedListHasRevisionOfFirstPage)
{
    this->respondWith([](const Network::Request &request) {
        return request.target().find("after=") == boost::beast::string_view::npos ? json(page(server("a"), true, 50))
                                                                                  : json(page(server("b"), false, 53));
    });
    const auto listing = std::get<Listing>(this->list());
    ASSERT_EQ(listing.objects.size(), 2U);
    EXPECT_EQ(listing.objects[1].name, "b");
    EXPECT_EQ(listing.revision, (Revision{.era = 0, .number = 50})) << "a change between the pages is still to be watched for";
    EXPECT_EQ(this->targets, (std::vector<std::string>{"/v1/objects/servers", "/v1/objects/servers?after=a"}));
}

// A listing that counts as complete up to its newest page hides the changes that an older page lacks: a target that began to leave in
// between stays in use.
TEST_F(StoreClientTest, pagedListFromReplicasOfDifferentAgeHasRevisionOfOldestPage)
{
    this->respondWith([](const Network::Request &request) {
        return request.target().find("after=") == boost::beast::string_view::npos ? json(page(server("a"), true, 53))
                                                                                  : json(page(server("b"), false, 50));
    });
    const auto listing = std::get<Listing>(this->list(Freshness::Relaxed));
    EXPECT_EQ(listing.revision, (Revision{.era = 0, .number = 50}));
    EXPECT_EQ(listing.firstPage, (Revision{.era = 0, .number = 53}));
}

TEST_F(StoreClientTest, listPercentEncodesContinuationName)
{
    this->respondWith([](const Network::Request &request) {
        return request.target().find("after=") == boost::beast::string_view::npos ? json(page(server("a b&c/ä"), true, 50))
                                                                                  : json(page("", false, 53));
    });
    EXPECT_EQ(std::get<Listing>(this->list()).objects.size(), 1U);
    EXPECT_EQ(this->targets.back(), "/v1/objects/servers?after=a%20b%26c%2F%C3%A4");
}

TEST_F(StoreClientTest, repeatedPageFailsList)
{
    this->respondWith([](const Network::Request &) {
        return json(page(server("a"), true, 50));
    });
    EXPECT_TRUE(std::holds_alternative<StoreFailure>(this->list()));
    EXPECT_EQ(this->targets.size(), 2U);
}

TEST_F(StoreClientTest, incompletePageWithoutLastNameFailsList)
{
    for (const auto &items : std::vector<std::string>{{}, server("a") + "," + R"({"metadata":{},"spec":{}})"}) {
        this->respondWith([items](const Network::Request &) {
            return json(page(items, true, 50));
        });
        EXPECT_TRUE(std::holds_alternative<StoreFailure>(this->list())) << items;
    }
}

TEST_F(StoreClientTest, failedPageFailsCompleteList)
{
    this->respondWith([](const Network::Request &request) {
        return request.target().find("after=") == boost::beast::string_view::npos ? json(page(server("a"), true, 50))
                                                                                  : json("", status::too_many_requests);
    });
    EXPECT_EQ(std::get<StoreFailure>(this->list()).reason, "status 429");
}

TEST_F(StoreClientTest, relaxedCallsSetSerializableParameter)
{
    this->respondWith([](const Network::Request &) {
        return json(page("", false, 50));
    });
    this->list(Freshness::Relaxed);
    this->watch(250ms);
    EXPECT_EQ(this->targets[0], "/v1/objects/servers?serializable=1");
    EXPECT_EQ(this->targets[1], "/v1/objects/servers?watch=41&waitMs=250&serializable=1");
}

TEST_F(StoreClientTest, errorStatusFailsCall)
{
    for (const auto code : {status::service_unavailable, status::too_many_requests, status::internal_server_error, status::not_found}) {
        this->respondWith([code](const Network::Request &) {
            return json("{}", code);
        });
        const auto reason = "status " + std::to_string(static_cast<unsigned>(code));
        EXPECT_EQ(std::get<StoreFailure>(this->list()).reason, reason);
        EXPECT_EQ(std::get<StoreFailure>(this->watch()).reason, reason);
        EXPECT_EQ(std::get<StoreFailure>(this->write()).reason, reason);
    }
}

TEST_F(StoreClientTest, watchWithStatusGoneReturnsHistoryGone)
{
    this->respondWith([](const Network::Request &) {
        return json("{}", status::gone);
    });
    EXPECT_TRUE(std::holds_alternative<HistoryGone>(this->watch()));
}

TEST_F(StoreClientTest, writeWithStatusConflictReturnsRevisionConflict)
{
    this->respondWith([](const Network::Request &) {
        return json(server("huda62a"), status::conflict);
    });
    EXPECT_TRUE(std::holds_alternative<RevisionConflict>(this->write()));
    EXPECT_EQ(this->targets.back(), "/v1/objects/rollouts/huda62a/status");
    EXPECT_NE(this->bodies.back().find(R"("revision":12)"), std::string::npos) << this->bodies.back();
}

TEST_F(StoreClientTest, successfulWriteReturnsNewRevision)
{
    this->respondWith([](const Network::Request &) {
        return json(R"({"metadata":{"name":"huda62a","revision":77},"spec":{},"status":{}})");
    });
    EXPECT_EQ(std::get<Written>(this->write()).revision, (Revision{.era = 0, .number = 77}));
}

TEST_F(StoreClientTest, malformedBodyFailsCall)
{
    for (const std::string body : {"", "[]", "{", "null", R"({"items":7})", R"({"storeRevision":"x","events":[]})"}) {
        this->respondWith([body](const Network::Request &) {
            return json(body);
        });
        EXPECT_TRUE(std::holds_alternative<StoreFailure>(this->list())) << body;
        EXPECT_TRUE(std::holds_alternative<StoreFailure>(this->watch())) << body;
        EXPECT_TRUE(std::holds_alternative<StoreFailure>(this->write())) << body;
    }
}

TEST_F(StoreClientTest, abortedWatchFailsAndNextCallUsesNewConnection)
{
    bool isCut = true;
    this->respondWith([&isCut](const Network::Request &) {
        if (isCut) {
            throw Network::ExchangeAbandoned();
        }
        return json(R"({"events":[],"storeRevision":44})");
    });
    EXPECT_TRUE(std::holds_alternative<StoreFailure>(this->watch()));
    isCut = false;
    EXPECT_EQ(std::get<Changes>(this->watch()).revision, (Revision{.era = 0, .number = 44}));
}

TEST_F(StoreClientTest, silentStoreFailsWatchWithinTimeout)
{
    this->isSilent = true;
    const auto began = std::chrono::steady_clock::now();
    EXPECT_TRUE(std::holds_alternative<StoreFailure>(this->watch(100ms)));
    EXPECT_LT(std::chrono::steady_clock::now() - began, 1500ms) << "the watch's length, the call's 700 ms, and a busy machine";
}

TEST_F(StoreClientTest, dropConnectionsFailsCallsInProgress)
{
    this->isSilent = true;
    Asio::steady_timer timer(this->context, 100ms);
    timer.async_wait([this](const boost::system::error_code &) {
        this->client.dropConnections();
    });
    const auto began = std::chrono::steady_clock::now();
    EXPECT_TRUE(std::holds_alternative<StoreFailure>(this->watch(10s)));
    EXPECT_LT(std::chrono::steady_clock::now() - began, 2s);
}

} // namespace Briarbend::Platform
