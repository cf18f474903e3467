#pragma once

#include "Connection.h"
#include "HistoryFile.h"
#include "Options.h"

#include <LibCore/Random.h>
#include <LibLoad/ArrivalSchedule.h>
#include <LibLoad/Tally.h>
#include <LibNetwork/AsioTimerService.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Briarbend::BriarLoad
{

/// Counters that the progress line reads from another thread.
struct Progress {
    std::atomic<std::uint64_t> sent{0};
    std::atomic<std::uint64_t> answered{0};
    std::atomic<std::uint64_t> failed{0};
};

/// A request that is due, with what its resubmissions share.
struct Job {
    std::size_t route{0};
    std::size_t instance{0};
    Core::TimePoint intended;
    unsigned attempt{1};
    std::string key;
    std::string nonce;
};

/// One thread's share of the load: its own io_context, connections, arrivals and results.
class Generator
{
public:
    /// `name` makes keys and request identifiers differ between threads and runs.
    Generator(const Options &options, std::string name, std::uint64_t seed, HistoryFile &history);

    /// Sends until the end of the duration or until stop(), then waits for the answers that are outstanding.
    void run(Core::TimePoint begin);
    /// Sends no more requests. May be called from another thread.
    void stop();

    const Progress &progress() const;
    /// Results of each route, to be read after run() has returned.
    const std::vector<Load::Tally> &tallies() const;
    boost::asio::io_context &ioContext();

private:
    boost::asio::awaitable<void> send(Core::TimePoint end);
    void launch(Core::TimePoint intended);
    boost::asio::awaitable<void> perform(Job job);
    boost::asio::awaitable<Load::LoadEvent> attempt(const Job &job);
    boost::asio::awaitable<std::shared_ptr<Connection>> acquire(std::size_t instance, Core::TimePoint deadline);
    void release(const std::shared_ptr<Connection> &connection);
    void finish(const Job &job, Load::LoadEvent event);
    void giveUpExpired(Core::TimePoint now);
    std::string headOf(const Job &job) const;
    std::size_t chooseInstance();
    std::size_t otherInstance(std::size_t instance);

    const Options &options;
    std::string name;
    Core::Random random;
    HistoryFile &history;
    boost::asio::io_context context;
    Network::AsioTimerService timers;
    std::unique_ptr<Core::TimerSubscription> sweep;
    Load::ArrivalSchedule schedule;
    std::vector<std::string> bodyChecksums;
    std::vector<std::vector<std::shared_ptr<Connection>>> idle;
    std::vector<std::size_t> open;
    std::set<std::shared_ptr<Connection>> busy;
    std::vector<std::deque<std::shared_ptr<boost::asio::steady_timer>>> waiting;
    std::vector<Load::Tally> results;
    std::string lines;
    Progress counters;
    std::atomic<bool> isStopping{false};
    bool isSending{true};
    std::size_t outstanding{0};
    std::uint64_t requests{0};
    std::size_t nextInstance{0};
};

} // namespace Briarbend::BriarLoad
