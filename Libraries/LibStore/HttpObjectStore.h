#pragma once

#include <LibNetwork/Endpoint.h>
#include <LibNetwork/Http.h>
#include <LibNetwork/HttpClient.h>
#include <LibStore/ObjectStore.h>

#include <boost/asio/any_io_executor.hpp>
#include <memory>
#include <optional>
#include <vector>

namespace Briarbend::Store
{

/// The store's HTTP binding: conditional requests of RFC 9110 with versions as entity tags, long-polling watches.
/// All calls come from the executor's thread, and the store outlives them. Endpoints are tried in order, beginning with the one that
/// answered last; a write moves on only where it was surely not sent.
class HttpObjectStore final : public ObjectStore
{
public:
    /// The time-out bounds connecting and answering, each once an endpoint; a watch has its wait besides. Throws std::invalid_argument
    /// where there is no endpoint.
    HttpObjectStore(boost::asio::any_io_executor executor, std::vector<Network::Endpoint> endpoints, Core::Duration timeout);

    /// Registers the receiver of what is wrong with entries of the list of instances that were left out.
    void onSkippedEntry(std::function<void(const std::string &problem)> callback);

    boost::asio::awaitable<ReadResult> read(std::string key) override;
    boost::asio::awaitable<WriteResult> write(std::string key, std::string value, Condition condition) override;
    boost::asio::awaitable<WatchResult> watch(std::string prefix, Version afterRevision, Core::Duration wait) override;
    boost::asio::awaitable<ListResult> list(std::string prefix) override;
    boost::asio::awaitable<InstancesResult> instances() override;

private:
    /// How one exchange ended: with a response, or with a reason and whether the request may have run.
    struct Outcome {
        std::optional<Network::Response> response;
        bool mayHaveRun{false};
        std::string reason;
    };

    boost::asio::awaitable<Outcome> exchange(Network::Request request, Core::Duration answerTimeout);
    boost::asio::awaitable<Outcome> exchangeWith(std::size_t endpointIndex, Network::Request request, Core::Duration answerTimeout);
    std::unique_ptr<Network::HttpClient> takeClient(std::size_t endpointIndex);

    boost::asio::any_io_executor executor;
    std::vector<Network::Endpoint> endpoints;
    Core::Duration timeout;
    std::function<void(const std::string &problem)> skippedEntryCallback;
    std::size_t preferredEndpoint{0};
    /// Open connections without an exchange, one list an endpoint.
    std::vector<std::vector<std::unique_ptr<Network::HttpClient>>> idleClients;
};

} // namespace Briarbend::Store
