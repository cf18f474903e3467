#include <LibGateway/CallerConnection.h>

#include <LibGateway/CallerFrontend.h>
#include <LibRelay/HeaderRules.h>

#include <algorithm>
#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <utility>

namespace Briarbend::Gateway
{

namespace
{

namespace Asio = boost::asio;
using Rejection::Reason;

/// Initial buffer size for the header of a request, which usually has a few hundred bytes.
constexpr std::size_t FIRST_READ_BYTES = 1024;
constexpr std::size_t DISCARD_BYTES = 4096;
/// Most bytes that are discarded: the requests that a caller may have pipelined, but not an endless body.
constexpr std::size_t MAXIMUM_DISCARDED_BYTES = 256UL * 1024;
constexpr std::string_view CONTINUE_RESPONSE = "HTTP/1.1 100 Continue\r\n\r\n";

/// Why a request that could not be read is refused; nothing if the connection merely ended.
std::optional<Reason> refusalReasonFor(const boost::system::error_code &error)
{
    if (!error) {
        return std::nullopt;
    }
    if (error == Asio::error::no_memory) {
        return Reason::Overloaded;
    }
    if (error == Http::error::header_limit) {
        return Reason::HeaderTooLarge;
    }
    if (error == Http::error::body_limit) {
        return Reason::BodyTooLarge;
    }
    return Relay::isProtocolError(error) ? std::optional(Reason::BadRequest) : std::nullopt;
}

std::uint64_t bytesOf(const RequestParser &parser)
{
    std::uint64_t bytes = parser.get().target().size() + parser.get().body().size();
    std::ranges::for_each(parser.get(), [&bytes](const auto &field) {
        bytes += field.name_string().size() + field.value().size();
    });
    return bytes;
}

} // namespace

Asio::awaitable<bool> CallerConnection::waitForRequest()
{
    this->enter(ReadPhase::Paused);
    while (!this->isReadingOver && !this->mayRead()) {
        co_await this->waitForChange();
    }
    if (this->isReadingOver || this->buffer.size() > 0) {
        co_return !this->isReadingOver;
    }
    this->enter(ReadPhase::Idle);
    boost::system::error_code error;
    this->buffer.shrink_to_fit();
    const auto length
        = co_await this->socket.async_read_some(this->buffer.prepare(FIRST_READ_BYTES), Asio::redirect_error(Asio::use_awaitable, error));
    this->buffer.commit(length);
    if (error && !this->isReadingOver) {
        this->recordCallerGone();
    }
    co_return !this->isReadingOver;
}

Asio::awaitable<void> CallerConnection::sendContinue()
{
    co_await this->waitUntilAnswered();
    if (this->isReadingOver) {
        co_return;
    }
    boost::system::error_code ignored;
    co_await Asio::async_write(this->socket, Asio::buffer(CONTINUE_RESPONSE), Asio::redirect_error(Asio::use_awaitable, ignored));
}

Asio::awaitable<boost::system::error_code> CallerConnection::readMessage(RequestParser &parser)
{
    const auto limits = callerLimits(this->state);
    boost::system::error_code error;
    parser.header_limit(limits.headerBytes);
    parser.body_limit(limits.bodyBytes);
    this->enter(ReadPhase::Header);
    co_await Http::async_read_header(this->socket, this->buffer, parser, Asio::redirect_error(Asio::use_awaitable, error));
    this->lastProgress = Core::Clock::now();
    if (!error && !parser.is_done() && Relay::expectsContinue(parser.get().base())) {
        co_await this->sendContinue();
    }
    while (!error && !parser.is_done() && !this->isReadingOver) {
        this->enter(ReadPhase::Body);
        const auto length
            = co_await Http::async_read_some(this->socket, this->buffer, parser, Asio::redirect_error(Asio::use_awaitable, error));
        if (length > 0) {
            this->lastProgress = Core::Clock::now();
        }
        if (this->isReadingOver) {
            co_return error;
        }
        if (!takeMemory(this->state, this->readingHold, bytesOf(parser))) {
            co_return Asio::error::no_memory;
        }
        this->readingBytes = bytesOf(parser);
    }
    if (!error && !this->isReadingOver && !takeMemory(this->state, this->readingHold, bytesOf(parser))) {
        co_return Asio::error::no_memory;
    }
    co_return error;
}

Asio::awaitable<bool> CallerConnection::readRequest()
{
    auto exchange = std::make_shared<Exchange>(this->state.requestsInFlight);
    RequestParser parser;
    const auto error = co_await this->readMessage(parser);
    ReadRequest request{parser, std::exchange(this->readingHold, Core::ByteHold(this->state.bodyBudget))};
    this->readingBytes = 0;
    this->enter(ReadPhase::Paused);
    // What was read while an earlier request closes the connection counts as not read, and so does what is not sent before a planned stop.
    if (this->isReadingOver || (this->state.isStopping && !this->pipeline.requests.empty())) {
        co_return false;
    }
    const auto problem = refusalReasonFor(error);
    if (error && !problem) {
        this->recordCallerGone();
        co_return false;
    }
    const bool isWellFormed = !problem && !Relay::findHeadProblem(parser.get().base());
    const bool keepsAlive = isWellFormed && parser.keep_alive() && parser.get().version() >= Network::HTTP_1_1;
    const auto bytes = problem ? 0 : bytesOf(parser);
    exchange->request = this->frontend.receive(std::move(request), problem);
    const auto *route = exchange->request.context->route;
    const bool isAtMostOnce = !exchange->request.refusal && route != nullptr && route->kind == Configuration::RouteKind::Once;
    const auto id = Callers::append(this->pipeline,
                                    {.isAtMostOnce = isAtMostOnce, .closesConnection = !keepsAlive, .wasSent = false, .bytes = bytes});
    this->exchanges.emplace(id, std::move(exchange));
    this->advance();
    co_return keepsAlive;
}

Asio::awaitable<void> CallerConnection::linger()
{
    std::optional<Core::Presence> presence;
    if (this->state.isStopping) {
        // A process that ends resets the connection, too.
        presence.emplace(this->state.requestsInFlight);
    }
    this->enter(ReadPhase::Lingering);
    boost::system::error_code error;
    this->socket.shutdown(Asio::ip::tcp::socket::shutdown_send, error);
    this->buffer.clear();
    this->buffer.shrink_to_fit();
    std::array<char, DISCARD_BYTES> discarded{};
    for (std::size_t length = 0; !error && length < MAXIMUM_DISCARDED_BYTES;) {
        length += co_await this->socket.async_read_some(Asio::buffer(discarded), Asio::redirect_error(Asio::use_awaitable, error));
    }
}

} // namespace Briarbend::Gateway
