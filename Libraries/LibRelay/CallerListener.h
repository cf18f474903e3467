#pragma once

#include <LibNetwork/Endpoint.h>
#include <LibRelay/RelayState.h>

#include <boost/asio/io_context.hpp>

namespace Briarbend::Relay
{

/// Accepts callers' connections and serves their requests one after another on each.
class CallerListener
{
public:
    /// Listens immediately. Throws boost::system::system_error if the endpoint is in use.
    CallerListener(boost::asio::io_context &context, const Network::Endpoint &endpoint, RelayState &relay);

    Network::Endpoint endpoint() const;
    /// Accepts no more connections than are established. Requests in flight go on.
    void stop();

private:
    boost::asio::awaitable<void> acceptLoop();
    void take(boost::asio::ip::tcp::socket socket);
    static boost::asio::awaitable<void> serve(RelayState &relay, boost::asio::ip::tcp::socket socket);

    RelayState &relay;
    boost::asio::ip::tcp::acceptor acceptor;
};

} // namespace Briarbend::Relay
