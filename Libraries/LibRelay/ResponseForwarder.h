#pragma once

#include <LibRejection/Refusal.h>
#include <LibRelay/Exchange.h>

namespace Briarbend::Relay
{

/// A copy of a response that is kept for repeats of the request. A request with such a copy is not cancelled when its caller disconnects.
struct ResponseCopy {
    /// Copying ends once the body is longer than this.
    std::size_t maximumBytes{0};
    unsigned status{0};
    std::vector<Rejection::HeaderField> fields;
    std::string body;
    bool isWhole{false};
};

/// Streams the response of an opened exchange to the caller, holding one chunk in memory.
class ResponseForwarder
{
public:
    /// The copy may be null.
    ResponseForwarder(RelayState &relay, CallerConnection caller, Exchange &exchange, const std::string &requestId, ResponseCopy *copy);

    /// The outcome is in the exchange's result.
    boost::asio::awaitable<void> forward();

private:
    using Serializer = Http::response_serializer<Http::buffer_body>;

    void prepareHead();
    boost::asio::awaitable<void> writeHead(Serializer &serializer);
    /// Returns false if the response is truncated.
    boost::asio::awaitable<bool> forwardBody(Serializer &serializer);
    boost::asio::awaitable<bool> readRestForCopy();
    void recordTruncation();
    void copyHead();
    void copyBody(std::size_t length);

    RelayState &relay;
    CallerConnection caller;
    Exchange &exchange;
    const std::string &requestId;
    ResponseCopy *copy;
    std::vector<char> chunk;
    boost::system::error_code callerError;
};

} // namespace Briarbend::Relay
