#include <LibCore/BoundedJson.h>
#include <LibGateway/DutyRecordStore.h>
#include <LibNetwork/HttpServer.h>
#include <platform/StoreClient.h>
#include <platform/UsageClient.h>
#include <platform/UsageCodec.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <gtest/gtest.h>

namespace Briarbend::Platform
{

namespace
{

using namespace std::chrono_literals;
namespace Asio = boost::asio;
using Network::Http::status;

constexpr const char *STORED = R"({"metadata":{"name":"usage","revision":8},"spec":{"token":3,"holder":"b","process":"b-1","window":70,)"
                               R"("counts":{"t":5}}})";

class DutyClientTest : public testing::Test
{
protected:
    template<typename Result>
    Result wait(Asio::awaitable<Result> call)
    {
        // g++ 12 takes the result of a coroutine that passes through a future for uninitialised.
        auto result = std::make_unique<Result>();
        auto isDone = Asio::co_spawn(this->context, storeResult(std::move(call), *result), Asio::use_future);
        this->context.restart();
        while (isDone.wait_for(0s) != std::future_status::ready && this->context.run_one_for(3s) > 0) { }
        isDone.get();
        return std::move(*result);
    }

    template<typename Result>
    static Asio::awaitable<void> storeResult(Asio::awaitable<Result> call, Result &result)
    {
        result = co_await std::move(call);
    }

    Asio::awaitable<Network::Response> handle(Network::Request received)
    {
        this->request = std::move(received);
        auto response = Network::makeResponse(this->code, "application/json", this->body);
        response.set("Store-Era", "2");
        response.set(Network::Http::field::retry_after, "0.25");
        co_return response;
    }

    Asio::io_context context;
    status code{status::ok};
    std::string body;
    Network::Request request;
    Network::HttpServer server{this->context, {.address = "127.0.0.1", .port = 0}, [this](Network::Request received) {
                                   return this->handle(std::move(received));
                               }};
    StoreClient store{this->context.get_executor(), this->server.endpoint()};
    Gateway::DutyRecordStore duties{this->store};
    UsageClient usage{this->context.get_executor(), this->server.endpoint()};
};

/// Guards against a record that a later process reads differently, or as absent where it is only unreadable.
TEST_F(DutyClientTest, ReadReturnsRecordOrItsAbsence)
{
    this->body = STORED;
    const auto stored = std::get<Duties::StoredRecord>(this->wait(this->duties.readDuty()));
    EXPECT_EQ(this->request.target(), "/v1/objects/briarbend-duties/usage");
    const Duties::DutyRecord expected{.token = 3, .holder = "b", .process = "b-1", .window = 70, .counts = {{"t", 5}}};
    EXPECT_EQ(stored.record, expected);
    EXPECT_EQ(stored.version, (Duties::RecordVersion{.era = 2, .number = 8}));
    this->body = "{}";
    EXPECT_TRUE(std::holds_alternative<Duties::NoResponse>(this->wait(this->duties.readDuty())));
    this->code = status::not_found;
    EXPECT_TRUE(std::holds_alternative<Duties::RecordAbsent>(this->wait(this->duties.readDuty())));
}

/// Guards against an unconditional write, which would overwrite the record of another holder.
TEST_F(DutyClientTest, WriteIsConditional)
{
    this->body = STORED;
    const Duties::DutyRecord record{.token = 4, .holder = "a", .process = "a-1", .window = 71, .counts = {}};
    const auto written = this->wait(this->duties.writeDuty({.expected = {{.era = 2, .number = 7}}, .record = record}));
    EXPECT_EQ(std::get<Duties::RecordWritten>(written).version, (Duties::RecordVersion{.era = 2, .number = 8}));
    EXPECT_EQ(this->request.method(), Network::Http::verb::put);
    EXPECT_NE(this->request.body().find(R"("revision":7)"), std::string::npos);
    EXPECT_EQ(Gateway::decodeDutyRecord(Core::findMember(this->request.body(), "spec").value()), record);

    this->code = status::conflict;
    const auto conflict = std::get<Duties::RecordConflict>(this->wait(this->duties.writeDuty({.expected = {}, .record = record})));
    EXPECT_EQ(this->request.method(), Network::Http::verb::post);
    EXPECT_EQ(this->request.target(), "/v1/objects/briarbend-duties");
    ASSERT_TRUE(conflict.current);
    EXPECT_EQ(conflict.current->record.holder, "b");
}

/// Guards against a refusal that is taken for a passing failure, after which the token would be used again.
TEST_F(DutyClientTest, ReportCarriesTokenAndTellsRefusalFromFailure)
{
    const Duties::SendReport report{.token = 9, .window = 71, .counts = {{"t", 5}}};
    EXPECT_TRUE(std::holds_alternative<Duties::CallAccepted>(this->wait(this->usage.sendReport("a", report))));
    EXPECT_EQ(this->request["Duty-Holder"], "a");
    EXPECT_EQ(this->request["Fence-Token"], "9");
    EXPECT_EQ(this->request.body(), R"({"counts":{"t":5},"window":71})");
    this->code = status::conflict;
    EXPECT_TRUE(std::holds_alternative<Duties::TokenRefused>(this->wait(this->usage.sendReport("a", report))));
    this->code = status::too_many_requests;
    EXPECT_EQ(std::get<Duties::CallDeferred>(this->wait(this->usage.sendReport("a", report))).retryAfter, 250ms);
}

/// Guards against a name that is not UTF-8 and keeps the record and the reports of all tenants from being written.
TEST(DutyCodecTest, BytesThatAreNotUtf8AreReplaced)
{
    const Duties::Counts counts{{"t\xff", 1}};
    EXPECT_NO_THROW(Gateway::encodeDutyRecord({.token = 1, .holder = "a", .process = "a-1", .window = 7, .counts = counts}));
    EXPECT_EQ(encodeUsageReport({.token = 1, .window = 7, .counts = counts}), "{\"counts\":{\"t\xEF\xBF\xBD\":1},\"window\":7}");
}

} // namespace

} // namespace Briarbend::Platform
