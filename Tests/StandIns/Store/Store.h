#pragma once

#include <LibCore/Random.h>
#include <LibCore/Time.h>
#include <LibNetwork/Http.h>
#include <Tests/StandIns/Common/SlidingWindow.h>

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace Briarbend::StandIns
{

enum class CallKind {
    Read,
    Write,
    Watch,
    List,
    Instances,
};

constexpr std::array<const char *, 5> CALL_KIND_NAMES{"read", "write", "watch", "list", "instances"};

/// The content of an object after one change. No body means deleted.
struct ObjectState {
    std::optional<std::string> body;
    std::uint64_t version{0};
};

/// A value together with the time until which it was the current one.
template<typename Value>
struct Superseded {
    Core::TimePoint until;
    Value value;
};

/// A value whose earlier states are kept for reads that lag.
template<typename Value>
struct Lagging {
    Value current;
    std::deque<Superseded<Value>> past;

    void replace(Value value, Core::TimePoint now, Core::Duration longestLag)
    {
        this->at(now - longestLag);
        this->past.push_back({now, std::move(this->current)});
        this->current = std::move(value);
    }

    /// The value as it was at the given time.
    const Value &at(Core::TimePoint time)
    {
        while (!this->past.empty() && this->past.front().until <= time) {
            this->past.pop_front();
        }
        return this->past.empty() ? this->current : this->past.front().value;
    }
};

struct StoreConditions {
    /// Objects give no answer: the connection is closed, or 503 where outage_status is set.
    bool outage{false};
    /// The same for the instance list.
    bool listOutage{false};
    bool outageStatus{false};
    std::int64_t delayMilliseconds{0};
    /// Probability that a write takes effect and its answer is lost.
    double loseAnswers{0};
    std::int64_t staleMilliseconds{0};
    bool staleObjects{false};
    /// Calls in any second, above which 429 is answered. Zero means no limit.
    std::size_t writeLimit{0};
    std::size_t readLimit{0};
};

struct Watcher {
    std::string key;
    bool isPrefix;
    boost::asio::steady_timer timer;
};

/// The platform's object store and instance list.
class Store
{
public:
    explicit Store(std::uint64_t seed);

    boost::asio::awaitable<Network::Response> handle(Network::Request request);

private:
    boost::asio::awaitable<Network::Response> read(const Network::Request &request, std::string key);
    boost::asio::awaitable<Network::Response> list(const Network::Request &request);
    Network::Response write(const Network::Request &request, const std::string &key);
    Network::Response instances();
    Network::Response control(const Network::Request &request);
    void applyControl(const nlohmann::json &json);
    nlohmann::json calls() const;
    bool admit(CallKind kind);
    std::chrono::milliseconds lag() const;
    void failInOutage(bool isOut) const;
    ObjectState stateOf(const std::string &key);
    nlohmann::json objectsBelow(const std::string &prefix) const;
    bool hasChangeBelow(const std::string &prefix, std::uint64_t after) const;
    boost::asio::awaitable<void> waitForChange(const std::string &key, bool isPrefix, Core::TimePoint end);
    void wakeWatchers(const std::string &key);

    Core::Random random;
    StoreConditions conditions;
    std::map<std::string, Lagging<ObjectState>> objects;
    std::uint64_t revision{0};
    Lagging<nlohmann::json> instanceList{nlohmann::json::array(), {}};
    std::list<Watcher> watchers;
    std::array<SlidingWindow, CALL_KIND_NAMES.size()> windows;
    SlidingWindow reads;
    std::size_t refusedCalls{0};
};

} // namespace Briarbend::StandIns
