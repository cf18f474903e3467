#include <Tests/StandIns/Store/Store.h>

#include <LibNetwork/HttpServer.h>
#include <Tests/StandIns/Common/JsonResponse.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>

namespace Briarbend::StandIns
{

namespace
{

namespace Asio = boost::asio;
using Network::Http::field;
using Network::Http::status;
using Network::Http::verb;

constexpr std::size_t MAXIMUM_OBJECT_BYTES = 1024UL * 1024;
constexpr std::string_view OBJECTS = "/objects";

std::uint64_t versionOf(const ObjectState &state)
{
    return state.body ? state.version : 0;
}

std::string entityTag(std::uint64_t version)
{
    return '"' + std::to_string(version) + '"';
}

std::uint64_t number(const std::string &text)
{
    return text.empty() ? 0 : std::stoull(text);
}

Network::Response answer(status code, std::uint64_t version, std::string body = {})
{
    auto response = Network::makeResponse(code, "application/octet-stream", std::move(body));
    response.set(field::etag, entityTag(version));
    return response;
}

/// RFC 9110 section 13.1: whether the preconditions of a write hold for the current version, zero being an absent object.
bool preconditionsHold(const Network::Request &request, std::uint64_t current)
{
    if (const auto match = request.find(field::if_match); match != request.end()) {
        const bool holds = match->value() == "*" ? current != 0 : match->value() == entityTag(current);
        if (!holds) {
            return false;
        }
    }
    const auto noneMatch = request.find(field::if_none_match);
    return noneMatch == request.end() || (noneMatch->value() == "*" ? current == 0 : noneMatch->value() != entityTag(current));
}

CallKind kindOf(const Network::Request &request)
{
    const std::string_view target = request.target();
    if (Network::pathOf(target) == "/instances") {
        return CallKind::Instances;
    }
    if (request.method() != verb::get) {
        return CallKind::Write;
    }
    if (!Network::queryParameter(target, "wait").empty()) {
        return CallKind::Watch;
    }
    return Network::pathOf(target) == OBJECTS ? CallKind::List : CallKind::Read;
}

} // namespace

Store::Store(std::uint64_t seed)
    : random(seed)
{
}

Asio::awaitable<Network::Response> Store::handle(Network::Request request)
{
    const auto path = std::string(Network::pathOf(request.target()));
    if (path.starts_with("/control")) {
        co_return this->control(request);
    }
    const auto kind = kindOf(request);
    if (!this->admit(kind)) {
        co_return Network::makeResponse(status::too_many_requests, "text/plain", "over the rate limit");
    }
    if (this->conditions.delayMilliseconds > 0) {
        Asio::steady_timer delay(co_await Asio::this_coro::executor, std::chrono::milliseconds(this->conditions.delayMilliseconds));
        co_await delay.async_wait(Asio::use_awaitable);
    }
    this->failInOutage(kind == CallKind::Instances ? this->conditions.listOutage : this->conditions.outage);
    if (kind == CallKind::Instances) {
        co_return this->instances();
    }
    if (path == OBJECTS && request.method() == verb::get) {
        co_return co_await this->list(request);
    }
    if (!path.starts_with(std::string(OBJECTS) + "/")) {
        co_return Network::makeResponse(status::not_found, "text/plain", "no such resource");
    }
    auto key = path.substr(OBJECTS.size() + 1);
    if (kind != CallKind::Write) {
        co_return co_await this->read(request, std::move(key));
    }
    auto response = this->write(request, key);
    const bool tookEffect = response.result_int() < 300;
    if (tookEffect && this->random.unit() < this->conditions.loseAnswers) {
        throw Network::ExchangeAbandoned();
    }
    co_return response;
}

bool Store::admit(CallKind kind)
{
    const auto now = Core::Clock::now();
    auto &window = this->windows.at(static_cast<std::size_t>(kind));
    const bool isWrite = kind == CallKind::Write;
    const auto limit = isWrite ? this->conditions.writeLimit : this->conditions.readLimit;
    auto &limited = isWrite ? window : this->reads;
    const bool isLimited = limit != 0 && kind != CallKind::Instances;
    if (isLimited && limited.count(now) >= limit) {
        ++this->refusedCalls;
        return false;
    }
    window.add(now);
    if (!isWrite && kind != CallKind::Instances) {
        this->reads.add(now);
    }
    return true;
}

void Store::failInOutage(bool isOut) const
{
    if (!isOut) {
        return;
    }
    if (this->conditions.outageStatus) {
        throw Network::HttpError(status::service_unavailable, "outage");
    }
    throw Network::ExchangeAbandoned();
}

ObjectState Store::stateOf(const std::string &key)
{
    const auto found = this->objects.find(key);
    if (found == this->objects.end()) {
        return {};
    }
    return this->conditions.staleObjects ? found->second.at(Core::Clock::now() - this->lag()) : found->second.current;
}

std::chrono::milliseconds Store::lag() const
{
    return std::chrono::milliseconds(this->conditions.staleMilliseconds);
}

Asio::awaitable<Network::Response> Store::read(const Network::Request &request, std::string key)
{
    const auto known = request.find(field::if_none_match);
    const bool isConditional = known != request.end();
    const auto wait = number(Network::queryParameter(request.target(), "wait"));
    const auto end = Core::Clock::now() + std::chrono::milliseconds(wait);
    auto state = this->stateOf(key);
    while (isConditional && known->value() == entityTag(versionOf(state))) {
        const bool isOver = Core::Clock::now() >= end;
        if (isOver && (wait > 0 || state.body)) {
            co_return answer(status::not_modified, versionOf(state));
        }
        if (isOver) {
            break;
        }
        co_await this->waitForChange(key, false, end);
        state = this->stateOf(key);
    }
    if (!state.body) {
        co_return Network::makeResponse(status::not_found, "text/plain", "no such object");
    }
    co_return answer(status::ok, state.version, std::move(*state.body));
}

Asio::awaitable<Network::Response> Store::list(const Network::Request &request)
{
    const auto prefix = Network::queryParameter(request.target(), "prefix");
    const auto after = Network::queryParameter(request.target(), "after");
    const auto wait = number(Network::queryParameter(request.target(), "wait"));
    const auto end = Core::Clock::now() + std::chrono::milliseconds(wait);
    while (!after.empty() && !this->hasChangeBelow(prefix, number(after))) {
        if (Core::Clock::now() >= end) {
            co_return answer(status::not_modified, this->revision);
        }
        co_await this->waitForChange(prefix, true, end);
    }
    co_return makeJsonResponse({{"revision", this->revision}, {"objects", this->objectsBelow(prefix)}});
}

nlohmann::json Store::objectsBelow(const std::string &prefix) const
{
    auto found = nlohmann::json::array();
    for (auto item = this->objects.lower_bound(prefix); item != this->objects.end() && item->first.starts_with(prefix); ++item) {
        if (item->second.current.body) {
            found.push_back({{"key", item->first}, {"version", item->second.current.version}});
        }
    }
    return found;
}

bool Store::hasChangeBelow(const std::string &prefix, std::uint64_t after) const
{
    for (auto item = this->objects.lower_bound(prefix); item != this->objects.end() && item->first.starts_with(prefix); ++item) {
        if (item->second.current.version > after) {
            return true;
        }
    }
    return false;
}

Asio::awaitable<void> Store::waitForChange(const std::string &key, bool isPrefix, Core::TimePoint end)
{
    const auto executor = co_await Asio::this_coro::executor;
    const auto watcher = this->watchers.insert(this->watchers.end(), Watcher{key, isPrefix, Asio::steady_timer(executor, end)});
    boost::system::error_code ignored;
    co_await watcher->timer.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
    this->watchers.erase(watcher);
    this->failInOutage(this->conditions.outage);
}

void Store::wakeWatchers(const std::string &key)
{
    for (auto &watcher : this->watchers) {
        if (watcher.isPrefix ? key.starts_with(watcher.key) : key == watcher.key) {
            watcher.timer.cancel();
        }
    }
}

Network::Response Store::write(const Network::Request &request, const std::string &key)
{
    const auto found = this->objects.find(key);
    const auto current = found == this->objects.end() ? 0 : versionOf(found->second.current);
    if (request.method() != verb::put && request.method() != verb::delete_) {
        return Network::makeResponse(status::method_not_allowed, "text/plain", "use GET, PUT or DELETE");
    }
    if (request.body().size() > MAXIMUM_OBJECT_BYTES) {
        return Network::makeResponse(status::payload_too_large, "text/plain", "an object holds at most 1 MiB");
    }
    if (!preconditionsHold(request, current)) {
        return answer(status::precondition_failed, current);
    }
    const bool isDeletion = request.method() == verb::delete_;
    if (isDeletion && current == 0) {
        return Network::makeResponse(status::not_found, "text/plain", "no such object");
    }
    ++this->revision;
    ObjectState state{isDeletion ? std::nullopt : std::optional(request.body()), this->revision};
    this->objects[key].replace(std::move(state), Core::Clock::now(), this->lag());
    this->wakeWatchers(key);
    if (isDeletion) {
        return answer(status::no_content, this->revision);
    }
    return answer(current == 0 ? status::created : status::ok, this->revision);
}

} // namespace Briarbend::StandIns
