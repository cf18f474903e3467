#include <LibRelay/ResponseForwarder.h>

#include <LibNetwork/Http.h>
#include <LibRelay/HeaderRules.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/write.hpp>

namespace Briarbend::Relay
{

namespace
{

namespace Asio = boost::asio;

/// Time that a caller may take to receive one chunk.
constexpr std::chrono::seconds CALLER_WRITE_TIMEOUT{30};
constexpr std::size_t CHUNK_BYTES = 64UL * 1024;

} // namespace

ResponseForwarder::ResponseForwarder(
    RelayState &relayState, CallerConnection callerConnection, Exchange &opened, const std::string &id, ResponseCopy *responseCopy)
    : relay(relayState)
    , caller(callerConnection)
    , exchange(opened)
    , requestId(id)
    , copy(responseCopy)
    , chunk(CHUNK_BYTES)
{
}

Asio::awaitable<void> ResponseForwarder::forward()
{
    this->prepareHead();
    auto &parser = this->exchange.answer();
    Serializer serializer{parser.get()};
    if (!parser.is_done() && !this->exchange.hasBufferedBytes()) {
        // The body has not arrived yet; send the head without waiting for it.
        co_await this->writeHead(serializer);
    }
    bool isWhole = co_await this->forwardBody(serializer);
    if (isWhole && this->callerError) {
        this->exchange.result.isCallerGone = true;
        this->exchange.result.isCallerUsable = false;
        isWhole = co_await this->readRestForCopy();
    }
    if (!isWhole) {
        co_return;
    }
    if (this->copy != nullptr) {
        this->copy->isWhole = true;
    }
    this->exchange.finish();
}

void ResponseForwarder::prepareHead()
{
    auto &parser = this->exchange.answer();
    auto &message = parser.get();
    const bool hasLength = parser.content_length().has_value() || parser.chunked() || parser.is_done();
    removeHopByHopFields(message);
    message.erase(std::string(LOAD_REPORT_FIELD));
    message.set(std::string(REQUEST_ID_FIELD), this->requestId);
    this->copyHead();
    message.version(Network::HTTP_1_1);
    bool isCloseDelimited = false;
    if (this->caller.version < Network::HTTP_1_1 && !parser.content_length()) {
        message.chunked(false);
        isCloseDelimited = !parser.is_done();
    } else if (!hasLength) {
        message.chunked(true);
    }
    if (isCloseDelimited || !this->caller.keepsAlive || this->relay.isStopping) {
        this->exchange.result.isCallerUsable = false;
    }
    message.keep_alive(this->exchange.result.isCallerUsable);
}

Asio::awaitable<void> ResponseForwarder::writeHead(Serializer &serializer)
{
    auto &body = this->exchange.answer().get().body();
    body.data = nullptr;
    body.more = true;
    this->caller.stream.expires_after(CALLER_WRITE_TIMEOUT);
    this->exchange.result.isHeadForwarded = true;
    co_await Http::async_write_header(this->caller.stream, serializer, Asio::redirect_error(Asio::use_awaitable, this->callerError));
}

Asio::awaitable<bool> ResponseForwarder::forwardBody(Serializer &serializer)
{
    auto &parser = this->exchange.answer();
    while (!this->callerError && !serializer.is_done()) {
        std::size_t length = 0;
        bool isRead = true;
        if (!parser.is_done()) {
            isRead = co_await this->exchange.readSome(this->chunk, length);
        }
        if (!isRead) {
            this->recordTruncation();
            co_return false;
        }
        if (!parser.is_done()) {
            this->exchange.growReadBuffer();
        }
        if (length == 0 && !parser.is_done()) {
            // Only the header of a chunk arrived. Writing an empty chunk would end the message.
            continue;
        }
        this->copyBody(length);
        auto &body = parser.get().body();
        body.data = this->chunk.data();
        body.size = length;
        body.more = !parser.is_done();
        this->caller.stream.expires_after(CALLER_WRITE_TIMEOUT);
        this->exchange.result.isHeadForwarded = true;
        co_await Http::async_write(this->caller.stream, serializer, Asio::redirect_error(Asio::use_awaitable, this->callerError));
        if (this->callerError == Http::error::need_buffer) {
            this->callerError = {};
        }
    }
    co_return true;
}

void ResponseForwarder::recordTruncation()
{
    // The caller must see that the response is truncated, so its connection is closed before the message ends.
    auto &result = this->exchange.result;
    result.failure = Rejection::Reason::TargetConnectionLost;
    result.isCallerUsable = false;
    result.isTargetConnectionLost = true;
    this->relay.counters.brokenOff += result.isHeadForwarded ? 1 : 0;
}

Asio::awaitable<bool> ResponseForwarder::readRestForCopy()
{
    if (this->copy == nullptr) {
        co_return false;
    }
    std::size_t length = 0;
    bool isRead = true;
    while (isRead && !this->exchange.answer().is_done() && this->copy->body.size() <= this->copy->maximumBytes) {
        isRead = co_await this->exchange.readSome(this->chunk, length);
        this->copyBody(length);
    }
    co_return isRead;
}

void ResponseForwarder::copyHead()
{
    if (this->copy == nullptr) {
        return;
    }
    const auto &message = this->exchange.answer().get();
    this->copy->status = message.result_int();
    for (const auto &field : message) {
        if (field.name() != Http::field::transfer_encoding && field.name() != Http::field::content_length) {
            this->copy->fields.push_back({std::string(field.name_string()), std::string(field.value())});
        }
    }
}

void ResponseForwarder::copyBody(std::size_t length)
{
    // A copy longer than the maximum shows that the response is too long to be kept; the rest is not copied.
    if (this->copy != nullptr && this->copy->body.size() <= this->copy->maximumBytes) {
        this->copy->body.append(this->chunk.data(), length);
    }
}

} // namespace Briarbend::Relay
