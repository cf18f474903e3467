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

constexpr std::string_view RECORDS_PATH{"/v1/objects/briarbend-records"};
constexpr std::chrono::milliseconds SLOW_ANSWER{250};
/// How soon a watch tells of a change.
constexpr std::chrono::milliseconds WATCH_POLL{10};

/// A number in the query; nothing where the parameter is missing.
std::optional<std::uint64_t> numberOf(const std::string &target, const std::string &parameter)
{
    const auto at = target.find(parameter + "=");
    return at == std::string::npos ? std::nullopt : std::optional(std::stoull(target.substr(at + parameter.size() + 1)));
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
    auto &object = this->content.objects[kind][name];
    if (!object.is_null() && object.at("spec") == spec) {
        return;
    }
    ++this->content.revision;
    object = {{"metadata", {{"name", name}, {"revision", this->content.revision}}}, {"spec", std::move(spec)}};
    this->note(kind, object, false);
}

void SoakStore::remove(const std::string &kind, const std::string &name)
{
    auto removed = this->content.objects[kind].extract(name);
    if (!removed.empty()) {
        ++this->content.revision;
        removed.mapped()["metadata"]["revision"] = this->content.revision;
        this->note(kind, removed.mapped(), true);
    }
}

void SoakStore::note(const std::string &kind, const json &object, bool isRemoved)
{
    this->content.history.push_back({kind, this->content.revision, {{"object", object}, {"removed", isRemoved}}});
}

void SoakStore::takeCopy()
{
    this->copy = this->content;
}

void SoakStore::restore()
{
    this->content = this->copy;
    ++this->era;
}

Network::Response SoakStore::ok(const json &body) const
{
    return this->reply(Network::Http::status::ok, body);
}

Network::Response SoakStore::reply(Network::Http::status status, const json &body) const
{
    auto response = Network::makeResponse(status, "application/json", body.dump());
    response.set("Store-Era", std::to_string(this->era));
    return response;
}

Network::Response SoakStore::answerRecord(const Network::Request &request, const std::string &path)
{
    using Network::Http::status;
    auto &records = this->content.objects[path.substr(RECORDS_PATH.rfind('/') + 1, RECORDS_PATH.size() - RECORDS_PATH.rfind('/') - 1)];
    const bool isRead = request.method() == Network::Http::verb::get;
    const auto written = isRead ? json::object() : json::parse(request.body());
    const auto name = isRead ? path.substr(path.rfind('/') + 1) : written.at("metadata").at("name").get<std::string>();
    const auto known = records.find(name);
    if (isRead) {
        return known == records.end() ? this->reply(status::not_found, json::object()) : this->ok(known->second);
    }
    const bool isNew = request.method() == Network::Http::verb::post;
    if (!isNew && known == records.end()) {
        return this->reply(status::not_found, json::object());
    }
    if (known != records.end() && (isNew || written.at("metadata").at("revision") != known->second.at("metadata").at("revision"))) {
        return this->reply(status::conflict, known->second);
    }
    records[name] = {{"metadata", {{"name", name}, {"revision", ++this->content.revision}}}, {"spec", written.at("spec")}};
    return this->ok(records[name]);
}

json SoakStore::list(const std::string &kind) const
{
    auto items = json::array();
    if (const auto found = this->content.objects.find(kind); found != this->content.objects.end()) {
        for (const auto &[name, object] : found->second) {
            items.push_back(object);
        }
    }
    return {{"items", items}, {"more", false}, {"storeRevision", this->content.revision}};
}

json SoakStore::eventsAfter(const std::string &kind, std::uint64_t after) const
{
    auto events = json::array();
    for (const auto &event : this->content.history) {
        if (event.kind == kind && event.revision > after) {
            events.push_back(event.event);
        }
    }
    return {{"events", events}, {"storeRevision", this->content.revision}};
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
    ++this->calls;
    const std::string target(request.target());
    const auto path = target.substr(0, target.find('?'));
    const auto kind = path.substr(path.rfind('/') + 1);
    if (path.starts_with(RECORDS_PATH)) {
        co_return this->answerRecord(request, path);
    }
    if (request.method() != Network::Http::verb::get) {
        throw Network::HttpError(Network::Http::status::not_found, "nothing to write here");
    }
    const auto watched = numberOf(target, "watch");
    if (!watched) {
        co_return this->ok(this->list(kind));
    }
    const auto after = *watched;
    const auto eraAtStart = this->era;
    if (after > this->content.revision) {
        throw Network::HttpError(Network::Http::status::gone, "no such revision");
    }
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(numberOf(target, "waitMs").value_or(0));
    Asio::steady_timer poll(this->context);
    while (this->eventsAfter(kind, after).at("events").empty() && std::chrono::steady_clock::now() < until
           && this->mode == StoreMode::Serves && this->era == eraAtStart) {
        poll.expires_after(WATCH_POLL);
        co_await poll.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
    }
    if (this->era != eraAtStart) {
        throw Network::ExchangeAbandoned();
    }
    co_return this->ok(this->eventsAfter(kind, after));
}

} // namespace Briarbend::Soak
