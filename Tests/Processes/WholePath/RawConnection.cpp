#include "RawConnection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace Briarbend::Processes
{

RawConnection::RawConnection(const Network::Endpoint &endpoint)
    : socket(this->context)
{
    this->socket.connect(endpoint.tcp());
}

void RawConnection::send(std::string_view bytes)
{
    boost::system::error_code ignored;
    boost::asio::write(this->socket, boost::asio::buffer(bytes), ignored);
}

void RawConnection::endSending()
{
    boost::system::error_code ignored;
    this->socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
}

std::string RawConnection::readToEnd()
{
    constexpr std::chrono::seconds PATIENCE{10};
    std::string received;
    bool isAtEnd = false;
    boost::asio::async_read(
        this->socket, boost::asio::dynamic_buffer(received), [&isAtEnd](const boost::system::error_code &, std::size_t) {
            isAtEnd = true;
        });
    this->context.restart();
    this->context.run_for(PATIENCE);
    EXPECT_TRUE(isAtEnd) << "the connection stays open after: " << received;
    return received;
}

} // namespace Briarbend::Processes
