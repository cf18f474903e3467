#pragma once

#include <LibGateway/CallerFrontend.h>
#include <LibNetwork/AsioTimerService.h>
#include <Tests/LibGateway/RequestFlowTest.h>

#include <array>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <netinet/tcp.h>

namespace Briarbend::Gateway
{

/// A caller that pipelines requests and collects what it receives.
class FakeCaller
{
public:
    FakeCaller(boost::asio::io_context &context, const boost::asio::ip::tcp::endpoint &endpoint, bool hasSmallBuffers = false)
        : socket(std::make_shared<boost::asio::ip::tcp::socket>(context))
    {
        // Keeps the kernel from taking a long response for a caller that does not read.
        this->socket->open(endpoint.protocol());
        this->socket->set_option(boost::asio::socket_base::receive_buffer_size(hasSmallBuffers ? 4 * 1024 : 64 * 1024));
        if (hasSmallBuffers) {
            // The kernel sizes the sender's buffer by the segment size, which is 64 KiB on the loopback interface.
            using SegmentSize = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_MAXSEG>;
            this->socket->set_option(SegmentSize(1024));
        }
        this->socket->connect(endpoint);
    }

    void send(const std::string &text)
    {
        boost::asio::write(*this->socket, boost::asio::buffer(text));
    }

    void startReading()
    {
        boost::asio::co_spawn(this->socket->get_executor(), read(this->socket, this->received), boost::asio::detached);
    }

    /// Reads so many bytes and no more.
    boost::asio::awaitable<void> readSome(std::size_t bytes)
    {
        std::vector<char> chunk(bytes);
        const auto stream = this->socket;
        co_await boost::asio::async_read(*stream, boost::asio::buffer(chunk), boost::asio::use_awaitable);
    }

    void close()
    {
        boost::system::error_code ignored;
        this->socket->close(ignored);
    }

    const std::string &text() const
    {
        return this->received->text;
    }

    bool isEnded() const
    {
        return this->received->isEnded;
    }

    /// Whether the bytes of the text have arrived, in this order.
    bool hasInOrder(const std::vector<std::string> &parts) const
    {
        std::size_t position = 0;
        return std::ranges::all_of(parts, [this, &position](const std::string &part) {
            const auto found = this->text().find(part, position);
            position = found == std::string::npos ? found : found + part.size();
            return found != std::string::npos;
        });
    }

private:
    struct Received {
        std::string text;
        bool isEnded{false};
    };

    static boost::asio::awaitable<void> read(std::shared_ptr<boost::asio::ip::tcp::socket> socket, std::shared_ptr<Received> received)
    {
        std::array<char, 4096> chunk{};
        boost::system::error_code error;
        while (!error) {
            const auto length = co_await socket->async_read_some(boost::asio::buffer(chunk),
                                                                 boost::asio::redirect_error(boost::asio::use_awaitable, error));
            received->text.append(chunk.data(), length);
        }
        received->isEnded = true;
    }

    std::shared_ptr<boost::asio::ip::tcp::socket> socket;
    std::shared_ptr<Received> received{std::make_shared<Received>()};
};

/// Callers that send requests to targets through a frontend.
class CallerFrontendTest : public RequestFlowTest
{
protected:
    void SetUp() override
    {
        this->state.settings.instance.callerAddress = {.address = "127.0.0.1", .port = 0};
        this->state.settings.instance.maximumDescriptors = 10'000;
        this->state.settings.callers.readAhead = 8;
        this->frontend = std::make_unique<CallerFrontend>(this->context, this->state);
        this->addTarget("one", [this](const Network::Request &request) {
            this->arrivals.emplace_back(request.target());
            return this->react(request);
        });
        this->configureRoutes();
        this->checks = this->timers.every(CallerFrontend::CHECK_INTERVAL, [this](Core::TimePoint now) {
            if (!this->isVirtual) {
                this->frontend->checkConnections(now);
            }
        });
    }

    void TearDown() override
    {
        this->checks.reset();
        std::ranges::for_each(this->callers, [](const auto &caller) {
            caller->close();
        });
        this->frontend->stopListening();
        this->context.restart();
        this->context.run_for(20ms);
        this->frontend.reset();
        RequestFlowTest::TearDown();
    }

    /// Paths below /once run at most once.
    void configureRoutes()
    {
        this->configureRoute(RouteKind::Safe, 1, 3s);
        auto configuration = *this->state.routingConfiguration;
        auto route = configuration.routes.front();
        route.name = "once";
        route.pathPrefix = "/once/";
        route.kind = RouteKind::Once;
        configuration.routes.push_back(route);
        this->state.routingConfiguration = std::make_shared<const Fleet::RoutingConfiguration>(configuration);
        this->state.routes["once"];
    }

    FakeCaller &connect(bool hasSmallBuffers = false)
    {
        return *this->callers.emplace_back(std::make_unique<FakeCaller>(this->context, this->frontend->localEndpoint(), hasSmallBuffers));
    }

    static std::string request(const std::string &path, const std::string &fields = "")
    {
        return "GET " + path + " HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + path + "\r\n" + fields + "\r\n";
    }

    static std::string requests(const std::vector<std::string> &paths)
    {
        std::string text;
        for (const auto &path : paths) {
            text += request(path);
        }
        return text;
    }

    /// A request whose body ends early.
    static std::string unfinishedUpload(const std::string &path, std::size_t sentBytes)
    {
        return "POST " + path + " HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + path
            + "\r\nContent-Length: " + std::to_string(2 * sentBytes) + "\r\n\r\n" + std::string(sentBytes, 'x');
    }

    bool hasArrived(const std::string &path) const
    {
        return std::ranges::find(this->arrivals, path) != this->arrivals.end();
    }

    /// Runs until the condition holds. False if it does not within some seconds.
    template<typename Condition>
    bool runUntil(Condition condition)
    {
        this->context.restart();
        const auto deadline = Core::Clock::now() + 30s;
        while (!condition() && Core::Clock::now() < deadline) {
            this->context.run_one_for(50ms);
        }
        return condition();
    }

    /// Lets the caller read so many bytes and no more.
    bool letRead(FakeCaller &caller, std::size_t bytes)
    {
        bool isDone = false;
        boost::asio::co_spawn(this->context, caller.readSome(bytes), [&isDone](const std::exception_ptr &) {
            isDone = true;
        });
        return this->runUntil([&isDone] {
            return isDone;
        });
    }

    std::function<Reaction(const Network::Request &)> react{[](const Network::Request &) {
        return Reaction{};
    }};
    /// Paths of the requests that reached the target, in order.
    std::vector<std::string> arrivals;
    std::unique_ptr<CallerFrontend> frontend;
    std::vector<std::unique_ptr<FakeCaller>> callers;
    /// The test itself checks the connections, at times of its choice.
    bool isVirtual{false};
    Network::AsioTimerService timers{this->context};
    std::unique_ptr<Core::TimerSubscription> checks;
};

} // namespace Briarbend::Gateway
