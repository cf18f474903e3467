#include <LibPeers/WebSocketLinks.h>

#include <LibNetwork/SilenceDetection.h>

#include <stdexcept>

namespace Briarbend::Peers
{

namespace
{

/// Delay before the next connection attempt to a peer that could not be reached. Messages to it are dropped meanwhile.
constexpr std::chrono::milliseconds RECONNECT_DELAY{200};
constexpr std::chrono::seconds SWEEP_INTERVAL{1};
/// An outgoing connection without a message for this long is closed.
constexpr std::chrono::seconds OUTGOING_IDLE_TIMEOUT{120};
/// An incoming connection without a message for this long is closed. Longer than OUTGOING_IDLE_TIMEOUT, because normally the other end
/// closes an idle connection first.
constexpr std::chrono::seconds INCOMING_IDLE_TIMEOUT{300};
/// A connection whose queued bytes do not decrease for this long is closed, because the peer is frozen or unreachable.
constexpr std::chrono::seconds STALL_TIMEOUT{10};
/// Time for which sent bytes may stay unacknowledged: as long as the failure detector bears the silence of a member. A connection may go
/// silent for good while new ones work, and everything that is sent on it is lost.
constexpr std::chrono::milliseconds UNACKNOWLEDGED_LIMIT{3000};
constexpr std::size_t MAX_INCOMING_CONNECTIONS = 4096;
/// Longer than every timeout of websocketpp's connect, handshake and close operations.
constexpr std::chrono::seconds RETIREMENT_PERIOD{4};

} // namespace

WebSocketLinks::WebSocketLinks(boost::asio::io_context &ioContext)
    : context(ioContext)
    , sweepTimer(ioContext)
{
    configureEndpoint(this->server, this->context, MAX_MESSAGE_BYTES);
    configureEndpoint(this->client, this->context, MAX_MESSAGE_BYTES);
}

void WebSocketLinks::start()
{
    this->installServerHandlers();
    this->scheduleSweep();
}

void WebSocketLinks::installServerHandlers()
{
    const auto weak = this->weak_from_this();
    this->server.set_validate_handler([weak](const Handle &) {
        const auto self = weak.lock();
        return self && !self->isStopping && self->incoming.size() < MAX_INCOMING_CONNECTIONS;
    });
    this->server.set_open_handler([weak](const Handle &handle) {
        const auto self = weak.lock();
        websocketpp::lib::error_code error;
        const auto connection = self ? self->server.get_con_from_hdl(handle, error) : nullptr;
        if (connection && !error) {
            disableNagle(connection);
            self->incoming[handle] = {connection->get_remote_endpoint(), std::chrono::steady_clock::now()};
        }
    });
    this->server.set_close_handler([weak](const Handle &handle) {
        if (const auto self = weak.lock()) {
            self->incoming.erase(handle);
        }
    });
    this->server.set_message_handler([weak](const Handle &handle, const Server::message_ptr &message) {
        const auto self = weak.lock();
        if (!self || message->get_opcode() != websocketpp::frame::opcode::binary) {
            return;
        }
        auto &link = self->incoming[handle];
        link.lastReceived = std::chrono::steady_clock::now();
        // The callback may close the connection and erase the link, so it gets its own copy of the peer.
        const auto peer = link.peer;
        self->onReceived(peer, message->get_payload());
    });
}

std::uint16_t WebSocketLinks::listen(const std::string &address, std::uint16_t port)
{
    boost::system::error_code error;
    const auto parsed = boost::asio::ip::make_address(address, error);
    if (error) {
        throw std::runtime_error("not an IP address: " + address);
    }
    this->server.set_reuse_addr(true);
    websocketpp::lib::error_code failure;
    this->server.listen(boost::asio::ip::tcp::endpoint{parsed, port}, failure);
    if (!failure) {
        this->server.start_accept(failure);
    }
    const auto local = failure ? boost::asio::ip::tcp::endpoint{} : this->server.get_local_endpoint(error);
    if (failure || error) {
        throw std::runtime_error("cannot listen on " + address + ":" + std::to_string(port) + ": " + failure.message());
    }
    return local.port();
}

void WebSocketLinks::send(const std::string &peer, std::string_view bytes)
{
    const auto now = std::chrono::steady_clock::now();
    const auto unreachable = this->unreachableUntil.find(peer);
    const bool isUnreachable = unreachable != this->unreachableUntil.end() && now < unreachable->second;
    if (this->isStopping || isUnreachable || bytes.size() > MAX_MESSAGE_BYTES) {
        ++this->totals.messagesDropped;
        return;
    }
    if (this->outgoing.find(peer) == this->outgoing.end()) {
        this->connect(peer);
    }
    const auto found = this->outgoing.find(peer);
    if (found == this->outgoing.end()) {
        ++this->totals.messagesDropped;
        return;
    }
    auto &link = found->second;
    link.lastSent = now;
    const auto queued = link.isOpen ? link.connection->get_buffered_amount() : link.waitingBytes;
    if (queued + bytes.size() > MAX_QUEUED_BYTES) {
        ++this->totals.messagesDropped;
    } else if (link.isOpen) {
        this->write(link, bytes);
    } else {
        link.waiting.emplace_back(bytes);
        link.waitingBytes += bytes.size();
    }
}

void WebSocketLinks::connect(const std::string &peer)
{
    websocketpp::lib::error_code error;
    const auto connection = this->client.get_connection("ws://" + peer + "/", error);
    if (error) {
        return;
    }
    const auto weak = this->weak_from_this();
    const auto onEnd = [weak, peer](const Handle &handle) {
        const auto self = weak.lock();
        websocketpp::lib::error_code failure;
        const auto ended = self ? self->client.get_con_from_hdl(handle, failure) : nullptr;
        if (ended && !failure) {
            self->onEnded(peer, ended);
        }
    };
    connection->set_open_handler([weak, peer](const Handle &) {
        if (const auto self = weak.lock()) {
            self->onOpened(peer);
        }
    });
    connection->set_fail_handler(onEnd);
    connection->set_close_handler(onEnd);
    connection->set_message_handler([weak, peer](const Handle &, const Client::message_ptr &message) {
        const auto self = weak.lock();
        if (self && message->get_opcode() == websocketpp::frame::opcode::binary) {
            self->onReceived(peer, message->get_payload());
        }
    });
    const auto now = std::chrono::steady_clock::now();
    this->outgoing[peer] = OutgoingLink{connection, false, {}, 0, now, 0, now};
    this->unreachableUntil.erase(peer);
    this->client.connect(connection);
}

void WebSocketLinks::onOpened(const std::string &peer)
{
    const auto found = this->outgoing.find(peer);
    if (found == this->outgoing.end()) {
        return;
    }
    auto &link = found->second;
    link.isOpen = true;
    disableNagle(link.connection);
    Network::limitUnacknowledged(link.connection->get_raw_socket(), UNACKNOWLEDGED_LIMIT);
    for (const auto &bytes : std::exchange(link.waiting, {})) {
        this->write(link, bytes);
    }
    link.waitingBytes = 0;
    if (this->isStopping) {
        websocketpp::lib::error_code ignored;
        link.connection->close(websocketpp::close::status::going_away, "", ignored);
    }
}

void WebSocketLinks::onEnded(const std::string &peer, const Client::connection_ptr &connection)
{
    const auto found = this->outgoing.find(peer);
    if (found == this->outgoing.end() || found->second.connection != connection) {
        return;
    }
    this->totals.messagesDropped += found->second.waiting.size();
    if (!found->second.isOpen) {
        this->unreachableUntil[peer] = std::chrono::steady_clock::now() + RECONNECT_DELAY;
    }
    this->outgoing.erase(found);
    if (!this->closedCallback) {
        return;
    }
    try {
        this->closedCallback(peer);
    } catch (const std::exception &) {
        ++this->totals.callbackFailures;
    }
}

void WebSocketLinks::write(OutgoingLink &link, std::string_view bytes)
{
    const auto error = link.connection->send(bytes.data(), bytes.size(), websocketpp::frame::opcode::binary);
    if (error) {
        ++this->totals.messagesDropped;
        return;
    }
    ++this->totals.messagesSent;
    this->totals.bytesSent += bytes.size();
}

void WebSocketLinks::onReceived(const std::string &peer, std::string_view bytes)
{
    ++this->totals.messagesReceived;
    this->totals.bytesReceived += bytes.size();
    if (!this->messageCallback) {
        return;
    }
    try {
        this->messageCallback(peer, bytes);
    } catch (const std::exception &) {
        ++this->totals.callbackFailures;
    }
}

void WebSocketLinks::scheduleSweep()
{
    this->sweepTimer.expires_after(SWEEP_INTERVAL);
    this->sweepTimer.async_wait([weak = this->weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (self && !error && !self->isStopping) {
            self->sweep(std::chrono::steady_clock::now());
            self->scheduleSweep();
        }
    });
}

void WebSocketLinks::sweep(TimePoint now)
{
    for (auto &[peer, link] : this->outgoing) {
        this->sweepOutgoing(link, now);
    }
    for (const auto &[handle, link] : this->incoming) {
        websocketpp::lib::error_code error;
        if (now - link.lastReceived >= INCOMING_IDLE_TIMEOUT) {
            this->server.close(handle, websocketpp::close::status::going_away, "", error);
        }
    }
    for (auto at = this->unreachableUntil.begin(); at != this->unreachableUntil.end();) {
        at = now >= at->second ? this->unreachableUntil.erase(at) : std::next(at);
    }
}

void WebSocketLinks::sweepOutgoing(OutgoingLink &link, TimePoint now)
{
    if (!link.isOpen) {
        return;
    }
    const auto buffered = link.connection->get_buffered_amount();
    if (buffered == 0 || buffered < link.buffered) {
        link.lastProgress = now;
    }
    link.buffered = buffered;
    if (now - link.lastProgress >= STALL_TIMEOUT) {
        boost::system::error_code ignored;
        // The pending write then fails, and websocketpp calls the close handler.
        link.connection->get_raw_socket().close(ignored);
    } else if (now - link.lastSent >= OUTGOING_IDLE_TIMEOUT) {
        websocketpp::lib::error_code ignored;
        link.connection->close(websocketpp::close::status::normal, "", ignored);
    }
}

void WebSocketLinks::stop()
{
    if (this->isStopping) {
        return;
    }
    this->isStopping = true;
    this->sweepTimer.cancel();
    websocketpp::lib::error_code ignored;
    if (this->server.is_listening()) {
        this->server.stop_listening(ignored);
    }
    for (const auto &[handle, link] : this->incoming) {
        this->server.close(handle, websocketpp::close::status::going_away, "", ignored);
    }
    for (const auto &[peer, link] : this->outgoing) {
        if (link.isOpen) {
            link.connection->close(websocketpp::close::status::going_away, "", ignored);
        }
    }
}

void WebSocketLinks::retire()
{
    this->stop();
    this->messageCallback = nullptr;
    this->closedCallback = nullptr;
    const auto timer = std::make_shared<boost::asio::steady_timer>(this->context, RETIREMENT_PERIOD);
    timer->async_wait([timer, self = this->shared_from_this()](const boost::system::error_code &) {});
}

TransportCounters WebSocketLinks::counters() const
{
    auto counted = this->totals;
    counted.connections = this->outgoing.size() + this->incoming.size();
    return counted;
}

} // namespace Briarbend::Peers
