#pragma once

#include <LibCore/Random.h>
#include <LibNetwork/Endpoint.h>
#include <Tests/StandIns/Target/Body.h>
#include <Tests/StandIns/Target/TargetState.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/verb.hpp>
#include <list>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Briarbend::StandIns
{

/// One request that a target has begun to run. No end means still running or lost in a crash.
struct Run {
    std::string target;
    std::uint64_t start{0};
    std::string key;
    std::string requestId;
    std::string path;
    Core::TimePoint begin;
    std::optional<Core::TimePoint> end;
    unsigned status{0};
};

enum class HistoryMode {
    All,
    /// Only requests with an idempotency key.
    Keys,
    None,
};

/// The runs of all targets of the process, in the order of their beginning.
struct History {
    HistoryMode mode{HistoryMode::All};
    std::vector<Run> runs;
};

struct Connection {
    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
    /// A second answer to the last request is still to be sent.
    bool owesSecondAnswer{false};
};

/// A request that waits for a slot.
struct Waiting {
    boost::asio::steady_timer timer;
    bool isStarted{false};
    bool isCancelled{false};
};

struct Incoming {
    boost::beast::http::verb method{boost::beast::http::verb::unknown};
    std::string target;
    std::string path;
    std::string key;
    std::string requestId;
    std::string nonce;
    std::string crashMarker;
    std::optional<Core::TimePoint> deadline;
    bool keepsAlive{true};
    std::uint64_t bodyBytes{0};
    std::string bodyDigest;
};

struct Answer {
    unsigned status{0};
    std::string headers;
    Body body;
};

/// One server with its slots, queue, cold start and faults. Everything runs on the io_context's one thread.
class Target
{
public:
    Target(boost::asio::io_context &context, const Network::Endpoint &endpoint, std::uint64_t seed, History &history);

    const Network::Endpoint &endpoint() const;
    nlohmann::json counters() const;
    /// Sets conditions; the commands "cold", "restart" and "crash" take effect at once.
    void control(nlohmann::json json);

private:
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(std::shared_ptr<Connection> connection);
    boost::asio::awaitable<std::optional<Incoming>> readRequest(Connection &connection);
    boost::asio::awaitable<std::optional<Answer>> answerTo(std::shared_ptr<Connection> connection, const Incoming &incoming);
    boost::asio::awaitable<std::optional<Answer>> run(const Incoming &incoming);
    boost::asio::awaitable<void> waitForSlot(std::shared_ptr<Connection> connection, std::shared_ptr<Waiting> waiting);
    boost::asio::awaitable<Answer> finish(const Incoming &incoming, std::string runName);
    boost::asio::awaitable<void> writeSecondAnswer(Connection &connection);
    boost::asio::awaitable<bool> write(Connection &connection, const Incoming &incoming, const Answer &answer);
    boost::asio::awaitable<void> thaw();
    boost::asio::awaitable<void> reopen();
    bool happens(double probability);
    void startWaiting();
    void breakDown(const std::string &marker);
    void closeConnections();

    boost::asio::io_context &context;
    Network::Endpoint local;
    History &history;
    Core::Random random;
    TargetState state;
    boost::asio::ip::tcp::acceptor acceptor;
    boost::asio::steady_timer thawing;
    std::set<std::shared_ptr<Connection>> connections;
    std::list<std::shared_ptr<Waiting>> queue;
};

} // namespace Briarbend::StandIns
