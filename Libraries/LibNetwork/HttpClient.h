#pragma once

#include <LibCore/Time.h>
#include <LibNetwork/Endpoint.h>
#include <LibNetwork/Http.h>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <memory>

namespace Briarbend::Network
{

/// One keep-alive connection to one server. Exchanges must not overlap.
class HttpClient
{
public:
    HttpClient(boost::asio::any_io_executor executor, Endpoint endpoint);

    /// Sends the request and reads the whole response; connects first where there is no connection. Throws boost::system::system_error on
    /// any failure, among them boost::beast::error::timeout when the exchange takes longer than the time-out; the connection is then closed
    /// and whether the request ran is unknown.
    boost::asio::awaitable<Response> exchange(Request request, Core::Duration timeout);
    /// Opens the connection where there is none, so that a caller can tell a failure to connect, after which nothing was sent, from a
    /// failed exchange. Throws boost::system::system_error.
    boost::asio::awaitable<void> connect(Core::Duration timeout);
    /// True where the connection is open and the server has neither closed it nor sent anything unasked. Only between exchanges.
    bool isConnected();
    /// Closes the connection; a pending exchange fails with operation_aborted, and a new one may begin at once.
    void close();
    const Endpoint &endpoint() const;

private:
    /// What the operations of one connection use. They share its ownership, since they end only after the connection was closed.
    struct Connection {
        explicit Connection(const boost::asio::any_io_executor &executor)
            : stream(executor)
        {
        }

        boost::beast::tcp_stream stream;
        boost::beast::flat_buffer buffer{MAXIMUM_UNREAD_BYTES};
    };

    using ConnectionPointer = std::shared_ptr<Connection>;

    static boost::asio::awaitable<Response> exchangeOnce(ConnectionPointer used, Request &request);
    /// Closes a connection on which an operation failed. Throws operation_aborted if the operation failed because it had been closed.
    void closeAfterFailure(const ConnectionPointer &failed);

    boost::asio::any_io_executor executor;
    Endpoint remote;
    /// Null where there is no connection.
    ConnectionPointer connection;
};

} // namespace Briarbend::Network
