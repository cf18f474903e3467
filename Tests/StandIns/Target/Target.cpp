#include <Tests/StandIns/Target/Target.h>

#include <LibNetwork/Http.h>
#include <LibNetwork/HttpServer.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <sys/socket.h>

namespace Briarbend::StandIns
{

namespace
{

namespace Asio = boost::asio;

constexpr std::string_view NOT_RUN = "Request-Not-Run: ?1\r\n";

Answer plainAnswer(unsigned status, std::string headers, std::string text)
{
    return {status, std::move(headers), bodyOf(std::move(text))};
}

/// Whether the peer has closed the connection; pipelined data counts as open.
bool isClosed(Asio::ip::tcp::socket &socket)
{
    char byte = 0;
    const auto received = ::recv(socket.native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
    return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

} // namespace

Target::Target(Asio::io_context &ioContext, const Network::Endpoint &endpoint, std::uint64_t seed, History &runHistory)
    : context(ioContext)
    , history(runHistory)
    , random(seed)
    , acceptor(Network::openAcceptor(ioContext, endpoint))
    , thawing(ioContext, Core::TimePoint::max())
{
    this->local = {endpoint.address, this->acceptor.local_endpoint().port()};
    restart(this->state, false, Core::Clock::now());
    Asio::co_spawn(this->context, this->accept(), Asio::detached);
}

const Network::Endpoint &Target::endpoint() const
{
    return this->local;
}

nlohmann::json Target::counters() const
{
    auto result = StandIns::counters(this->state);
    result["target"] = this->local.text();
    return result;
}

Asio::awaitable<void> Target::accept()
{
    boost::system::error_code error;
    while (true) {
        auto socket = co_await this->acceptor.async_accept(Asio::redirect_error(Asio::use_awaitable, error));
        if (error == Asio::error::operation_aborted) {
            co_return;
        }
        if (error) {
            continue;
        }
        if (this->state.connections >= this->state.conditions.maximumConnections) {
            ++this->state.connectionsRefused;
            continue;
        }
        socket.set_option(Asio::ip::tcp::no_delay(true), error);
        auto connection = std::make_shared<Connection>(Connection{std::move(socket), {}});
        this->connections.insert(connection);
        this->state.connections = this->connections.size();
        this->state.connectionsPeak = std::max(this->state.connectionsPeak, this->state.connections);
        Asio::co_spawn(this->context, this->serve(std::move(connection)), Asio::detached);
    }
}

Asio::awaitable<void> Target::serve(std::shared_ptr<Connection> connection)
{
    Asio::steady_timer connecting(this->context);
    connecting.expires_after(std::chrono::duration_cast<Core::Duration>(Milliseconds(this->state.conditions.connectMilliseconds)));
    co_await connecting.async_wait(Asio::use_awaitable);
    bool isOpen = true;
    while (isOpen) {
        const auto incoming = co_await this->readRequest(*connection);
        if (!incoming) {
            break;
        }
        co_await this->thaw();
        if (std::exchange(connection->owesSecondAnswer, false)) {
            co_await this->writeSecondAnswer(*connection);
        }
        const auto answer = co_await this->answerTo(connection, *incoming);
        co_await this->thaw();
        if (!answer || !connection->socket.is_open()) {
            break;
        }
        isOpen = co_await this->write(*connection, *incoming, *answer) && incoming->keepsAlive;
    }
    this->connections.erase(connection);
    this->state.connections = this->connections.size();
}

Asio::awaitable<std::optional<Answer>> Target::answerTo(std::shared_ptr<Connection> connection, const Incoming &incoming)
{
    const auto now = Core::Clock::now();
    if (incoming.path == "/load") {
        this->state.probes.add(now);
        co_return plainAnswer(200, "Content-Type: application/json\r\n", loadReport(this->state, now).dump());
    }
    switch (admit(this->state, now)) {
    case Admission::Run:
        co_return co_await this->run(incoming);
    case Admission::ColdExcess:
        co_return plainAnswer(500, {}, "overloaded while cold");
    case Admission::FailFast:
        co_return plainAnswer(500, {}, "failed");
    case Admission::Draining:
        co_return plainAnswer(503, std::string(NOT_RUN), "draining");
    case Admission::Shed:
        co_return plainAnswer(503, std::string(NOT_RUN) + "Retry-After: 1\r\n", "queue is full");
    case Admission::Queue:
        break;
    }
    const auto waiting = std::make_shared<Waiting>(Waiting{Asio::steady_timer(this->context)});
    waiting->timer.expires_at(incoming.deadline.value_or(Core::TimePoint::max()));
    const auto start = this->state.start;
    co_await this->waitForSlot(connection, waiting);
    if (this->state.start != start) {
        co_return std::nullopt;
    }
    if (waiting->isStarted) {
        co_return co_await this->run(incoming);
    }
    if (waiting->isCancelled) {
        ++this->state.cancelled;
        co_return std::nullopt;
    }
    ++this->state.expired;
    co_return plainAnswer(504, std::string(NOT_RUN), "deadline passed in the queue");
}

Asio::awaitable<void> Target::waitForSlot(std::shared_ptr<Connection> connection, std::shared_ptr<Waiting> waiting)
{
    this->queue.push_back(waiting);
    this->state.queued = this->queue.size();
    connection->socket.async_wait(Asio::ip::tcp::socket::wait_read, [connection, waiting](const boost::system::error_code &error) {
        if (!error && isClosed(connection->socket)) {
            waiting->isCancelled = true;
            waiting->timer.cancel();
        }
    });
    boost::system::error_code ignored;
    co_await waiting->timer.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
    connection->socket.cancel(ignored);
    if (!waiting->isStarted) {
        this->queue.remove(waiting);
        this->state.queued = this->queue.size();
    }
}

void Target::startWaiting()
{
    while (!this->queue.empty() && this->state.running < this->state.conditions.slots) {
        const auto waiting = this->queue.front();
        this->queue.pop_front();
        this->state.queued = this->queue.size();
        waiting->isStarted = true;
        ++this->state.running;
        waiting->timer.cancel();
    }
}

Asio::awaitable<std::optional<Answer>> Target::run(const Incoming &incoming)
{
    const auto begin = Core::Clock::now();
    const auto start = this->state.start;
    const auto index = this->history.runs.size();
    const bool isRecorded = this->history.mode == HistoryMode::All || (this->history.mode == HistoryMode::Keys && !incoming.key.empty());
    if (isRecorded) {
        this->history.runs.push_back({this->local.text(), start, incoming.key, incoming.requestId, incoming.path, begin, {}, 0});
    }
    if (!incoming.crashMarker.empty()) {
        this->breakDown(incoming.crashMarker);
        co_return std::nullopt;
    }
    const bool fails = failsByFault(this->state, incoming.path, this->random);
    Asio::steady_timer service(this->context);
    auto work = serviceTime(this->state, incoming.path, this->random);
    while (work > Core::Duration::zero()) {
        const auto slice = nextSlice(this->state, work, Core::Clock::now(), this->random);
        service.expires_after(slice.duration);
        co_await service.async_wait(Asio::use_awaitable);
        work -= slice.work;
    }
    if (this->state.start != start) {
        co_return std::nullopt;
    }
    --this->state.running;
    const auto end = Core::Clock::now();
    complete(this->state, !fails, end);
    this->startWaiting();
    if (isRecorded && index < this->history.runs.size()) {
        this->history.runs[index].end = end;
        this->history.runs[index].status = fails ? 500 : 200;
    }
    if (this->happens(this->state.conditions.late)) {
        service.expires_after(std::chrono::duration_cast<Core::Duration>(Milliseconds(this->state.conditions.lateMilliseconds)));
        co_await service.async_wait(Asio::use_awaitable);
    }
    if (fails) {
        co_return plainAnswer(500, {}, "fault of the version");
    }
    co_return co_await this->finish(incoming,
                                    this->local.text() + "/" + std::to_string(start) + "/" + std::to_string(this->state.completed));
}

Asio::awaitable<Answer> Target::finish(const Incoming &incoming, std::string runName)
{
    Answer answer{200, "x-run: " + runName + "\r\n", {}};
    if (incoming.method == boost::beast::http::verb::post || incoming.method == boost::beast::http::verb::put) {
        const nlohmann::json json{{"request_id", incoming.requestId},
                                  {"method", std::string(boost::beast::http::to_string(incoming.method))},
                                  {"path", incoming.path},
                                  {"bytes", incoming.bodyBytes},
                                  {"digest", incoming.bodyDigest}};
        answer.headers += "Content-Type: application/json\r\nx-body-checksum: " + incoming.bodyDigest + "\r\n";
        answer.body = bodyOf(json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
    } else {
        constexpr std::uint64_t DEFAULT_BYTES = 64;
        const auto bytes = Network::queryParameter(incoming.target, "bytes");
        answer.body = patternBody(incoming.path, bytes.empty() ? DEFAULT_BYTES : std::strtoull(bytes.c_str(), nullptr, 10));
    }
    answer.headers += "x-checksum: " + co_await checksum(answer.body) + "\r\n";
    co_return answer;
}

} // namespace Briarbend::StandIns
