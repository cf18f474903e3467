#include "SoakStore.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <optional>

namespace Briarbend::Soak
{

namespace
{

namespace Asio = boost::asio;
using nlohmann::json;

constexpr std::chrono::milliseconds SLOW_ANSWER{250};
/// How soon a watch tells of a change.
constexpr std::chrono::milliseconds WATCH_POLL{10};

/// A number in the query; nothing where the parameter is missing.
std::optional<std::uint64_t> numberOf(const std::string &target, const std::string &parameter)
{
    const auto at = target.find(parameter + "=");
    return at == std::string::npos ? std::nullopt : std::optional(std::stoull(target.substr(at + parameter.size() + 1)));
}

Network::Response ok(const json &body)
{
    return Network::makeResponse(Network::Http::status::ok, "application/json", body.dump());
}

} // namespace

SoakStore::SoakStore(Asio::io_context &ioContext)
    : context(ioContext)
    , server(ioContext, {.address = "127.0.0.1", .port = 0}, [this](Network::Request request) {
        return this->answer(std::move(request));
    })
{
}

Network::Endpoint SoakStore::endpoint() const
{
    return this->server.endpoint();
}

void SoakStore::put(const std::string &kind, const std::string &name, json spec)
{
    ++this->revision;
    auto &object = this->objects[kind][name];
    object = {{"metadata", {{"name", name}, {"revision", this->revision}}}, {"spec", std::move(spec)}};
    this->note(kind, object, false);
}

void SoakStore::remove(const std::string &kind, const std::string &name)
{
    ++this->revision;
    auto removed = this->objects[kind].extract(name);
    if (!removed.empty()) {
        removed.mapped()["metadata"]["revision"] = this->revision;
        this->note(kind, removed.mapped(), true);
    }
}

void SoakStore::note(const std::string &kind, const json &object, bool isRemoved)
{
    this->history.push_back({kind, this->revision, {{"object", object}, {"removed", isRemoved}}});
}

json SoakStore::list(const std::string &kind) const
{
    auto items = json::array();
    if (const auto found = this->objects.find(kind); found != this->objects.end()) {
        for (const auto &[name, object] : found->second) {
            items.push_back(object);
        }
    }
    return {{"items", items}, {"more", false}, {"storeRevision", this->revision}};
}

json SoakStore::eventsAfter(const std::string &kind, std::uint64_t after) const
{
    auto events = json::array();
    for (const auto &event : this->history) {
        if (event.kind == kind && event.revision > after) {
            events.push_back(event.event);
        }
    }
    return {{"events", events}, {"storeRevision", this->revision}};
}

Asio::awaitable<Network::Response> SoakStore::answer(Network::Request request)
{
    boost::system::error_code ignored;
    if (this->mode == StoreMode::Refuses) {
        throw Network::HttpError(Network::Http::status::service_unavailable, "down");
    }
    if (this->mode == StoreMode::Closes) {
        throw Network::ExchangeAbandoned();
    }
    if (this->mode == StoreMode::Slow) {
        Asio::steady_timer timer(this->context, SLOW_ANSWER);
        co_await timer.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
    }
    const std::string target(request.target());
    const auto path = target.substr(0, target.find('?'));
    const auto kind = path.substr(path.rfind('/') + 1);
    if (request.method() != Network::Http::verb::get) {
        throw Network::HttpError(Network::Http::status::not_found, "nothing to write here");
    }
    const auto watched = numberOf(target, "watch");
    if (!watched) {
        co_return ok(this->list(kind));
    }
    const auto after = *watched;
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(numberOf(target, "waitMs").value_or(0));
    Asio::steady_timer poll(this->context);
    while (this->eventsAfter(kind, after).at("events").empty() && std::chrono::steady_clock::now() < until
           && this->mode == StoreMode::Serves) {
        poll.expires_after(WATCH_POLL);
        co_await poll.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
    }
    co_return ok(this->eventsAfter(kind, after));
}

} // namespace Briarbend::Soak
