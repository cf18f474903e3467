#include <LibStore/HttpObjectStore.h>

#include <LibStore/HttpMessages.h>

#include <algorithm>
#include <ranges>
#include <stdexcept>

namespace Briarbend::Store
{

namespace
{

namespace Asio = boost::asio;

constexpr std::size_t MAXIMUM_IDLE_CONNECTIONS{8};

bool isServerError(const Network::Response &response)
{
    return Network::Http::to_status_class(response.result()) == Network::Http::status_class::server_error;
}

} // namespace

HttpObjectStore::HttpObjectStore(Asio::any_io_executor ioExecutor,
                                 std::vector<Network::Endpoint> storeEndpoints,
                                 Core::Duration callTimeout)
    : executor(std::move(ioExecutor))
    , endpoints(std::move(storeEndpoints))
    , timeout(callTimeout)
    , idleClients(this->endpoints.size())
{
    if (this->endpoints.empty()) {
        throw std::invalid_argument("the object store needs at least one endpoint");
    }
}

Asio::awaitable<ReadResult> HttpObjectStore::read(std::string key)
{
    auto request = makeReadRequest(key);
    const auto outcome = co_await this->exchange(std::move(request), this->timeout);
    if (!outcome.response) {
        co_return Unavailable{outcome.reason};
    }
    co_return parseReadResponse(*outcome.response);
}

Asio::awaitable<WriteResult> HttpObjectStore::write(std::string key, std::string value, Condition condition)
{
    auto request = makeWriteRequest(key, std::move(value), condition);
    const auto outcome = co_await this->exchange(std::move(request), this->timeout);
    if (outcome.response) {
        co_return parseWriteResponse(*outcome.response);
    }
    if (outcome.mayHaveRun) {
        co_return Unknown{outcome.reason};
    }
    co_return Unavailable{outcome.reason};
}

Asio::awaitable<WatchResult> HttpObjectStore::watch(std::string prefix, Version afterRevision, Core::Duration wait)
{
    auto request = makeWatchRequest(prefix, afterRevision, wait);
    const auto outcome = co_await this->exchange(std::move(request), this->timeout + wait);
    if (!outcome.response) {
        co_return Unavailable{outcome.reason};
    }
    co_return parseWatchResponse(*outcome.response);
}

Asio::awaitable<ListResult> HttpObjectStore::list(std::string prefix)
{
    auto request = makeListRequest(prefix);
    const auto outcome = co_await this->exchange(std::move(request), this->timeout);
    if (!outcome.response) {
        co_return Unavailable{outcome.reason};
    }
    co_return parseListResponse(*outcome.response);
}

void HttpObjectStore::onSkippedEntry(std::function<void(const std::string &problem)> callback)
{
    this->skippedEntryCallback = std::move(callback);
}

Asio::awaitable<InstancesResult> HttpObjectStore::instances()
{
    auto request = makeInstancesRequest();
    const auto outcome = co_await this->exchange(std::move(request), this->timeout);
    if (!outcome.response) {
        co_return Unavailable{outcome.reason};
    }
    co_return parseInstancesResponse(*outcome.response, [this](const std::string &problem) {
        if (this->skippedEntryCallback) {
            this->skippedEntryCallback(problem);
        }
    });
}

Asio::awaitable<HttpObjectStore::Outcome> HttpObjectStore::exchange(Network::Request request, Core::Duration answerTimeout)
{
    const bool isSafe = request.method() == Network::Http::verb::get;
    const auto first = this->preferredEndpoint;
    Outcome outcome;
    for (const auto attempt : std::views::iota(std::size_t{0}, this->endpoints.size())) {
        const auto index = (first + attempt) % this->endpoints.size();
        outcome = co_await this->exchangeWith(index, request, answerTimeout);
        if (outcome.response && !(isSafe && isServerError(*outcome.response))) {
            this->preferredEndpoint = index;
            break;
        }
        if (outcome.mayHaveRun && !isSafe) {
            break;
        }
    }
    co_return outcome;
}

Asio::awaitable<HttpObjectStore::Outcome>
HttpObjectStore::exchangeWith(std::size_t endpointIndex, Network::Request request, Core::Duration answerTimeout)
{
    const auto address = this->endpoints[endpointIndex].text();
    auto client = this->takeClient(endpointIndex);
    Outcome outcome;
    request.set(Network::Http::field::host, address);
    try {
        co_await client->connect(this->timeout);
        outcome.mayHaveRun = true;
        outcome.response = co_await client->exchange(std::move(request), answerTimeout);
    } catch (const boost::system::system_error &error) {
        outcome.reason = "store at " + address + ": " + error.code().message();
        co_return outcome;
    }
    auto &idle = this->idleClients[endpointIndex];
    if (idle.size() < MAXIMUM_IDLE_CONNECTIONS) {
        idle.push_back(std::move(client));
    }
    co_return outcome;
}

std::unique_ptr<Network::HttpClient> HttpObjectStore::takeClient(std::size_t endpointIndex)
{
    auto &idle = this->idleClients[endpointIndex];
    while (!idle.empty()) {
        auto client = std::move(idle.back());
        idle.pop_back();
        // A write on a connection that the store has closed would end as unknown although nothing was wrong.
        if (client->isConnected()) {
            return client;
        }
    }
    return std::make_unique<Network::HttpClient>(this->executor, this->endpoints[endpointIndex]);
}

} // namespace Briarbend::Store
