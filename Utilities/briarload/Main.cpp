#include "Generator.h"
#include "Options.h"

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sysexits.h>
#include <thread>

namespace
{

using namespace Briarbend;
using Generators = std::vector<std::unique_ptr<BriarLoad::Generator>>;

constexpr int EXIT_UNANSWERED = 1;
constexpr int EXIT_WRONG_ANSWERS = 2;
constexpr std::chrono::seconds PROGRESS_INTERVAL{1};

std::uint64_t sum(const Generators &generators, std::atomic<std::uint64_t> BriarLoad::Progress::*counter)
{
    std::uint64_t total = 0;
    for (const auto &generator : generators) {
        total += (generator->progress().*counter).load(std::memory_order_relaxed);
    }
    return total;
}

void printProgress(const Generators &generators, Core::Duration elapsed)
{
    std::cerr << std::chrono::round<std::chrono::seconds>(elapsed).count() << " s: sent " << sum(generators, &BriarLoad::Progress::sent)
              << ", answered " << sum(generators, &BriarLoad::Progress::answered) << ", failed "
              << sum(generators, &BriarLoad::Progress::failed) << '\n';
}

std::vector<Load::Tally> mergedRoutes(const Generators &generators, std::size_t routes)
{
    std::vector<Load::Tally> merged(routes);
    for (const auto &generator : generators) {
        for (std::size_t index = 0; index < routes; ++index) {
            Load::merge(merged[index], generator->tallies()[index]);
        }
    }
    return merged;
}

void printResult(const BriarLoad::Options &options, const std::vector<Load::Tally> &routes, const Load::Tally &all, Core::Duration elapsed)
{
    if (!options.isJson) {
        std::cout << Load::toTable(options.mix, routes, all, elapsed);
        return;
    }
    auto result = Load::toJson(all, elapsed);
    result["seconds"] = std::chrono::duration<double>(elapsed).count();
    result["routes"] = nlohmann::json::array();
    for (std::size_t index = 0; index < routes.size(); ++index) {
        auto route = Load::toJson(routes[index], elapsed);
        route["method"] = options.mix[index].method;
        route["path"] = options.mix[index].path;
        result["routes"].push_back(std::move(route));
    }
    std::cout << result.dump() << '\n';
}

int exitCode(const Load::Tally &all)
{
    if (Load::count(all, Load::Outcome::WrongAnswer) > 0) {
        return EXIT_WRONG_ANSWERS;
    }
    return Load::count(all, Load::Outcome::Answered) == Load::attempts(all) ? EX_OK : EXIT_UNANSWERED;
}

int run(const BriarLoad::Options &options)
{
    BriarLoad::HistoryFile history(options.historyFile);
    const auto begin = Core::Clock::now();
    // Keys of two runs must differ, also where the seed is the same: the claims of the first may still be in the store.
    const auto name = "load-" + std::to_string(begin.time_since_epoch() / std::chrono::microseconds(1));
    Generators generators;
    for (unsigned index = 0; index < options.threads; ++index) {
        generators.push_back(
            std::make_unique<BriarLoad::Generator>(options, name + "-" + std::to_string(index), options.seed + index, history));
    }
    boost::asio::signal_set signals(generators.front()->ioContext(), SIGINT, SIGTERM);
    signals.async_wait([&generators](const boost::system::error_code &error, int) {
        if (!error) {
            std::ranges::for_each(generators, [](const auto &generator) {
                generator->stop();
            });
        }
    });
    Network::AsioTimerService timers(generators.front()->ioContext());
    const auto progress = timers.every(PROGRESS_INTERVAL, [&](Core::TimePoint now) {
        if (!options.isQuiet) {
            printProgress(generators, now - begin);
        }
    });
    std::vector<std::jthread> threads;
    for (const auto &generator : generators) {
        threads.emplace_back([&generator, begin] {
            generator->run(begin);
        });
    }
    threads.clear();
    history.finish();
    const auto routes = mergedRoutes(generators, options.mix.size());
    Load::Tally all;
    std::ranges::for_each(routes, [&all](const Load::Tally &route) {
        Load::merge(all, route);
    });
    printResult(options, routes, all, Core::Clock::now() - begin);
    return exitCode(all);
}

} // namespace

int main(int argc, const char **argv)
{
    try {
        return run(BriarLoad::parseOptions(argc, argv));
    } catch (const BriarLoad::OptionsError &error) {
        std::cerr << "briarload: " << error.what() << '\n';
        return EX_USAGE;
    } catch (const std::exception &error) {
        std::cerr << "briarload: " << error.what() << '\n';
        return EX_IOERR;
    }
}
