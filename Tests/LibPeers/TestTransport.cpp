#include <LibPeers/Transport.h>

#include <boost/asio.hpp>
#include <chrono>
#include <gtest/gtest.h>
#include <map>
#include <vector>

namespace Briarbend::Peers
{

namespace net = boost::asio;
using net::ip::tcp;
using std::chrono::seconds;

class TransportTest : public testing::Test
{
protected:
    struct Peer {
        std::unique_ptr<Transport> transport;
        std::string address;
        std::vector<std::string> received;
        std::vector<std::string> closed;
    };

    Peer &start(const std::string &name)
    {
        auto &peer = this->peers[name];
        peer.transport = makeWebSocketTransport(this->context);
        peer.address = "127.0.0.1:" + std::to_string(peer.transport->listen("127.0.0.1", 0));
        peer.transport->onMessage([&peer](const std::string &, std::string_view bytes) {
            peer.received.emplace_back(bytes);
        });
        peer.transport->onClosed([&peer](const std::string &closed) {
            peer.closed.push_back(closed);
        });
        return peer;
    }

    template<typename Condition>
    bool runUntil(const Condition &condition, seconds limit = seconds{10})
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (!condition() && std::chrono::steady_clock::now() < end) {
            this->context.run_one_until(end);
        }
        return condition();
    }

    net::io_context context;
    std::map<std::string, Peer> peers;
};

TEST_F(TransportTest, messagesArriveWholeAndInOrderOverOneConnection)
{
    auto &first = this->start("first");
    auto &second = this->start("second");
    auto &third = this->start("third");
    const std::string large(MAX_MESSAGE_BYTES, '\0');
    for (const auto &bytes : {std::string{"one"}, large, std::string("\0\xff", 2)}) {
        first.transport->send(second.address, bytes);
    }
    third.transport->send(first.address, "hello");
    first.transport->send(third.address, "answer");
    ASSERT_TRUE(this->runUntil([&] {
        return second.received.size() == 3 && first.received.size() == 1 && third.received.size() == 1;
    }));
    EXPECT_EQ(second.received, (std::vector<std::string>{"one", large, std::string("\0\xff", 2)}));
    EXPECT_EQ(second.transport->counters().connections, 1U);
    EXPECT_EQ(first.transport->counters().bytesSent, large.size() + 5 + 6);
    EXPECT_EQ(second.transport->counters().bytesReceived, large.size() + 5);
}

TEST_F(TransportTest, stoppedPeerDoesNotBlockOthersAndItsReplacementIsReached)
{
    auto &first = this->start("first");
    auto &second = this->start("second");
    auto &third = this->start("third");
    first.transport->send(second.address, "before");
    ASSERT_TRUE(this->runUntil([&] {
        return !second.received.empty();
    }));
    const auto port = std::stoi(second.address.substr(second.address.find(':') + 1));
    second.transport.reset();
    ASSERT_TRUE(this->runUntil([&] {
        return first.closed == std::vector<std::string>{second.address};
    }));
    first.transport->send(second.address, "lost");
    first.transport->send(third.address, "unhindered");
    ASSERT_TRUE(this->runUntil([&] {
        return !third.received.empty() && first.closed.size() == 2;
    }));
    first.transport->send(second.address, "dropped at once");
    EXPECT_EQ(first.transport->counters().messagesDropped, 2U);

    auto &replacement = this->start("replacement");
    auto atOldPort = makeWebSocketTransport(this->context);
    std::vector<std::string> received;
    atOldPort->onMessage([&](const std::string &, std::string_view bytes) {
        received.emplace_back(bytes);
    });
    atOldPort->listen("127.0.0.1", static_cast<std::uint16_t>(port));
    net::steady_timer retry{this->context};
    std::function<void()> sendAgain = [&] {
        first.transport->send(second.address, "again");
        retry.expires_after(std::chrono::milliseconds{50});
        retry.async_wait([&](const auto &error) {
            if (!error) {
                sendAgain();
            }
        });
    };
    sendAgain();
    EXPECT_TRUE(this->runUntil([&] {
        return !received.empty();
    }));
    EXPECT_TRUE(replacement.received.empty());
}

