#include <LibGateway/CallerFrontend.h>
#include <Tests/LibGateway/EndlessTarget.h>
#include <Tests/LibGateway/RequestFlowTest.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <fstream>

/// Targets and callers that send endless data.
namespace Briarbend::Gateway
{

namespace
{

namespace Asio = boost::asio;

constexpr std::uint64_t MAXIMUM_RESPONSE_BYTES = 1024ULL * 1024;
constexpr std::uint64_t BODY_MEMORY_BYTES = 4ULL * 1024 * 1024;
/// Memory of one connection besides bodies, for unread bytes. The socket buffers of both sides do not belong to the process.
constexpr std::uint64_t BYTES_PER_CONNECTION = 256ULL * 1024;

const std::string HEAD{"HTTP/1.1 200 X\r\nAttempt-Id: ATTEMPT\r\nResponse-Stamp: stamp\r\n"};

std::string repeated(const std::string &text, std::size_t times)
{
    std::string result;
    for (std::size_t time = 0; time < times; ++time) {
        result += text;
    }
    return result;
}

const std::vector<EndlessResponse> ENDLESS_RESPONSES{
    {.name = "statusLine", .beginning = "HTTP/1.1 200 ", .rest = "X"},
    {.name = "fieldValue", .beginning = HEAD + "X: ", .rest = "x"},
    {.name = "fields", .beginning = HEAD, .rest = "X: x\r\n"},
    {.name = "bodyWithLength", .beginning = HEAD + "Content-Length: 99999999999\r\n\r\n", .rest = "x"},
    {.name = "bodyWithoutLength", .beginning = HEAD + "\r\n", .rest = "x"},
    {.name = "chunks", .beginning = HEAD + "Transfer-Encoding: chunked\r\n\r\n", .rest = "400\r\n" + repeated("x", 1024) + "\r\n"},
    {.name = "oneChunk", .beginning = HEAD + "Transfer-Encoding: chunked\r\n\r\nFFFFFFFFFF\r\n", .rest = "x"},
    {.name = "chunkExtension", .beginning = HEAD + "Transfer-Encoding: chunked\r\n\r\n4;", .rest = "x"},
    {.name = "trailers", .beginning = HEAD + "Transfer-Encoding: chunked\r\n\r\n0\r\n", .rest = "X: x\r\n"},
    {.name = "interimAnswers", .beginning = "", .rest = "HTTP/1.1 102 X\r\n\r\n"},
    {.name = "foreignAnswers", .beginning = "", .rest = "HTTP/1.1 200 X\r\nAttempt-Id: other\r\nContent-Length: 1\r\n\r\nx"},
    {.name = "foreignBody", .beginning = "HTTP/1.1 200 X\r\nAttempt-Id: other\r\nContent-Length: 99999999999\r\n\r\n", .rest = "x"},
    {.name = "noHttp", .beginning = "", .rest = "x"},
    {.name = "healthHead", .beginning = "HTTP/1.1 200 X\r\n", .rest = "X: x\r\n", .isOnHealthPath = true},
    {.name = "healthBody", .beginning = "HTTP/1.1 200 X\r\nContent-Length: 99999999999\r\n\r\n", .rest = "x", .isOnHealthPath = true},
    {.name = "healthTrailers",
     .beginning = "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
     .rest = "X: x\r\n",
     .isOnHealthPath = true},
};

/// Resident memory of this process.
std::uint64_t residentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::uint64_t size = 0;
    std::uint64_t resident = 0;
    file >> size >> resident;
    return resident * 4096;
}

} // namespace

class EndlessBytesTest : public RequestFlowTest
{
protected:
    EndlessBytesTest()
    {
        this->state.settings.memory.longestAnswer = MAXIMUM_RESPONSE_BYTES;
        this->state.bodyBudget.limit = BODY_MEMORY_BYTES;
    }

    void TearDown() override
    {
        this->endless.clear();
        RequestFlowTest::TearDown();
    }

    EndlessTarget &addEndless(const std::string &name, const EndlessResponse &answer)
    {
        this->endless.push_back(std::make_unique<EndlessTarget>(this->context, name, answer));
        Fleet::TargetRecord record;
        record.name = name;
        record.startedAtMilliseconds = 1;
        record.address = {this->endless.back()->address()};
        record.service = SERVICE;
        record.dataCentre = {"here"};
        record.slots = 6;
        Fleet::applyRecord(this->state.directory, record);
        return *this->endless.back();
    }

    std::vector<std::unique_ptr<EndlessTarget>> endless;
};

class EndlessResponseTest : public EndlessBytesTest, public testing::WithParamInterface<EndlessResponse>
{
};

