#pragma once

#include <Tests/Processes/Support/Process.h>
#include <Tests/Soak/Callers.h>
#include <Tests/Soak/FaultProxy.h>
#include <Tests/Soak/SoakStore.h>
#include <Tests/Soak/SoakTarget.h>
#include <Tests/Soak/Timeline.h>

#include <boost/asio/steady_timer.hpp>
#include <filesystem>
#include <memory>
#include <set>

namespace Briarbend::Soak
{

struct WorldSize {
    std::size_t instances{4};
    std::size_t targetsPerDataCentre{4};
    std::size_t callersPerInstance{6};
};

/// Instances as processes, the store and targets behind links that can be harmed, and callers.
class World
{
public:
    World(boost::asio::io_context &context, WorldSize size, std::uint64_t seed);
    World(const World &) = delete;
    World &operator=(const World &) = delete;
    ~World();

    /// Plays the faults and gives what was broken. Throws std::runtime_error where an instance does not start.
    boost::asio::awaitable<std::vector<std::string>> play(std::vector<Fault> faults, std::chrono::milliseconds length);
    std::string summary() const;

private:
    struct Target {
        std::unique_ptr<SoakTarget> target;
        std::unique_ptr<FaultProxy> link;
        std::string dataCentre;
        bool isLeaving{false};
        /// It has left, and its entry was removed.
        bool isGone{false};
    };

    struct EntryInstance {
        std::filesystem::path settings;
        Network::Endpoint readyEndpoint;
        std::optional<Processes::Process> process;
        std::unique_ptr<Callers> callers;
        /// A fault has the process in its hands.
        bool isTaken{false};
    };

    void writeSettings(std::size_t number, const std::vector<Network::Endpoint> &seeds, const Network::Endpoint &callers);
    void startInstance(EntryInstance &instance);
    boost::asio::awaitable<void> waitUntilReady();
    void publishTarget(const Target &target);
    /// Publishes a new version of the configuration.
    void publishConfiguration();
    /// Writes the present version to the store.
    void putConfiguration();
    boost::asio::awaitable<void> inject(Fault fault);
    boost::asio::awaitable<void> harmInstance(Fault fault);
    /// Ends all instances that no other fault has in its hands, at once.
    boost::asio::awaitable<void> killAllInstances();
    boost::asio::awaitable<void> harmStore(Fault fault);
    /// The store loses what was written for some time, and is gone shortly. What was lost is written again.
    boost::asio::awaitable<void> restoreStore(Fault fault);
    boost::asio::awaitable<void> harmLink(Fault fault);
    boost::asio::awaitable<void> harmTarget(Fault fault);
    boost::asio::awaitable<void> letLeave(Target &target);
    /// The target says that it leaves in its answers only.
    boost::asio::awaitable<void> letLeaveUnlisted(Target &target);
    boost::asio::awaitable<void> limitTarget(SoakTarget &target, Fault fault);
    boost::asio::awaitable<void> addRoute();
    boost::asio::awaitable<void> takeOut(Fault fault);
    boost::asio::awaitable<void> pause(std::chrono::milliseconds duration);

    boost::asio::io_context &context;
    WorldSize size;
    std::filesystem::path folder;
    Ledger ledger;
    SoakStore store;
    FaultProxy storeLink;
    std::vector<Target> targets;
    std::vector<EntryInstance> instances;
    std::uint64_t version{0};
    std::vector<std::string> addedRoutes;
    std::set<std::string> dataCentresOut;
    bool isRestoring{false};
    std::size_t faultsUnderWay{0};
};

} // namespace Briarbend::Soak
