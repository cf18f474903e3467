#pragma once

#include <LibCore/Random.h>
#include <LibQuarantine/Quarantine.h>
#include <LibQuarantine/Record.h>

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace Briarbend::Quarantine
{

/// Simulates thirteen instances and twelve targets in virtual time. Poison requests crash the targets that run them. Callers send their
/// requests again, through any instance, as soon as they get a response.
class QuarantineSimulation
{
public:
    explicit QuarantineSimulation(std::uint64_t seed, bool isProtected = true);

    /// Sends this request repeatedly, from the given time to the end. Poison requests crash each target that runs them.
    void addCaller(std::uint64_t request, bool isPoison, std::chrono::milliseconds pause, std::chrono::milliseconds from = {});
    /// Crashes targets at the given time, whatever they run.
    void crashTargetsAt(std::chrono::milliseconds time, const std::vector<std::size_t> &crashing);
    /// Stops an instance from responding to peers for a span of time.
    void freezeAt(std::chrono::milliseconds time, std::size_t instance, std::chrono::milliseconds duration);
    /// Ends all instances at the given time. The new ones know what the store shows them.
    void replaceAllAt(std::chrono::milliseconds time);
    /// The store does not respond for a span of time.
    void takeStoreAwayAt(std::chrono::milliseconds time, std::chrono::milliseconds duration);
    void runUntil(std::chrono::milliseconds time);

    std::size_t crashesCausedBy(std::uint64_t request) const;
    /// Responses with a quarantine refusal, and successful responses, to this request.
    std::size_t refusals(std::uint64_t request) const;
    std::size_t responses(std::uint64_t request) const;

    static constexpr std::size_t INSTANCES = 13;
    static constexpr std::size_t TARGETS = 12;

private:
    using Action = std::function<void()>;

    struct Submission {
        std::uint64_t request;
        std::size_t instance;
        std::size_t generation;
        Core::TimePoint deadline;
        std::function<void()> done;
    };
    struct Target {
        std::uint32_t start{0};
        bool isUp{true};
        std::map<std::uint64_t, Action> crashHandlers;
    };

    void schedule(Core::Duration delay, Action action);
    /// Constant for a pair of instances, so that messages between them stay in order.
    static Core::Duration messageDelay(std::size_t from, std::size_t to);
    Core::TargetStartId startOf(std::size_t target) const;
    static Fingerprint fingerprintOfNumber(std::uint64_t request);

    /// Ends a submission whose instance has ended: its caller sends the request again.
    bool endStale(const Submission &submission);
    Core::WallTime wallNow() const;
    bool isStoreAway() const;
    void keepRecord();
    void readRecord(std::size_t instance, std::size_t ofGeneration);

    void submit(std::uint64_t request, std::size_t instance, std::function<void()> done);
    void attempt(const Submission &submission);
    void announce(const Submission &submission);
    void send(const Submission &submission, std::size_t target, bool isTrial);
    void onLost(const Submission &submission, std::size_t target, const Core::TargetStartId &start, bool isTrial);
    void crashTarget(std::size_t target);
    void detectLostStart(std::size_t instance, const Core::TargetStartId &start);
    /// Ends the submission's trial, if it was one, and sends the reports to all peers.
    void broadcastOutcome(const Submission &submission, const Reports &reports, bool isTrial, Action then);
    /// Delivers to all peers and continues when they have acknowledged or the acknowledgement limit has passed.
    void broadcast(std::size_t from, const std::function<void(QuarantineState &)> &deliver, Action then);

    Core::Random random;
    bool isProtected;
    Core::TimePoint now{std::chrono::hours{1}};
    std::multimap<Core::TimePoint, Action> events;
    std::vector<QuarantineState> states;
    /// How often all instances were replaced.
    std::size_t generation{0};
    Record stored;
    Core::TimePoint storeAwayUntil;
    std::vector<Core::InstanceId> names;
    std::vector<Core::TimePoint> frozenUntil;
    std::vector<Target> targets;
    std::uint64_t nextRun{0};
    std::set<std::uint64_t> poisonRequests;
    std::map<std::uint64_t, std::size_t> crashesOfRequest;
    std::map<std::uint64_t, std::size_t> refusalsOfRequest;
    std::map<std::uint64_t, std::size_t> responsesToRequest;
};

} // namespace Briarbend::Quarantine
