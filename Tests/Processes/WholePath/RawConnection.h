#pragma once

#include <LibNetwork/Endpoint.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <string_view>

namespace Briarbend::Processes
{

/// A TCP connection that sends whatever bytes a test wants, well-formed or not.
class RawConnection
{
public:
    explicit RawConnection(const Network::Endpoint &endpoint);

    /// Errors are ignored: the other side may have closed already.
    void send(std::string_view bytes);
    void endSending();
    /// Everything that comes until the other side closes; fails the test where it does not within ten seconds.
    std::string readToEnd();

private:
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket;
};

} // namespace Briarbend::Processes
