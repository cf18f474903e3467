#include <LibRelay/CallerDisconnectWatch.h>

#include <utility>

namespace Briarbend::Relay
{

struct CallerDisconnectWatch::State {
    std::function<void()> onDisconnect;
    bool isActive{true};
    bool hasDisconnected{false};
};

namespace
{

bool isClosedByPeer(boost::asio::ip::tcp::socket &socket)
{
    boost::system::error_code error;
    socket.non_blocking(true, error);
    char byte = 0;
    socket.receive(boost::asio::buffer(&byte, 1), boost::asio::socket_base::message_peek, error);
    // Readable bytes belong to the caller's next request: the caller is still connected.
    return error && error != boost::asio::error::would_block;
}

} // namespace

CallerDisconnectWatch::CallerDisconnectWatch(boost::asio::ip::tcp::socket &socket, std::function<void()> onDisconnect)
    : callerSocket(socket)
    , state(std::make_shared<State>())
{
    this->state->onDisconnect = std::move(onDisconnect);
    this->callerSocket.async_wait(boost::asio::socket_base::wait_read,
                                  [watched = this->state, &socket](const boost::system::error_code &error) {
                                      if (error || !watched->isActive || !isClosedByPeer(socket)) {
                                          return;
                                      }
                                      watched->hasDisconnected = true;
                                      watched->onDisconnect();
                                  });
}

CallerDisconnectWatch::~CallerDisconnectWatch()
{
    this->state->isActive = false;
    boost::system::error_code ignored;
    this->callerSocket.cancel(ignored);
}

bool CallerDisconnectWatch::hasDisconnected() const
{
    return this->state->hasDisconnected;
}

} // namespace Briarbend::Relay
