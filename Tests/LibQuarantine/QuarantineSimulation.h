#pragma once

#include <LibCore/Random.h>
#include <LibQuarantine/Quarantine.h>

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace Briarbend::Quarantine
{

/// Thirteen instances and twelve targets in virtual time. Some requests break the targets that run them; their callers send them
/// again, through any instance, as soon as they have an answer.
class QuarantineSimulation
{
public:
    explicit QuarantineSimulation(std::uint64_t seed, bool isProtected = true);

    /// Sends this request again and again, from the given time to the end. Culprits break each target that runs them.
    void addCaller(std::uint64_t request, bool isPoison, std::chrono::milliseconds pause, std::chrono::milliseconds from = {});
    /// Breaks targets at a time, whatever they run.
    void crashTargetsAt(std::chrono::milliseconds time, const std::vector<std::size_t> &crashing);
    /// Stops instances from answering peers within a span of time.
    void freezeAt(std::chrono::milliseconds time, std::size_t instance, std::chrono::milliseconds duration);
    void runUntil(std::chrono::milliseconds time);

    std::size_t crashesCausedBy(std::uint64_t request) const;
    /// Answers with a quarantine, and answers in full, to this request.
    std::size_t refusals(std::uint64_t request) const;
    std::size_t responses(std::uint64_t request) const;

    static constexpr std::size_t INSTANCES = 13;
    static constexpr std::size_t TARGETS = 12;

private:
    using Action = std::function<void()>;

    struct Submission {
        std::uint64_t request;
        std::size_t instance;
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

    void submit(std::uint64_t request, std::size_t instance, std::function<void()> done);
    void attempt(const Submission &submission);
    void announce(const Submission &submission);
    void send(const Submission &submission, std::size_t target, bool isTrial);
    void onLost(const Submission &submission, std::size_t target, const Core::TargetStartId &start, bool isTrial);
    void crashTarget(std::size_t target);
    void detectLostStart(std::size_t instance, const Core::TargetStartId &start);
    /// Ends the submission's trial, if it was one, and pushes what is known.
    void broadcastOutcome(const Submission &submission, const Reports &reports, bool isTrial, Action then);
    /// Delivers to all peers and goes on when they have acknowledged or their time has passed.
    void broadcast(std::size_t from, const std::function<void(QuarantineState &)> &deliver, Action then);

    Core::Random random;
    bool isProtected;
    Core::TimePoint now{std::chrono::hours{1}};
    std::multimap<Core::TimePoint, Action> events;
    std::vector<QuarantineState> states;
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
