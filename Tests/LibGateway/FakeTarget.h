#pragma once

#include <LibNetwork/Http.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Briarbend::Gateway
{

/// What a target does with one request.
struct Reaction {
    /// Status of the answer; nothing ends the connection without one.
    std::optional<unsigned> status{200};
    std::chrono::milliseconds delay{0};
    /// Says that it did not run the request.
    bool isNotRun{false};
    /// Names another attempt than the request's.
    std::string otherAttemptId{};
    /// Bytes written before the answer: a late second answer to something else.
    std::string before{};
    /// Bytes written after the answer.
    std::string after{};
    /// The body ends before its stated length.
    bool isTruncated{false};
    bool isUnstamped{false};
    /// The answer names no attempt.
    bool hasNoAttemptId{false};
    /// Further lines of the head, each with its end of line.
    std::string fields{};
    bool isEncoded{false};
};

/// A target on the loopback interface that does what a test tells it, one function for all its requests.
class FakeTarget
{
public:
    using React = std::function<Reaction(const Network::Request &request)>;

    FakeTarget(boost::asio::io_context &context, std::string targetName, React react);

    std::string address() const;
    /// Attempts that the target began to work on, in order.
    const std::vector<std::string> &runs() const;
    /// Requests and health checks that arrived.
    std::size_t exchanges() const;
    /// Connections that the caller ended while the target was at work.
    std::size_t cancelled() const;

    /// Load as the health path states it.
    std::string load{"0,0,6,100"};
    unsigned healthStatus{200};
    /// Further lines of the head of answers on the health path, each with its end of line.
    std::string healthFields;
    /// Reads requests and answers none.
    bool isSilent{false};
    /// The name that the health path states.
    std::string name;

private:
    boost::asio::awaitable<void> acceptLoop();
    boost::asio::awaitable<void> serve(std::shared_ptr<boost::asio::ip::tcp::socket> socket);
    std::string healthAnswer() const;

    boost::asio::ip::tcp::acceptor acceptor;
    React react;
    std::vector<std::string> startedAttempts;
    std::size_t cancelledRuns{0};
    std::size_t arrived{0};
};

} // namespace Briarbend::Gateway
