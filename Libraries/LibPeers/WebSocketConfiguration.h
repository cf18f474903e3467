#pragma once

#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

/// Private to this library: websocketpp 0.8.2 is not valid C++20.
namespace Briarbend::Peers
{

/// Time limit for opening the TCP connection.
constexpr long CONNECT_TIMEOUT_MS = 500;
/// Time limit for the WebSocket handshake, and for the reply to a close frame.
constexpr long HANDSHAKE_TIMEOUT_MS = 1000;
/// Each connection holds a buffer of this size for its whole lifetime. Most messages between instances are shorter.
constexpr std::size_t READ_BUFFER_BYTES = 1024;

// websocketpp requires these names.
// NOLINTBEGIN(readability-identifier-naming)
struct ServerConfiguration : websocketpp::config::asio {
    static const std::size_t connection_read_buffer_size = READ_BUFFER_BYTES;

    struct transport_config : websocketpp::config::asio::transport_config {
        /// The io_context runs on one thread.
        static const bool enable_multithreading = false;
    };
    using transport_type = websocketpp::transport::asio::endpoint<transport_config>;
};

struct ClientConfiguration : websocketpp::config::asio_client {
    static const std::size_t connection_read_buffer_size = READ_BUFFER_BYTES;

    struct transport_config : websocketpp::config::asio_client::transport_config {
        static const bool enable_multithreading = false;
        static const long timeout_connect = CONNECT_TIMEOUT_MS;
    };
    using transport_type = websocketpp::transport::asio::endpoint<transport_config>;
};

// NOLINTEND(readability-identifier-naming)

using Server = websocketpp::server<ServerConfiguration>;
using Client = websocketpp::client<ClientConfiguration>;
using Handle = websocketpp::connection_hdl;

/// Applies the settings that server and client share. websocketpp's own log channels are disabled; this library reports by counters.
template<typename Endpoint>
void configureEndpoint(Endpoint &endpoint, boost::asio::io_context &context, std::size_t maxMessageBytes)
{
    endpoint.clear_access_channels(websocketpp::log::alevel::all);
    endpoint.clear_error_channels(websocketpp::log::elevel::all);
    endpoint.init_asio(&context);
    endpoint.set_max_message_size(maxMessageBytes);
    endpoint.set_open_handshake_timeout(HANDSHAKE_TIMEOUT_MS);
    endpoint.set_close_handshake_timeout(HANDSHAKE_TIMEOUT_MS);
    endpoint.set_user_agent("");
}

/// Sends small messages at once (TCP_NODELAY).
template<typename Connection>
void disableNagle(const Connection &connection)
{
    boost::system::error_code ignored;
    connection->get_raw_socket().set_option(boost::asio::ip::tcp::no_delay{true}, ignored);
}

} // namespace Briarbend::Peers
