#include <LibPeers/WebSocketLinks.h>

namespace Briarbend::Peers
{

namespace
{

class WebSocketTransport : public Transport
{
public:
    explicit WebSocketTransport(boost::asio::io_context &context)
        : links(std::make_shared<WebSocketLinks>(context))
    {
        this->links->start();
    }

    ~WebSocketTransport() override
    {
        this->links->retire();
    }

    WebSocketTransport(const WebSocketTransport &) = delete;
    WebSocketTransport &operator=(const WebSocketTransport &) = delete;

    std::uint16_t listen(const std::string &address, std::uint16_t port) override
    {
        return this->links->listen(address, port);
    }

    void send(const std::string &peer, std::string_view bytes) override
    {
        this->links->send(peer, bytes);
    }

    void onMessage(MessageCallback callback) override
    {
        this->links->messageCallback = std::move(callback);
    }

    void onClosed(ClosedCallback callback) override
    {
        this->links->closedCallback = std::move(callback);
    }

    TransportCounters counters() const override
    {
        return this->links->counters();
    }

    void stop() override
    {
        this->links->stop();
    }

private:
    std::shared_ptr<WebSocketLinks> links;
};

} // namespace

std::unique_ptr<Transport> makeWebSocketTransport(boost::asio::io_context &context)
{
    return std::make_unique<WebSocketTransport>(context);
}

} // namespace Briarbend::Peers
