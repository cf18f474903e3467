#pragma once

#include <LibCore/Time.h>
#include <LibLoad/BodyChecksum.h>
#include <LibLoad/Outcome.h>
#include <LibNetwork/Endpoint.h>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <string>
#include <vector>

namespace Briarbend::BriarLoad
{

/// What one exchange brought.
struct ExchangeResult {
    bool isAnswered{false};
    bool hasHead{false};
    std::string run;
    Load::ReceivedAnswer answer;
};

/// One keep-alive connection to one instance. Answers are read in bounded memory and only their checksum is kept.
class Connection
{
public:
    Connection(const boost::asio::any_io_executor &executor, std::size_t instanceIndex);

    /// False where the connection was refused or closed meanwhile.
    boost::asio::awaitable<bool> connect(const Network::Endpoint &endpoint);
    boost::asio::awaitable<ExchangeResult> exchange(const std::string &head, std::uint64_t bodyBytes, bool isHead);
    /// Ends a pending operation as well.
    void close();
    /// False once the peer has closed or an exchange has left the connection unfit for another.
    bool isReusable();

    const std::size_t instance;
    /// Time at which the present exchange is given up.
    Core::TimePoint deadline;

private:
    boost::asio::awaitable<bool> send(const std::string &head, std::uint64_t bodyBytes);

    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
    std::vector<char> piece;
    Load::BodyChecksum checksum;
    bool keepsAlive{true};
};

/// The checksum of a request body of that length.
std::string requestBodyChecksum(std::uint64_t bytes);

} // namespace Briarbend::BriarLoad
