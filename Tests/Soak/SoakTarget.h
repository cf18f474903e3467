#pragma once

#include <LibNetwork/Endpoint.h>
#include <LibNetwork/Http.h>
#include <Tests/Soak/Ledger.h>

#include <LibCore/Random.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace Briarbend::Soak
{

/// The body with which a target answers an attempt.
std::string bodyFor(const std::string &attemptId);

/// A target with six slots and a short queue, on the loopback interface.
class SoakTarget
{
public:
    SoakTarget(boost::asio::io_context &context, Ledger &ledger, std::string name, std::uint64_t seed);

    Network::Endpoint endpoint() const;
    const std::string &name() const;
    /// Milliseconds of the wall clock at the last start.
    std::int64_t startedAt() const;
    /// Forgets everything and drops what runs, as a process that ends and starts again under its name.
    void restart();

    /// How many times longer than usual work takes.
    int slowness{1};
    /// Answers are cut, doubled or lost at random.
    bool isGarbling{false};
    /// What it says of itself in its answers until it starts again: how many requests a second it takes, and that it leaves.
    std::optional<double> statedRate;
    bool saysItLeaves{false};

private:
    boost::asio::awaitable<void> acceptLoop();
    boost::asio::awaitable<void> serve(std::shared_ptr<boost::asio::ip::tcp::socket> socket);
    /// The answer's bytes; empty where the connection is to end instead.
    boost::asio::awaitable<std::string> answer(const Network::Request &request, std::shared_ptr<boost::asio::ip::tcp::socket> socket);
    std::string healthAnswer() const;
    std::string selfReport() const;
    std::string garbled(const std::string &text);

    boost::asio::io_context &context;
    Ledger &ledger;
    std::string ownName;
    Core::Random random;
    boost::asio::ip::tcp::acceptor acceptor;
    std::int64_t born{0};
    std::uint32_t held{0};
};

} // namespace Briarbend::Soak