TEST_F(TransportTest, peerThatDoesNotReadHasABoundedQueueAndDoesNotBlockOthers)
{
    tcp::acceptor silent{this->context, {net::ip::make_address("127.0.0.1"), 0}};
    auto &first = this->start("first");
    auto &second = this->start("second");
    const auto address = "127.0.0.1:" + std::to_string(silent.local_endpoint().port());
    const std::string bytes(MAX_MESSAGE_BYTES / 2, 'x');
    constexpr int MESSAGES = 12;
    for (int count = 0; count < MESSAGES; ++count) {
        first.transport->send(address, bytes);
    }
    EXPECT_EQ(first.transport->counters().messagesDropped, MESSAGES - MAX_QUEUED_BYTES / bytes.size());
    first.transport->send(second.address, "unhindered");
    EXPECT_TRUE(this->runUntil([&] {
        return !second.received.empty();
    }));
    EXPECT_TRUE(this->runUntil([&] {
        return first.closed == std::vector<std::string>{address};
    })) << "the handshake times out";
}

// Guards against a connection that goes silent for good and still counts as sound: members that are alive were taken for gone, since they
// were asked again over the same connection. A peer that stops to read stands for the silence.
TEST_F(TransportTest, connectionWhoseBytesAreNotTakenIsReplacedAfterAFewSeconds)
{
    net::io_context stopped;
    const auto silent = makeWebSocketTransport(stopped);
    std::size_t received = 0;
    silent->onMessage([&received](const std::string &, std::string_view) {
        ++received;
    });
    const auto address = "127.0.0.1:" + std::to_string(silent->listen("127.0.0.1", 0));
    auto &first = this->start("first");
    first.transport->send(address, "before");
    ASSERT_TRUE(this->runUntil([&] {
        stopped.poll();
        return received == 1;
    }));
    const std::string bytes(MAX_MESSAGE_BYTES / 2, 'x');
    net::steady_timer pause{this->context};
    std::function<void()> sendMore = [&] {
        first.transport->send(address, bytes);
        pause.expires_after(std::chrono::milliseconds{5});
        pause.async_wait([&](const auto &error) {
            if (!error) {
                sendMore();
            }
        });
    };
    sendMore();
    // The limit, and the time between two attempts of the kernel.
    constexpr seconds LONGEST_SILENCE{8};
    EXPECT_TRUE(this->runUntil(
        [&] {
            return first.closed == std::vector<std::string>{address};
        },
        LONGEST_SILENCE));
    pause.cancel();
}

TEST_F(TransportTest, malformedInputClosesOnlyItsOwnConnection)
{
    auto &first = this->start("first");
    auto &second = this->start("second");
    const auto port = static_cast<std::uint16_t>(std::stoi(first.address.substr(first.address.find(':') + 1)));
    const std::string upgrade = "GET / HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
                                "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
    const std::string tooLong = upgrade + std::string("\x82\xff\x7f\xff\xff\xff\xff\xff\xff\xff\x01\x02\x03\x04zzzz", 18);
    for (const auto &garbage : {std::string(5000, '\xfe'), upgrade + std::string(300, '\xff'), tooLong, std::string{"GET"}}) {
        tcp::socket socket{this->context};
        socket.connect({net::ip::make_address("127.0.0.1"), port});
        net::write(socket, net::buffer(garbage));
        bool isClosed = false;
        std::array<char, 4096> answer{};
        std::function<void(boost::system::error_code, std::size_t)> onRead = [&](const auto &error, std::size_t) {
            isClosed = static_cast<bool>(error);
            if (!error) {
                socket.async_read_some(net::buffer(answer), onRead);
            }
        };
        socket.async_read_some(net::buffer(answer), onRead);
        EXPECT_TRUE(this->runUntil([&] {
            return isClosed;
        }));
    }
    second.transport->send(first.address, "still here");
    EXPECT_TRUE(this->runUntil([&] {
        return first.received == std::vector<std::string>{"still here"};
    }));
}

TEST_F(TransportTest, stopFlushesQueuedMessagesAndCallbackExceptionsAreCounted)
{
    auto &first = this->start("first");
    auto &second = this->start("second");
    second.transport->onMessage([&](const std::string &, std::string_view bytes) {
        second.received.emplace_back(bytes);
        throw std::runtime_error("malformed");
    });
    first.transport->send(second.address, "goodbye");
    first.transport->stop();
    first.transport->send(second.address, "too late");
    EXPECT_TRUE(this->runUntil([&] {
        return second.received == std::vector<std::string>{"goodbye"} && second.transport->counters().callbackFailures == 1;
    }));
    EXPECT_THROW(second.transport->listen("127.0.0.1", 1), std::runtime_error);
    EXPECT_THROW(second.transport->listen("not an address", 0), std::runtime_error);
}

} // namespace Briarbend::Peers
