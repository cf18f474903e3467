#pragma once

#include <LibRejection/Progress.h>
#include <LibRejection/Reason.h>
#include <LibRejection/Refusal.h>
#include <LibRelay/AttemptRecord.h>

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <optional>
#include <string>
#include <vector>

namespace Briarbend::Relay
{

namespace Http = boost::beast::http;

/// The caller's side of one request.
struct CallerSide {
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
    /// Time of the last chance of an answer's head.
    Core::TimePoint deadline;
    std::string requestId;
};

/// A copy of an answer that is kept for repeats of the request. A request whose answer is copied is not cancelled when its caller goes.
struct AnswerCopy {
    /// Copying ends once the body is longer than this.
    std::size_t maximumBytes{0};
    unsigned status{0};
    std::vector<Rejection::HeaderField> fields;
    std::string body;
    bool isWhole{false};
};

/// How one exchange with a target ended.
struct ExchangeResult {
    Rejection::Progress progress{Rejection::Progress::NotSent};
    /// Why no whole answer came; nothing after a whole answer.
    std::optional<Rejection::Reason> failure;
    /// Bytes of the answer have gone to the caller, so that nothing else can be said to it.
    bool isHeadForwarded{false};
    bool isCallerGone{false};
    /// The caller's connection ends a request cleanly and may carry another.
    bool isCallerUsable{true};
    /// When the target asked to come back after refusing the request.
    std::optional<std::chrono::milliseconds> retryAfter;
    /// The connection broke after the request was sent: the request may have crashed the target.
    bool isTargetBroken{false};
    std::optional<Core::TargetStartId> targetStart;
    unsigned status{0};
    /// From the start of the exchange to the head of the answer, or to its failure.
    Core::Duration timeToHead{0};
};

/// Sends one request to one target and streams the answer back. The target connection is reused only after a clean end.
class Exchange
{
public:
    Exchange(RelayState &relay, ServiceState &service, CallerSide caller, ForwardedRequest &request, AnswerCopy *copy);

    /// Throws nothing but what allocation throws; every failure of the network is in the result.
    boost::asio::awaitable<ExchangeResult> run(const Core::TargetId &target);

private:
    using ResponseParser = Http::response_parser<Http::buffer_body>;
    using ResponseSerializer = Http::response_serializer<Http::buffer_body>;

    boost::asio::awaitable<bool> connect(const Core::TargetId &target, AttemptRecord &record);
    boost::asio::awaitable<bool> send(AttemptRecord &record);
    boost::asio::awaitable<bool> sendStreamedBody(Http::request_serializer<Http::buffer_body> &serializer, AttemptRecord &record);
    boost::asio::awaitable<bool> receiveHead(AttemptRecord &record);
    boost::asio::awaitable<void> discardRefusal();
    boost::asio::awaitable<void> forwardAnswer();
    boost::asio::awaitable<bool> readRestForCopy();
    boost::asio::awaitable<bool> readSome(std::size_t &length);
    void prepareAnswerHead();
    void noteHead(AttemptRecord &record);
    void copyHead();
    void copyBody(std::size_t length);
    void finish();
    void fail(const boost::system::error_code &error, AttemptRecord &record);

    RelayState &relay;
    ServiceState &service;
    CallerSide caller;
    ForwardedRequest &request;
    AnswerCopy *copy;
    ExchangeResult result;
    std::unique_ptr<TargetConnection> connection;
    std::optional<ResponseParser> parser;
    std::vector<char> chunk;
    bool endsWithConnection{false};
};

} // namespace Briarbend::Relay
