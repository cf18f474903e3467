#include <LibRelay/Exchange.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace Briarbend::Relay
{

namespace
{

namespace Asio = boost::asio;
using namespace std::chrono_literals;
using Rejection::Reason;
using Rejection::RequestProgress;

const Core::ServiceName SERVICE{"benches"};

/// Sends one request to a target on the loopback interface that answers with the bytes.
class ExchangeTest : public testing::Test
{
protected:
    ExchangeTest()
    {
        Configuration::Service configuration;
        configuration.name = SERVICE;
        updateService(*this->service, configuration, {{.id = this->target, .dataCentre = {"here"}, .version = {"v1"}}}, {});
    }

    ExchangeResult exchange(const std::string &answer)
    {
        Exchange exchange(
            this->relay, this->service, {this->callerStream, this->callerBuffer, this->callerParser}, makeRequest(), this->target);
        bool isDone = false;
        Asio::co_spawn(this->context, this->serve(answer), Asio::detached);
        Asio::co_spawn(this->context, exchange.open(), [this, &isDone, &exchange](const std::exception_ptr &, bool hasHead) {
            if (hasHead) {
                Asio::co_spawn(this->context, exchange.discardResponse(), [&isDone](const std::exception_ptr &) {
                    isDone = true;
                });
            } else {
                isDone = true;
            }
        });
        this->context.restart();
        while (!isDone && this->context.run_one_for(3s) > 0) { }
        EXPECT_TRUE(isDone);
        return exchange.result;
    }

    static std::shared_ptr<const ForwardedRequest> makeRequest()
    {
        auto request = std::make_shared<ForwardedRequest>();
        request->head.method(Http::verb::get);
        request->head.target("/x");
        request->head.version(Network::HTTP_1_1);
        request->requestId = "r1";
        request->timeAllowed = 2s;
        request->deadline = Core::Clock::now() + request->timeAllowed;
        return request;
    }

    Asio::awaitable<void> serve(std::string answer)
    {
        auto socket = co_await this->acceptor.async_accept(Asio::use_awaitable);
        std::string request;
        co_await Asio::async_read_until(socket, Asio::dynamic_buffer(request), "\r\n\r\n", Asio::use_awaitable);
        co_await Asio::async_write(socket, Asio::buffer(answer), Asio::use_awaitable);
    }

    Asio::io_context context;
    Asio::ip::tcp::acceptor acceptor{this->context, {Asio::ip::make_address("127.0.0.1"), 0}};
    Core::TargetId target{"127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port())};
    RelayState relay{this->context.get_executor(), 7};
    std::shared_ptr<ServiceState> service{std::make_shared<ServiceState>()};
    boost::beast::tcp_stream callerStream{this->context};
    boost::beast::flat_buffer callerBuffer;
    Http::request_parser<Http::buffer_body> callerParser;
};

std::string answerWith(const std::string &code, const std::string &fields = "")
{
    return "HTTP/1.1 " + code + " X\r\nX-Request-Id: r1\r\n" + fields + "Content-Length: 0\r\n\r\n";
}

} // namespace

// A response with a code outside 100 to 599 reached the caller as the target's answer. The request may have run, whatever the fields say.
TEST_F(ExchangeTest, invalidStatusCodeIsAFailureOfTheTarget)
{
    for (const std::string code : {"000", "001", "099", "600", "999", "", "20", "2000", "2x0"}) {
        Routing::findTarget(this->service->table, this->target)->ejection = {};
        const auto result = this->exchange(answerWith(code, "Request-Not-Run: ?1\r\n"));
        EXPECT_EQ(result.progress, RequestProgress::SentOutcomeUnknown) << code;
        EXPECT_EQ(result.failure, Reason::BadGatewayAnswer) << code;
        EXPECT_EQ(this->relay.pool.openCount(this->target), 0U) << "the connection is not kept, code " << code;
        EXPECT_EQ(Routing::findTarget(this->service->table, this->target)->ejection.consecutiveFailures, 1U) << code;
    }
}

// The response behind one with a code below 100 was taken for that of the request.
TEST_F(ExchangeTest, onlyValidInterimResponsesAreSkipped)
{
    for (const std::string code : {"100", "102", "199"}) {
        EXPECT_EQ(this->exchange("HTTP/1.1 " + code + " X\r\n\r\n" + answerWith("200")).status, 200U) << code;
        this->relay.pool.closeIdle(this->target);
    }
    EXPECT_EQ(this->exchange("HTTP/1.1 099 X\r\n\r\n" + answerWith("200")).failure, Reason::BadGatewayAnswer);
}

// Codes that RFC 9110 allows without naming them stay those of the target.
TEST_F(ExchangeTest, unnamedValidStatusCodesAreThoseOfTheTarget)
{
    for (const std::string code : {"299", "418", "599"}) {
        const auto result = this->exchange(answerWith(code));
        EXPECT_EQ(std::to_string(result.status), code);
        EXPECT_EQ(result.progress, RequestProgress::Answered);
        this->relay.pool.closeIdle(this->target);
    }
}

} // namespace Briarbend::Relay