TEST_P(EndlessResponseTest, endsTheAttemptWithTheRightOutcomeAndClosesTheConnection)
{
    auto &target = this->addEndless("one", GetParam());
    this->configureRoute(RouteKind::Once, 1, 5s);
    const auto began = Core::Clock::now();
    const auto result = this->run("a1", 5s);
    EXPECT_LT(Core::Clock::now() - began, 2s) << "the attempt must end before the deadline";
    EXPECT_EQ(result.response.result_int(), GetParam().isOnHealthPath ? 503U : 502U)
        << "it is known not to have run only if nothing was sent";
    const auto *targetState = Fleet::findTarget(*this->service(), "one");
    EXPECT_TRUE(Fleet::failureShare(*targetState, Core::Clock::now()) > 0 || targetState->ejectedUntil > Core::Clock::now());
    EXPECT_EQ(this->state.bodyBudget.held, 0U);
    this->context.restart();
    this->context.run_for(100ms);
    EXPECT_EQ(target.sending(), 0U) << "the connection is closed at once";
}

INSTANTIATE_TEST_SUITE_P(Shapes, EndlessResponseTest, testing::ValuesIn(ENDLESS_RESPONSES), [](const auto &shape) {
    return shape.param.name;
});

// 50 faulty targets at once, of every shape.
TEST_F(EndlessBytesTest, manyEndlessResponsesAtOnceStayWithinTheMemoryLimit)
{
    constexpr std::size_t TARGETS = 50;
    for (std::size_t index = 0; index < TARGETS; ++index) {
        this->addEndless("endless-" + std::to_string(index), ENDLESS_RESPONSES[index % ENDLESS_RESPONSES.size()]);
    }
    this->configureRoute(RouteKind::Once, 1, 5s);
    const auto before = residentBytes();
    std::uint64_t most = 0;
    std::size_t ended = 0;
    std::vector<std::unique_ptr<RequestFlow>> flows;
    for (std::size_t index = 0; index < TARGETS; ++index) {
        flows.push_back(std::make_unique<RequestFlow>(this->makeContext("a" + std::to_string(index), 5s)));
        Asio::co_spawn(this->context, flows.back()->run(), [&ended](const std::exception_ptr &, const FlowResult &) {
            ++ended;
        });
    }
    this->context.restart();
    while (ended<TARGETS &&this->context.run_one_for(3s)> 0) {
        most = std::max(most, residentBytes());
    }
    EXPECT_EQ(ended, TARGETS);
    EXPECT_LE(this->state.bodyBudget.peak, BODY_MEMORY_BYTES);
    EXPECT_LE(most - std::min(most, before), 2 * BODY_MEMORY_BYTES + TARGETS * BYTES_PER_CONNECTION);
    std::cout << "peak of bodies " << this->state.bodyBudget.peak << ", resident growth " << most - std::min(most, before) << " bytes\n";
}

TEST_F(EndlessBytesTest, requestBodyBeyondTheMemoryLimitIsRefusedAsNotRun)
{
    this->configureRoute(RouteKind::Once);
    this->state.settings.instance.callerAddress = {.address = "127.0.0.1", .port = 0};
    CallerFrontend frontend(this->context, this->state);
    std::string answer;
    Asio::ip::tcp::socket socket(this->context);
    const auto call = [&]() -> Asio::awaitable<void> {
        co_await socket.async_connect(frontend.localEndpoint(), Asio::use_awaitable);
        const std::string head{"POST /x HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n"};
        co_await Asio::async_write(socket, Asio::buffer(head), Asio::use_awaitable);
        const auto chunk = "10000\r\n" + std::string(0x10000, 'x') + "\r\n";
        boost::system::error_code error;
        for (std::uint64_t sent = 0; !error && sent <= BODY_MEMORY_BYTES; sent += 0x10000) {
            co_await Asio::async_write(socket, Asio::buffer(chunk), Asio::redirect_error(Asio::use_awaitable, error));
        }
        answer.resize(4096);
        answer.resize(co_await socket.async_read_some(Asio::buffer(answer), Asio::use_awaitable));
    };
    Asio::co_spawn(this->context, call, Asio::detached);
    this->context.run_for(1s);
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 503")) << answer;
    EXPECT_EQ(this->state.bodyBudget.held, 0U);
    EXPECT_GT(this->state.bodyBudget.peak, BODY_MEMORY_BYTES - 0x20000);
    frontend.stopListening();
    this->context.run_for(100ms);
}

TEST_F(EndlessBytesTest, endlessChunkExtensionOfACallerClosesItsConnection)
{
    this->configureRoute(RouteKind::Once);
    this->state.settings.instance.callerAddress = {.address = "127.0.0.1", .port = 0};
    CallerFrontend frontend(this->context, this->state);
    std::uint64_t sent = 0;
    Asio::ip::tcp::socket socket(this->context);
    const auto call = [&]() -> Asio::awaitable<void> {
        co_await socket.async_connect(frontend.localEndpoint(), Asio::use_awaitable);
        const std::string head{"POST /x HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n4;"};
        co_await Asio::async_write(socket, Asio::buffer(head), Asio::use_awaitable);
        const std::string block(0x10000, 'x');
        while (true) {
            sent += co_await Asio::async_write(socket, Asio::buffer(block), Asio::use_awaitable);
        }
    };
    bool isClosed = false;
    Asio::co_spawn(this->context, call, [&isClosed](const std::exception_ptr &) {
        isClosed = true;
    });
    this->context.run_for(500ms);
    EXPECT_TRUE(isClosed) << sent;
    frontend.stopListening();
    this->context.run_for(100ms);
}

} // namespace Briarbend::Gateway
