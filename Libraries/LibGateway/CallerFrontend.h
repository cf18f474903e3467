#pragma once

#include <LibGateway/CallerConnection.h>

#include <boost/asio/ip/tcp.hpp>

namespace Briarbend::Gateway
{

/// Limits of the configuration in force; the defaults until one has arrived.
Fleet::CallerLimits callerLimits(const GatewayState &state);

/// Accepts connections of callers and serves their requests.
class CallerFrontend
{
public:
    /// Starts to listen. Throws boost::system::system_error if the address is in use.
    CallerFrontend(boost::asio::io_context &context, GatewayState &state);
    CallerFrontend(const CallerFrontend &) = delete;
    CallerFrontend &operator=(const CallerFrontend &) = delete;
    ~CallerFrontend();

    /// The address on which callers are accepted.
    boost::asio::ip::tcp::endpoint localEndpoint() const;
    /// Accepts no more connections than are established.
    void stopListening();
    /// Refuses all further requests because there is no time left to serve them.
    void refuseNewRequests();
    /// Detects callers that have gone, applies time-outs, and closes a stalled connection while memory is short. To be called every
    /// CHECK_INTERVAL.
    void checkConnections(Core::TimePoint now);

    /// Decides on a request that was read whole, or that is refused because of the given problem.
    CallerRequest receive(ReadRequest request, std::optional<Rejection::Reason> problem);
    /// Serves a request to its response.
    boost::asio::awaitable<FlowResult> answer(CallerRequest &request);

    /// Bounds the time until a caller is noticed that has gone while unread bytes of it arrive.
    static constexpr std::chrono::milliseconds CHECK_INTERVAL{200};

private:
    /// Outlives the frontend in the coroutine that accepts.
    struct Listener {
        boost::asio::ip::tcp::acceptor acceptor;
        /// Null once the frontend has been destroyed.
        CallerFrontend *frontend{nullptr};
    };

    static boost::asio::awaitable<void> acceptLoop(std::shared_ptr<Listener> listener);
    void take(boost::asio::ip::tcp::socket socket);
    /// Closes the connection that has stalled for longest and holds memory. False if there is none.
    bool cutStalest(Core::TimePoint now);

    GatewayState &state;
    std::shared_ptr<Listener> listener;
    std::vector<std::weak_ptr<CallerConnection>> connections;
    bool isRefusingNewRequests{false};
};

} // namespace Briarbend::Gateway
