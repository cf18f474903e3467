#pragma once

#include <LibNetwork/HttpServer.h>

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace Briarbend::Soak
{

enum class StoreMode {
    Serves,
    /// Every call gets 503.
    Refuses,
    /// Every call ends with its connection.
    Closes,
    Slow,
};

/// The platform's store as far as gateways use it: objects of a kind, in lists and watches, and records that the gateways write.
class SoakStore
{
public:
    explicit SoakStore(boost::asio::io_context &context);

    Network::Endpoint endpoint() const;
    void put(const std::string &kind, const std::string &name, nlohmann::json spec);
    void remove(const std::string &kind, const std::string &name);
    /// Keeps the present content for a later restore().
    void takeCopy();
    /// Replaces the content by that of the last copy. What was written since is lost, and its revisions are given out again.
    void restore();

    /// Calls that were answered.
    std::size_t calls{0};
    StoreMode mode{StoreMode::Serves};

private:
    struct Event {
        std::string kind;
        std::uint64_t revision{0};
        nlohmann::json event;
    };

    boost::asio::awaitable<Network::Response> answer(Network::Request request);
    /// Reads, creates or replaces the record of a path below RECORDS_PATH.
    Network::Response answerRecord(const Network::Request &request, const std::string &path);
    nlohmann::json list(const std::string &kind) const;
    nlohmann::json eventsAfter(const std::string &kind, std::uint64_t revision) const;
    void note(const std::string &kind, const nlohmann::json &object, bool isRemoved);

    /// What is lost when the store is restored.
    struct Content {
        std::map<std::string, std::map<std::string, nlohmann::json>> objects;
        std::vector<Event> history;
        std::uint64_t revision{1};
    };

    Network::Response reply(Network::Http::status status, const nlohmann::json &body) const;
    Network::Response ok(const nlohmann::json &body) const;

    boost::asio::io_context &context;
    Content content;
    Content copy;
    std::uint64_t era{1};
    Network::HttpServer server;
};

} // namespace Briarbend::Soak
