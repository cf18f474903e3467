#include <LibPeers/Transport.h>

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <stdexcept>
#include <unordered_map>
#include <utility>
#include <vector>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace Briarbend::Peers
{

namespace
{

constexpr long CONNECT_TIMEOUT_MILLISECONDS = 1000;

/// Short time-outs: a peer that does not answer is soon given up, so that its queue does not hold memory for long.
template<typename Base>
struct TransportConfig : public Base {
    // The names are the library's.
    // NOLINTBEGIN(readability-identifier-naming)
    struct transport_config : public Base::transport_config {
        static const long timeout_connect = CONNECT_TIMEOUT_MILLISECONDS;
        static const long timeout_open_handshake = CONNECT_TIMEOUT_MILLISECONDS;
        static const long timeout_close_handshake = CONNECT_TIMEOUT_MILLISECONDS;
    };

    using transport_type = websocketpp::transport::asio::endpoint<transport_config>;
    // NOLINTEND(readability-identifier-naming)
};

using Server = websocketpp::server<TransportConfig<websocketpp::config::asio>>;
using Client = websocketpp::client<TransportConfig<websocketpp::config::asio_client>>;
using Handle = websocketpp::connection_hdl;

/// The connection that this instance made to a peer.
struct Outgoing {
    Handle handle;
    bool isOpen{false};
    /// Messages that wait for the connection to open.
    std::vector<std::string> waiting;
    std::size_t waitingBytes{0};
};

class WebSocketTransport final : public Transport
{
public:
    explicit WebSocketTransport(boost::asio::io_context &context);

    std::uint16_t listen(const std::string &address, std::uint16_t port) override;
    void send(const std::string &peer, std::string_view bytes) override;
    void onMessage(MessageCallback callback) override;
    void onClosed(ClosedCallback callback) override;
    TransportCounters counters() const override;
    void stop() override;

private:
    template<typename Endpoint>
    void prepare(Endpoint &endpoint, boost::asio::io_context &context);
    void connect(const std::string &peer);
    void opened(const std::string &peer);
    void closed(const std::string &peer);
    void write(Outgoing &connection, std::string_view bytes);
    void received(const std::string &peer, const std::string &payload);

    Server server;
    Client client;
    std::unordered_map<std::string, Outgoing> outgoing;
    std::vector<Handle> incoming;
    MessageCallback messageCallback;
    ClosedCallback closedCallback;
    TransportCounters totals;
    bool isStopped{false};
};

WebSocketTransport::WebSocketTransport(boost::asio::io_context &context)
{
    this->prepare(this->server, context);
    this->prepare(this->client, context);
    this->server.set_reuse_addr(true);
    this->server.set_message_handler([this](Handle handle, const Server::message_ptr &message) {
        websocketpp::lib::error_code error;
        const auto connection = this->server.get_con_from_hdl(std::move(handle), error);
        if (!error) {
            this->received(connection->get_remote_endpoint(), message->get_payload());
        }
    });
    this->server.set_open_handler([this](Handle handle) {
        this->incoming.push_back(std::move(handle));
    });
    this->server.set_close_handler([this](const Handle &) {
        this->incoming.erase(std::remove_if(this->incoming.begin(),
                                            this->incoming.end(),
                                            [](const Handle &handle) {
                                                return handle.expired();
                                            }),
                             this->incoming.end());
    });
}

template<typename Endpoint>
void WebSocketTransport::prepare(Endpoint &endpoint, boost::asio::io_context &context)
{
    endpoint.clear_access_channels(websocketpp::log::alevel::all);
    endpoint.clear_error_channels(websocketpp::log::elevel::all);
    endpoint.init_asio(&context);
    endpoint.set_max_message_size(MAX_MESSAGE_BYTES);
    endpoint.set_tcp_pre_init_handler([&endpoint](const Handle &handle) {
        websocketpp::lib::error_code error;
        const auto connection = endpoint.get_con_from_hdl(handle, error);
        if (!error) {
            boost::system::error_code ignored;
            connection->get_raw_socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
        }
    });
}

std::uint16_t WebSocketTransport::listen(const std::string &address, std::uint16_t port)
{
    websocketpp::lib::error_code error;
    this->server.listen(boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address(address), port), error);
    if (error) {
        throw std::runtime_error("cannot listen for peers on " + address + ":" + std::to_string(port) + ": " + error.message());
    }
    this->server.start_accept(error);
    if (error) {
        throw std::runtime_error("cannot accept peers: " + error.message());
    }
    boost::system::error_code ignored;
    return this->server.get_local_endpoint(ignored).port();
}

void WebSocketTransport::send(const std::string &peer, std::string_view bytes)
{
    if (this->isStopped || bytes.size() > MAX_MESSAGE_BYTES) {
        ++this->totals.messagesDropped;
        return;
    }
    const auto [found, isNew] = this->outgoing.try_emplace(peer);
    auto &connection = found->second;
    if (connection.isOpen) {
        this->write(connection, bytes);
        return;
    }
    if (connection.waitingBytes + bytes.size() > MAX_QUEUED_BYTES) {
        ++this->totals.messagesDropped;
        return;
    }
    connection.waiting.emplace_back(bytes);
    connection.waitingBytes += bytes.size();
    if (isNew) {
        this->connect(peer);
    }
}

void WebSocketTransport::connect(const std::string &peer)
{
    websocketpp::lib::error_code error;
    const auto connection = this->client.get_connection("ws://" + peer + "/", error);
    if (error) {
        this->closed(peer);
        return;
    }
    connection->set_open_handler([this, peer](const Handle &) {
        this->opened(peer);
    });
    connection->set_fail_handler([this, peer](const Handle &) {
        this->closed(peer);
    });
    connection->set_close_handler([this, peer](const Handle &) {
        this->closed(peer);
    });
    connection->set_message_handler([this, peer](const Handle &, const Client::message_ptr &message) {
        this->received(peer, message->get_payload());
    });
    this->outgoing[peer].handle = connection->get_handle();
    this->client.connect(connection);
}

void WebSocketTransport::opened(const std::string &peer)
{
    auto &connection = this->outgoing[peer];
    connection.isOpen = true;
    connection.waitingBytes = 0;
    for (const auto &bytes : std::exchange(connection.waiting, {})) {
        this->write(connection, bytes);
    }
}

void WebSocketTransport::closed(const std::string &peer)
{
    const auto found = this->outgoing.find(peer);
    if (found != this->outgoing.end()) {
        this->totals.messagesDropped += found->second.waiting.size();
        this->outgoing.erase(found);
    }
    if (this->closedCallback && !this->isStopped) {
        this->closedCallback(peer);
    }
}

void WebSocketTransport::write(Outgoing &connection, std::string_view bytes)
{
    websocketpp::lib::error_code error;
    const auto opened = this->client.get_con_from_hdl(connection.handle, error);
    if (error || opened->get_buffered_amount() + bytes.size() > MAX_QUEUED_BYTES) {
        ++this->totals.messagesDropped;
        return;
    }
    error = opened->send(bytes.data(), bytes.size(), websocketpp::frame::opcode::binary);
    if (error) {
        ++this->totals.messagesDropped;
        return;
    }
    ++this->totals.messagesSent;
    this->totals.bytesSent += bytes.size();
}

void WebSocketTransport::received(const std::string &peer, const std::string &payload)
{
    ++this->totals.messagesReceived;
    this->totals.bytesReceived += payload.size();
    if (this->messageCallback && !this->isStopped) {
        this->messageCallback(peer, payload);
    }
}

void WebSocketTransport::onMessage(MessageCallback callback)
{
    this->messageCallback = std::move(callback);
}

void WebSocketTransport::onClosed(ClosedCallback callback)
{
    this->closedCallback = std::move(callback);
}

TransportCounters WebSocketTransport::counters() const
{
    auto current = this->totals;
    current.connections = this->outgoing.size() + this->incoming.size();
    return current;
}

void WebSocketTransport::stop()
{
    this->isStopped = true;
    websocketpp::lib::error_code ignored;
    this->server.stop_listening(ignored);
    for (const auto &[peer, connection] : this->outgoing) {
        this->client.close(connection.handle, websocketpp::close::status::going_away, "", ignored);
    }
    for (const auto &handle : this->incoming) {
        this->server.close(handle, websocketpp::close::status::going_away, "", ignored);
    }
}

} // namespace

std::unique_ptr<Transport> makeWebSocketTransport(boost::asio::io_context &context)
{
    return std::make_unique<WebSocketTransport>(context);
}

} // namespace Briarbend::Peers
