#pragma once

#include <LibNetwork/Endpoint.h>
#include <Tests/Soak/Ledger.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace Briarbend::Soak
{

/// The host of all routes.
constexpr const char *HOST{"soak.example"};
/// Routes to the service: one whose requests may be repeated, and one whose requests may run once.
constexpr const char *SAFE_PREFIX{"/safe/"};
constexpr const char *ONCE_PREFIX{"/once/"};

/// Callers of one instance. Each keeps its connection until the instance closes it or is gone.
class Callers
{
public:
    Callers(boost::asio::io_context &context, Ledger &ledger, std::size_t instance, Network::Endpoint endpoint);

    void start(std::size_t count);
    /// No further requests; those under way end.
    void stop();
    bool isIdle() const;
    /// One request on a route that may not be known yet. The status; nothing where there was no answer.
    boost::asio::awaitable<std::optional<unsigned>> ask(std::string path);

private:
    struct Connection;

    boost::asio::awaitable<void> call(std::size_t caller);
    boost::asio::awaitable<CallerOutcome> exchange(Connection &connection, std::string attemptId, bool mayRepeat);

    boost::asio::io_context &context;
    Ledger &ledger;
    std::size_t instance;
    Network::Endpoint endpoint;
    std::size_t running{0};
    std::size_t asked{0};
    bool isStopping{false};
};

} // namespace Briarbend::Soak
