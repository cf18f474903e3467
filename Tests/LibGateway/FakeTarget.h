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
    /// Status of the response; nothing closes the connection without a response.
    std::optional<unsigned> status{200};
    std::chrono::milliseconds delay{0};
    /// Reports that the request was not run.
    bool isNotRun{false};
    /// Attempt identifier to return instead of the request's.
    std::string otherAttemptId{};
    /// Bytes written before the response, such as a late duplicate of another response.
    std::string before{};
    /// Bytes written after the response.
    std::string after{};
    /// The body ends before its stated length.
    bool isTruncated{false};
    bool isUnstamped{false};
    /// The response carries no attempt identifier.
    bool hasNoAttemptId{false};
    /// Further header lines, each with its line ending.
    std::string fields{};
    bool isEncoded{false};
    /// Bytes of the body beyond the path.
    std::size_t paddingBytes{0};
    /// Bytes to write instead of a response, after which the connection is closed.
    std::optional<std::string> raw{};
};

/// A target on the loopback interface. One function of the test determines the reaction to each request.
class FakeTarget
{
public:
    using React = std::function<Reaction(const Network::Request &request)>;

    FakeTarget(boost::asio::io_context &context, std::string targetName, React react);

    std::string address() const;
    /// Refuses connections from now on.
    void stopListening();
    /// Attempts that the target started to work on, in order.
    const std::vector<std::string> &runs() const;
    /// Requests and health checks that arrived.
    std::size_t exchanges() const;
    /// Connections that the caller closed while the target was working.
    std::size_t cancelled() const;

    /// Load that the health path reports.
    std::string load{"0,0,6,100"};
    unsigned healthStatus{200};
    /// Further header lines of responses on the health path, each with its line ending.
    std::string healthFields;
    /// Bytes written before each response on the health path.
    std::string beforeHealth;
    /// Reads requests but answers none.
    bool isSilent{false};
    /// The name that the health path reports.
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
