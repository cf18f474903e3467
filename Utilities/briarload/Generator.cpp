#include "Generator.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>

namespace Briarbend::BriarLoad
{

namespace
{

namespace Asio = boost::asio;
using Load::Outcome;

constexpr std::chrono::milliseconds SWEEP_INTERVAL{5};
/// Longest time after which stop() is seen.
constexpr std::chrono::milliseconds STOP_CHECK_INTERVAL{100};
constexpr unsigned MAXIMUM_ATTEMPTS = 5;
constexpr std::size_t HISTORY_BLOCK_BYTES = 256UL * 1024;

bool hasRequestBody(const Load::MixRoute &route)
{
    return route.method != "GET" && route.method != "HEAD";
}

std::string targetOf(const Load::MixRoute &route)
{
    if (hasRequestBody(route) || route.bytes == 0) {
        return route.path;
    }
    const auto *separator = route.path.find('?') == std::string::npos ? "?" : "&";
    return route.path + separator + "bytes=" + std::to_string(route.bytes);
}

} // namespace

Generator::Generator(const Options &loadOptions, std::string generatorName, std::uint64_t seed, HistoryFile &historyFile)
    : options(loadOptions)
    , name(std::move(generatorName))
    , random(seed)
    , history(historyFile)
    , context(1)
    , timers(this->context)
    , idle(loadOptions.instances.size())
    , open(loadOptions.instances.size())
    , waiting(loadOptions.instances.size())
    , results(loadOptions.mix.size())
{
    std::ranges::transform(this->options.mix, std::back_inserter(this->bodyChecksums), [](const Load::MixRoute &route) {
        return requestBodyChecksum(hasRequestBody(route) ? route.bytes : 0);
    });
}

void Generator::run(Core::TimePoint begin)
{
    this->schedule = {this->options.rate / this->options.threads, begin};
    Load::takeArrival(this->schedule, this->random);
    this->sweep = this->timers.every(SWEEP_INTERVAL, [this](Core::TimePoint now) {
        this->giveUpExpired(now);
    });
    const auto end = begin + std::chrono::duration_cast<Core::Duration>(this->options.duration);
    Asio::co_spawn(this->context, this->send(end), Asio::detached);
    this->context.run();
    this->history.append(this->lines);
}

void Generator::stop()
{
    this->isStopping = true;
}

const Progress &Generator::progress() const
{
    return this->counters;
}

const std::vector<Load::Tally> &Generator::tallies() const
{
    return this->results;
}

Asio::io_context &Generator::ioContext()
{
    return this->context;
}

Asio::awaitable<void> Generator::send(Core::TimePoint end)
{
    Asio::steady_timer timer(this->context);
    boost::system::error_code ignored;
    while (!this->isStopping && this->schedule.next < end) {
        const auto now = Core::Clock::now();
        while (this->schedule.next <= now && this->schedule.next < end) {
            this->launch(Load::takeArrival(this->schedule, this->random));
        }
        timer.expires_at(std::min<Core::TimePoint>(this->schedule.next, now + STOP_CHECK_INTERVAL));
        co_await timer.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
    }
    this->isSending = false;
    if (this->outstanding == 0) {
        this->context.stop();
    }
}

void Generator::launch(Core::TimePoint intended)
{
    Job job{.route = Load::chooseRoute(this->options.mix, this->random),
            .instance = this->chooseInstance(),
            .intended = intended,
            .key = {},
            .nonce = {}};
    job.nonce = this->name + "-" + std::to_string(++this->requests);
    if (this->options.mix[job.route].isOnce) {
        // The draft makes the header a structured-field string, which carries its quotes.
        job.key = '"' + job.nonce + '"';
    }
    const bool isDuplicated = this->options.duplicate > 0 && this->random.unit() < this->options.duplicate;
    if (isDuplicated) {
        auto copy = job;
        copy.attempt = 2;
        copy.instance = this->otherInstance(job.instance);
        ++this->outstanding;
        Asio::co_spawn(this->context, this->perform(std::move(copy)), Asio::detached);
    }
    ++this->outstanding;
    Asio::co_spawn(this->context, this->perform(std::move(job)), Asio::detached);
}

Asio::awaitable<void> Generator::perform(Job job)
{
    this->counters.sent.fetch_add(1, std::memory_order_relaxed);
    auto event = co_await this->attempt(job);
    this->finish(job, std::move(event));
}

Asio::awaitable<Load::LoadEvent> Generator::attempt(const Job &job)
{
    const auto &route = this->options.mix[job.route];
    Load::LoadEvent event;
    event.intended = job.intended;
    event.route = job.route;
    event.attempt = job.attempt;
    event.key = job.key;
    event.requestId = job.nonce + "." + std::to_string(job.attempt);
    const auto deadline = job.intended + this->options.timeout;
    const auto connection = co_await this->acquire(job.instance, deadline);
    event.sent = Core::Clock::now();
    event.done = event.sent;
    if (!connection) {
        event.outcome = event.done >= deadline ? Outcome::Timeout : Outcome::ConnectFailed;
        co_return event;
    }
    const auto result = co_await connection->exchange(this->headOf(job), hasRequestBody(route) ? route.bytes : 0, route.method == "HEAD");
    event.done = Core::Clock::now();
    this->release(connection);
    if (!result.isAnswered) {
        const auto lost = result.hasHead ? Outcome::Incomplete : Outcome::ConnectionLost;
        event.outcome = event.done >= deadline ? Outcome::Timeout : lost;
        co_return event;
    }
    event.status = result.answer.status;
    event.run = result.run;
    event.isChecksumRight = Load::isChecksumRight(result.answer);
    event.outcome = Load::classify(result.answer, {event.requestId, this->bodyChecksums[job.route]});
    co_return event;
}

std::string Generator::headOf(const Job &job) const
{
    const auto &route = this->options.mix[job.route];
    const auto requestId = job.nonce + "." + std::to_string(job.attempt);
    std::string head = route.method + " " + targetOf(route) + " HTTP/1.1\r\nHost: " + this->options.instances[job.instance].text();
    head += "\r\nx-request-id: " + requestId + "\r\nx-nonce: " + requestId + "\r\n";
    if (!job.key.empty()) {
        head += "Idempotency-Key: " + job.key + "\r\n";
    }
    if (hasRequestBody(route)) {
        head += "Content-Length: " + std::to_string(route.bytes) + "\r\n";
    }
    return head + "\r\n";
}

Asio::awaitable<std::shared_ptr<Connection>> Generator::acquire(std::size_t instance, Core::TimePoint deadline)
{
    while (Core::Clock::now() < deadline) {
        while (!this->idle[instance].empty()) {
            auto connection = std::move(this->idle[instance].back());
            this->idle[instance].pop_back();
            connection->deadline = deadline;
            if (connection->isReusable()) {
                this->busy.insert(connection);
                co_return connection;
            }
            --this->open[instance];
        }
        if (this->open[instance] < this->options.connections) {
            ++this->open[instance];
            auto connection = std::make_shared<Connection>(this->context.get_executor(), instance);
            connection->deadline = deadline;
            this->busy.insert(connection);
            if (co_await connection->connect(this->options.instances[instance])) {
                co_return connection;
            }
            this->release(connection);
            co_return nullptr;
        }
        const auto timer = std::make_shared<Asio::steady_timer>(this->context, deadline);
        this->waiting[instance].push_back(timer);
        boost::system::error_code ignored;
        co_await timer->async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
        std::erase(this->waiting[instance], timer);
    }
    co_return nullptr;
}

void Generator::release(const std::shared_ptr<Connection> &connection)
{
    const auto instance = connection->instance;
    this->busy.erase(connection);
    if (connection->isReusable()) {
        this->idle[instance].push_back(connection);
    } else {
        connection->close();
        --this->open[instance];
    }
    if (!this->waiting[instance].empty()) {
        this->waiting[instance].front()->cancel();
        this->waiting[instance].pop_front();
    }
}

void Generator::giveUpExpired(Core::TimePoint now)
{
    for (const auto &connection : this->busy) {
        if (connection->deadline <= now) {
            connection->close();
        }
    }
}

void Generator::finish(const Job &job, Load::LoadEvent event)
{
    const bool isAnswered = event.outcome == Outcome::Answered;
    (isAnswered ? this->counters.answered : this->counters.failed).fetch_add(1, std::memory_order_relaxed);
    Load::record(this->results[job.route], event);
    if (this->history.isOpen()) {
        event.method = this->options.mix[job.route].method;
        event.path = targetOf(this->options.mix[job.route]);
        event.instance = this->options.instances[job.instance].text();
        this->lines += Load::toLine(event) + "\n";
    }
    if (this->lines.size() > HISTORY_BLOCK_BYTES) {
        this->history.append(this->lines);
        this->lines.clear();
    }
    const bool isResubmitted
        = !isAnswered && job.attempt<MAXIMUM_ATTEMPTS &&this->options.resubmit> 0 && this->random.unit() < this->options.resubmit;
    if (isResubmitted) {
        auto next = job;
        ++next.attempt;
        next.intended = Core::Clock::now();
        next.instance = this->otherInstance(job.instance);
        Asio::co_spawn(this->context, this->perform(std::move(next)), Asio::detached);
        return;
    }
    --this->outstanding;
    if (!this->isSending && this->outstanding == 0) {
        this->context.stop();
    }
}

std::size_t Generator::chooseInstance()
{
    const auto count = this->options.instances.size();
    if (this->options.spread == Spread::Random) {
        return this->random.below(count);
    }
    this->nextInstance = (this->nextInstance + 1) % count;
    return this->nextInstance;
}

std::size_t Generator::otherInstance(std::size_t instance)
{
    const auto count = this->options.instances.size();
    return count == 1 ? instance : (instance + 1 + this->random.below(count - 1)) % count;
}

} // namespace Briarbend::BriarLoad
