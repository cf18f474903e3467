#pragma once

#include <LibRejection/Reason.h>
#include <LibRejection/RequestProgress.h>
#include <LibRelay/AttemptRecord.h>

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Briarbend::Relay
{

namespace Http = boost::beast::http;

/// The caller's side of one request.
struct CallerConnection {
    boost::beast::tcp_stream &stream;
    boost::beast::flat_buffer &buffer;
    Http::request_parser<Http::buffer_body> &parser;
    /// Version of the caller's request, 10 or 11.
    unsigned version{11};
    bool keepsAlive{true};
};

/// What is sent to a target.
struct ForwardedRequest {
    Http::request<Http::buffer_body> head;
    /// The whole body, where it was read before sending.
    std::string body;
    /// The body is still to be read from the caller while it is sent; such a request can be sent only once.
    bool isStreamed{false};
    /// Latest time at which the head of a response may arrive.
    Core::TimePoint deadline;
    /// Total time until the deadline. It starts again once a streamed body has been sent.
    Core::Duration timeAllowed{0};
    std::string requestId;
};

/// How one exchange with a target ended.
struct ExchangeResult {
    Rejection::RequestProgress progress{Rejection::RequestProgress::NotSent};
    /// Why no complete response arrived; empty after a complete response.
    std::optional<Rejection::Reason> failure;
    /// Bytes of the response have been sent to the caller, so no other response can be sent.
    bool isHeadForwarded{false};
    bool isCallerGone{false};
    /// The request ended cleanly on the caller's connection, which may carry another one.
    bool isCallerUsable{true};
    /// Retry delay that the target gave when it refused the request.
    std::optional<std::chrono::milliseconds> retryAfter;
    /// The connection broke after the request was sent: the request may have crashed the target.
    bool isTargetConnectionLost{false};
    unsigned status{0};
    /// From the start of the exchange to the head of the answer, or to its failure.
    Core::Duration timeToHead{0};
};

/// Sends one request to one target and reads the head of its response. Destroying it closes the connection, unless the response was read
/// completely.
class Exchange
{
public:
    using ResponseParser = Http::response_parser<Http::buffer_body>;

    Exchange(RelayState &relay,
             std::shared_ptr<ServiceState> service,
             CallerConnection caller,
             std::shared_ptr<const ForwardedRequest> request,
             const Core::TargetId &target);

    /// Ends with the head of a response in answer(), or with a failure in the result. Uses the caller's connection only if the body is
    /// streamed. Throws only if an allocation fails.
    boost::asio::awaitable<bool> open();
    /// Cancels an open() in progress, which then ends without recording a failure of the target.
    void cancel();

    /// Reads and discards the rest of a short response, so that its connection can be reused.
    boost::asio::awaitable<void> discardResponse();
    /// Reads the next part of the response body into the chunk. Returns false if the response is truncated.
    boost::asio::awaitable<bool> readSome(std::vector<char> &chunk, std::size_t &length);
    /// Enlarges the read buffer for large reads; it shrinks again when the connection is returned to the pool.
    void growReadBuffer();
    /// True if bytes have been received that are not parsed yet.
    bool hasBufferedBytes() const;
    /// Returns the connection to the pool if the response was read completely.
    void finish();

    ResponseParser &answer();
    const Core::TargetId &target() const;

    ExchangeResult result;

private:
    boost::asio::awaitable<bool> connect();
    boost::asio::awaitable<bool> send();
    boost::asio::awaitable<bool> sendStreamedBody(Http::request_serializer<Http::buffer_body> &serializer);
    boost::asio::awaitable<bool> receiveHead();
    /// False if the response belongs to another request.
    bool isResponseToRequest();
    void recordHead();
    void fail(const boost::system::error_code &error);

    RelayState &relay;
    std::shared_ptr<ServiceState> service;
    CallerConnection caller;
    std::shared_ptr<const ForwardedRequest> request;
    /// Its own copy, since two exchanges may send the same request at once.
    Http::request<Http::buffer_body> head;
    Core::TargetId targetId;
    std::optional<AttemptRecord> record;
    std::unique_ptr<TargetConnection> connection;
    std::optional<ResponseParser> parser;
    bool isCancelled{false};
    /// The response carried the identifier of the request.
    bool hasMatchingRequestId{false};
};

} // namespace Briarbend::Relay
