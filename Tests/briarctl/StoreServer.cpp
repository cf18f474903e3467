#include "StoreServer.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

namespace Briarbend::Testing
{

namespace
{

namespace Http = Network::Http;

constexpr std::string_view OBJECT_PREFIX{"/objects/"};

Network::Response tagged(Http::status status, Store::Version version, std::string body = {})
{
    auto response = Network::makeResponse(status, "application/octet-stream", std::move(body));
    response.set(Http::field::etag, "\"" + std::to_string(version) + "\"");
    return response;
}

Network::Response unavailable()
{
    return Network::makeResponse(Http::status::service_unavailable, "text/plain", "");
}

Network::Response json(const nlohmann::json &value)
{
    return Network::makeResponse(Http::status::ok, "application/json", value.dump());
}

Store::Condition conditionOf(const Network::Request &request)
{
    if (const std::string tag(request[Http::field::if_match]); !tag.empty()) {
        return Store::IfVersion{std::stoull(tag.substr(1))};
    }
    if (request[Http::field::if_none_match] == "*") {
        return Store::IfAbsent{};
    }
    return Store::Unconditional{};
}

} // namespace

StoreServer::StoreServer()
    : server(this->context,
             {"127.0.0.1", 0},
             [this](Network::Request request) {
                 return this->answer(std::move(request));
             })
    , thread([this] {
        this->context.run();
    })
{
}

StoreServer::~StoreServer()
{
    this->context.stop();
    this->thread.join();
}

void StoreServer::change(const std::function<void(Store::FakeObjectStore &)> &function)
{
    std::promise<void> done;
    boost::asio::post(this->context, [&] {
        function(this->store);
        done.set_value();
    });
    done.get_future().wait();
}

void StoreServer::addInstance(const std::string &body)
{
    this->change([this, &body](Store::FakeObjectStore &) {
        const auto handler = [body](Network::Request) -> boost::asio::awaitable<Network::Response> {
            co_return Network::makeResponse(Http::status::ok, "application/json", body);
        };
        this->instances.push_back(std::make_unique<Network::HttpServer>(this->context, Network::Endpoint{"127.0.0.1", 0}, handler));
    });
}

std::string StoreServer::storeAddress() const
{
    return this->server.endpoint().text();
}

std::string StoreServer::instanceAddresses() const
{
    std::string addresses;
    for (const auto &instance : this->instances) {
        addresses += (addresses.empty() ? "" : ",") + instance->endpoint().text();
    }
    return addresses;
}

boost::asio::awaitable<Network::Response> StoreServer::answer(Network::Request request)
{
    const std::string path(Network::pathOf(request.target()));
    if (path == "/objects") {
        return this->answerList(Network::queryParameter(request.target(), "prefix"));
    }
    if (!path.starts_with(OBJECT_PREFIX)) {
        return this->answerInstances();
    }
    auto key = path.substr(OBJECT_PREFIX.size());
    return request.method() == Http::verb::put ? this->answerWrite(std::move(request), std::move(key)) : this->answerRead(std::move(key));
}

boost::asio::awaitable<Network::Response> StoreServer::answerList(std::string prefix)
{
    const auto result = co_await this->store.list(std::move(prefix));
    const auto *listing = std::get_if<Store::Listing>(&result);
    if (listing == nullptr) {
        co_return unavailable();
    }
    nlohmann::json objects = nlohmann::json::array();
    for (const auto &object : listing->objects) {
        objects.push_back({{"key", object.key}, {"version", object.version}});
    }
    co_return json({{"revision", listing->revision}, {"objects", objects}});
}

boost::asio::awaitable<Network::Response> StoreServer::answerInstances()
{
    co_return json({{"instances", nlohmann::json::array()}});
}

boost::asio::awaitable<Network::Response> StoreServer::answerRead(std::string key)
{
    const auto result = co_await this->store.read(std::move(key));
    if (const auto *object = std::get_if<Store::Object>(&result)) {
        co_return tagged(Http::status::ok, object->version, object->value);
    }
    const bool isAbsent = std::holds_alternative<Store::Absent>(result);
    co_return isAbsent ? Network::makeResponse(Http::status::not_found, "text/plain", "") : unavailable();
}

boost::asio::awaitable<Network::Response> StoreServer::answerWrite(Network::Request request, std::string key)
{
    const auto condition = conditionOf(request);
    const auto result = co_await this->store.write(std::move(key), std::move(request.body()), condition);
    if (const auto *written = std::get_if<Store::Written>(&result)) {
        co_return tagged(Http::status::ok, written->version);
    }
    if (const auto *conflict = std::get_if<Store::Conflict>(&result)) {
        co_return tagged(Http::status::precondition_failed, conflict->currentVersion);
    }
    co_return unavailable();
}

} // namespace Briarbend::Testing
