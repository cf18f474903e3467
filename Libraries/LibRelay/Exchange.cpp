#include <LibRelay/CallerWatch.h>
#include <LibRelay/Exchange.h>
#include <LibRelay/HeaderRules.h>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>

namespace Briarbend::Relay
{

namespace
{

namespace Asio = boost::asio;
using Rejection::Progress;
using Rejection::Reason;

constexpr std::chrono::milliseconds CONNECT_TIMEOUT{500};
/// Time without a byte after which a body in transfer is broken off.
constexpr std::chrono::seconds BODY_IDLE_TIMEOUT{30};
constexpr std::size_t CHUNK_BYTES = 64UL * 1024;
constexpr std::uint32_t MAXIMUM_ANSWER_HEAD_BYTES = 64U * 1024;
constexpr unsigned HTTP_1_1 = 11;

bool isNotRunRefusal(const Http::response_header<> &head)
{
    return head.result() == Http::status::service_unavailable && head[std::string(Rejection::REQUEST_NOT_RUN_FIELD)] == "?1";
}

std::optional<std::chrono::milliseconds> retryAfterOf(const Http::response_header<> &head)
{
    const auto text = head[Http::field::retry_after];
    unsigned seconds = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

/// Beast reports a full or an empty body buffer as an error that only asks for the next one.
void forgiveNeedBuffer(boost::system::error_code &error)
{
    if (error == Http::error::need_buffer) {
        error = {};
    }
}

} // namespace

Exchange::Exchange(
    RelayState &relayState, ServiceState &serviceState, CallerSide callerSide, ForwardedRequest &forwarded, AnswerCopy *answerCopy)
    : relay(relayState)
    , service(serviceState)
    , caller(callerSide)
    , request(forwarded)
    , copy(answerCopy)
{
}

Asio::awaitable<ExchangeResult> Exchange::run(const Core::TargetId &target)
{
    const auto startedAt = Core::Clock::now();
    AttemptRecord record(this->relay, this->service, target, startedAt);
    this->result.targetStart = record.startAtSend();
    bool hasHead = co_await this->connect(target, record);
    if (hasHead) {
        hasHead = co_await this->send(record);
    }
    if (hasHead) {
        hasHead = co_await this->receiveHead(record);
    }
    this->result.timeToHead = Core::Clock::now() - startedAt;
    if (!hasHead) {
        co_return this->result;
    }
    if (this->result.progress == Progress::RefusedByTargetNotRun) {
        co_await this->discardRefusal();
        co_return this->result;
    }
    co_await this->forwardAnswer();
    co_return this->result;
}

Asio::awaitable<bool> Exchange::connect(const Core::TargetId &target, AttemptRecord &record)
{
    this->connection = this->relay.pool.takeIdle(target);
    if (this->connection) {
        co_return true;
    }
    const auto now = Core::Clock::now();
    bool isConnected = false;
    bool isRefused = false;
    try {
        this->connection = co_await this->relay.pool.connect(target, std::min(this->request.deadline, now + CONNECT_TIMEOUT));
        isConnected = true;
    } catch (const boost::system::system_error &error) {
        this->result.failure = Reason::TargetConnectFailed;
        isRefused = error.code() == Asio::error::connection_refused;
    }
    if (isRefused && this->relay.guard != nullptr) {
        this->relay.guard->targetGone(target);
    }
    if (!isConnected) {
        record.connectionLost(Core::Clock::now());
    }
    co_return isConnected;
}

Asio::awaitable<bool> Exchange::send(AttemptRecord &record)
{
    auto &message = this->request.head;
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(this->request.deadline - Core::Clock::now());
    message.set(std::string(DEADLINE_FIELD), std::to_string(std::max<std::int64_t>(remaining.count(), 0)));
    message.body().data = this->request.isStreamed || this->request.body.empty() ? nullptr : this->request.body.data();
    message.body().size = this->request.isStreamed ? 0 : this->request.body.size();
    message.body().more = this->request.isStreamed;
    Http::request_serializer<Http::buffer_body> serializer{message};

    // From here on nobody can tell whether the target got enough to run the request.
    this->result.progress = Progress::SentOutcomeUnknown;
    auto &target = this->connection->stream;
    target.expires_at(this->request.deadline);
    boost::system::error_code error;
    if (this->request.isStreamed) {
        co_return co_await this->sendStreamedBody(serializer, record);
    }
    co_await Http::async_write(target, serializer, Asio::redirect_error(Asio::use_awaitable, error));
    forgiveNeedBuffer(error);
    if (error) {
        this->fail(error, record);
    }
    co_return !error;
}

Asio::awaitable<bool> Exchange::sendStreamedBody(Http::request_serializer<Http::buffer_body> &serializer, AttemptRecord &record)
{
    auto &body = this->request.head.body();
    auto &callerBody = this->caller.parser.get().body();
    this->chunk.resize(CHUNK_BYTES);
    boost::system::error_code error;
    do {
        callerBody.data = this->chunk.data();
        callerBody.size = this->chunk.size();
        if (!this->caller.parser.is_done()) {
            this->caller.stream.expires_after(BODY_IDLE_TIMEOUT);
            co_await Http::async_read_some(
                this->caller.stream, this->caller.buffer, this->caller.parser, Asio::redirect_error(Asio::use_awaitable, error));
            forgiveNeedBuffer(error);
        }
        if (error) {
            this->result.isCallerGone = true;
            this->result.isCallerUsable = false;
            co_return false;
        }
        const auto length = this->chunk.size() - callerBody.size;
        if (length == 0 && !this->caller.parser.is_done()) {
            // Only the head of a chunk came. An empty chunk of our own would end the message.
            continue;
        }
        body.data = this->chunk.data();
        body.size = length;
        body.more = !this->caller.parser.is_done();
        this->connection->stream.expires_after(BODY_IDLE_TIMEOUT);
        co_await Http::async_write(this->connection->stream, serializer, Asio::redirect_error(Asio::use_awaitable, error));
        forgiveNeedBuffer(error);
        if (error) {
            this->result.isCallerUsable = false;
            this->fail(error, record);
            co_return false;
        }
    } while (!serializer.is_done());
    // A long upload leaves the target as much time as the route gives.
    const auto allowed = this->request.deadline - Core::Clock::now();
    this->connection->stream.expires_after(std::max<Core::Duration>(allowed, BODY_IDLE_TIMEOUT));
    co_return true;
}

Asio::awaitable<bool> Exchange::receiveHead(AttemptRecord &record)
{
    auto &target = this->connection->stream;
    boost::system::error_code error;
    std::optional<CallerWatch> watch;
    if (this->copy == nullptr) {
        watch.emplace(this->caller.stream.socket(), [&target] {
            target.cancel();
        });
    }
    do {
        this->parser.emplace();
        this->parser->header_limit(MAXIMUM_ANSWER_HEAD_BYTES);
        this->parser->body_limit(boost::none);
        this->parser->skip(this->request.head.method() == Http::verb::head);
        co_await Http::async_read_header(target, this->connection->buffer, *this->parser, Asio::redirect_error(Asio::use_awaitable, error));
    } while (!error && this->parser->get().result_int() / 100 == 1);
    if (watch && watch->isGone()) {
        this->result.isCallerGone = true;
        this->result.isCallerUsable = false;
        this->connection.reset();
        co_return false;
    }
    if (error) {
        this->fail(error, record);
        co_return false;
    }
    this->noteHead(record);
    co_return true;
}

void Exchange::noteHead(AttemptRecord &record)
{
    const auto &head = this->parser->get();
    this->result.status = head.result_int();
    Routing::Outcome outcome;
    outcome.report = Routing::parseLoadReport(head[std::string(LOAD_REPORT_FIELD)]);
    this->result.progress = isNotRunRefusal(head) ? Progress::RefusedByTargetNotRun : Progress::Answered;
    if (this->result.progress == Progress::RefusedByTargetNotRun) {
        outcome.kind = Routing::OutcomeKind::Refused;
        this->result.failure = Reason::RefusedByTarget;
        this->result.retryAfter = retryAfterOf(head);
    } else if (head.result_int() >= 500) {
        outcome.kind = Routing::OutcomeKind::Failure;
    }
    record.answered(outcome, Core::Clock::now());
}

Asio::awaitable<void> Exchange::discardRefusal()
{
    this->connection->stream.expires_after(CONNECT_TIMEOUT);
    this->chunk.resize(CHUNK_BYTES);
    std::size_t length = 0;
    std::size_t total = 0;
    while (!this->parser->is_done() && total < CHUNK_BYTES) {
        if (!co_await this->readSome(length)) {
            co_return;
        }
        total += length;
    }
    if (this->parser->is_done()) {
        this->finish();
    }
}

void Exchange::prepareAnswerHead()
{
    auto &message = this->parser->get();
    const bool hasLength = this->parser->content_length().has_value() || this->parser->chunked() || this->parser->is_done();
    removeConnectionFields(message);
    message.erase(std::string(LOAD_REPORT_FIELD));
    message.set(std::string(REQUEST_ID_FIELD), this->request.requestId);
    this->copyHead();
    message.version(HTTP_1_1);
    if (this->caller.version < HTTP_1_1 && !this->parser->content_length()) {
        message.chunked(false);
        this->endsWithConnection = !this->parser->is_done();
    } else if (!hasLength) {
        message.chunked(true);
    }
    if (this->endsWithConnection || !this->caller.keepsAlive || this->relay.isStopping) {
        this->result.isCallerUsable = false;
    }
    message.keep_alive(this->result.isCallerUsable);
}

Asio::awaitable<bool> Exchange::readSome(std::size_t &length)
{
    auto &body = this->parser->get().body();
    body.data = this->chunk.data();
    body.size = this->chunk.size();
    boost::system::error_code error;
    co_await Http::async_read_some(
        this->connection->stream, this->connection->buffer, *this->parser, Asio::redirect_error(Asio::use_awaitable, error));
    forgiveNeedBuffer(error);
    length = this->chunk.size() - body.size;
    co_return !error;
}

Asio::awaitable<void> Exchange::forwardAnswer()
{
    this->prepareAnswerHead();
    this->chunk.resize(CHUNK_BYTES);
    auto &message = this->parser->get();
    ResponseSerializer serializer{message};
    boost::system::error_code error;
    auto &callerStream = this->caller.stream;
    if (!this->parser->is_done() && this->connection->buffer.size() == 0) {
        // The body has not come yet; the caller shall not wait for the head because of it.
        message.body().data = nullptr;
        message.body().more = true;
        callerStream.expires_after(BODY_IDLE_TIMEOUT);
        co_await Http::async_write_header(callerStream, serializer, Asio::redirect_error(Asio::use_awaitable, error));
        this->result.isHeadForwarded = true;
    }
    while (!error && !serializer.is_done()) {
        std::size_t length = 0;
        this->connection->stream.expires_after(BODY_IDLE_TIMEOUT);
        bool isRead = true;
        if (!this->parser->is_done()) {
            isRead = co_await this->readSome(length);
        }
        if (!isRead) {
            // The answer is cut: the caller must see that, so its connection is closed before the message's end.
            this->result.failure = Reason::TargetConnectionLost;
            this->result.isCallerUsable = false;
            this->result.isTargetBroken = true;
            this->relay.counters.brokenOff += this->result.isHeadForwarded ? 1 : 0;
            co_return;
        }
        if (length == 0 && !this->parser->is_done()) {
            // Only the head of a chunk came. An empty chunk of our own would end the message.
            continue;
        }
        this->copyBody(length);
        message.body().data = this->chunk.data();
        message.body().size = length;
        message.body().more = !this->parser->is_done();
        callerStream.expires_after(BODY_IDLE_TIMEOUT);
        this->result.isHeadForwarded = true;
        co_await Http::async_write(callerStream, serializer, Asio::redirect_error(Asio::use_awaitable, error));
        forgiveNeedBuffer(error);
    }
    if (error) {
        this->result.isCallerGone = true;
        this->result.isCallerUsable = false;
    }
    bool isWhole = true;
    if (error) {
        isWhole = co_await this->readRestForCopy();
    }
    if (!isWhole) {
        co_return;
    }
    if (this->copy != nullptr) {
        this->copy->isWhole = true;
    }
    this->finish();
}

Asio::awaitable<bool> Exchange::readRestForCopy()
{
    if (this->copy == nullptr) {
        co_return false;
    }
    std::size_t length = 0;
    while (!this->parser->is_done() && this->copy->body.size() <= this->copy->maximumBytes) {
        if (!co_await this->readSome(length)) {
            co_return false;
        }
        this->copyBody(length);
    }
    co_return true;
}

void Exchange::copyHead()
{
    if (this->copy == nullptr) {
        return;
    }
    const auto &message = this->parser->get();
    this->copy->status = message.result_int();
    for (const auto &field : message) {
        if (field.name() != Http::field::transfer_encoding && field.name() != Http::field::content_length) {
            this->copy->fields.push_back({std::string(field.name_string()), std::string(field.value())});
        }
    }
}

void Exchange::copyBody(std::size_t length)
{
    // One byte above the maximum shows that the answer is too long to be kept; more of it is not needed.
    if (this->copy != nullptr && this->copy->body.size() <= this->copy->maximumBytes) {
        this->copy->body.append(this->chunk.data(), length);
    }
}

void Exchange::finish()
{
    const bool isClean = this->parser->is_done() && this->parser->keep_alive() && this->connection->buffer.size() == 0;
    if (isClean) {
        this->relay.pool.giveBack(std::move(this->connection), Core::Clock::now());
    }
    this->connection.reset();
}

void Exchange::fail(const boost::system::error_code &error, AttemptRecord &record)
{
    this->connection.reset();
    const auto now = Core::Clock::now();
    if (error == boost::beast::error::timeout) {
        this->result.failure = Reason::DeadlinePassedAfterSending;
        record.answered({.kind = Routing::OutcomeKind::Failure, .report = {}}, now);
        return;
    }
    if (isProtocolError(error)) {
        this->result.failure = Reason::BadGatewayAnswer;
        record.answered({.kind = Routing::OutcomeKind::Failure, .report = {}}, now);
        return;
    }
    this->result.failure = Reason::TargetConnectionLost;
    this->result.isTargetBroken = true;
    record.connectionLost(now);
}

} // namespace Briarbend::Relay
