#include <Tests/Soak/World.h>

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <popt.h>

namespace
{

using namespace Briarbend;

/// What the command line asks for.
struct Order {
    std::uint64_t seed{0};
    std::chrono::milliseconds length{6000};
    Soak::WorldSize size;
    /// Number of the fault that is left out, to find those that a failure needs; none where negative.
    int without{-1};
};

/// Ends the process where the command line is wrong.
Order parseCommandLine(int argumentCount, const char **arguments)
{
    long seed = 0;
    int seconds = 6;
    int instances = 4;
    Order order;
    const std::array<poptOption, 6> options{{
        {"seed", 0, POPT_ARG_LONG, &seed, 0, "draw the faults from this number; a fresh one where it is 0", "N"},
        {"seconds", 0, POPT_ARG_INT, &seconds, 0, "inject faults for so long", "S"},
        {"instances", 0, POPT_ARG_INT, &instances, 0, "start so many instances", "N"},
        {"without", 0, POPT_ARG_INT, &order.without, 0, "leave out the fault with this number", "N"},
        POPT_AUTOHELP POPT_TABLEEND,
    }};
    auto *context = poptGetContext("fault_soak", argumentCount, arguments, options.data(), 0);
    const int status = poptGetNextOpt(context);
    poptFreeContext(context);
    if (status < -1 || seconds < 1 || instances < 1) {
        std::cerr << "fault_soak: " << (status < -1 ? poptStrerror(status) : "times and numbers must be positive") << "\n";
        std::exit(EXIT_FAILURE);
    }
    order.seed = seed == 0 ? Core::deviceSeed() % 1'000'000'000 : static_cast<std::uint64_t>(seed);
    order.length = std::chrono::seconds(seconds);
    order.size.instances = static_cast<std::size_t>(instances);
    return order;
}

void print(const std::vector<Soak::Fault> &faults)
{
    for (std::size_t number = 0; number < faults.size(); ++number) {
        const auto &fault = faults[number];
        std::cout << "  " << number << ": " << fault.at.count() << " ms, for " << fault.duration.count() << " ms, " << nameOf(fault.kind)
                  << ", subject " << fault.subject << "\n";
    }
}

int run(const Order &order)
{
    auto faults = Soak::drawFaults(order.seed, order.length);
    if (order.without >= 0 && static_cast<std::size_t>(order.without) < faults.size()) {
        faults.erase(faults.begin() + order.without);
    }
    boost::asio::io_context context(1);
    Soak::World world(context, order.size, order.seed);
    std::vector<std::string> broken;
    std::exception_ptr failure;
    boost::asio::co_spawn(
        context, world.play(faults, order.length), [&](const std::exception_ptr &error, std::vector<std::string> brokenPromises) {
            failure = error;
            broken = std::move(brokenPromises);
            context.stop();
        });
    context.run();
    if (failure) {
        std::rethrow_exception(failure);
    }
    std::cout << "seed " << order.seed << ": " << faults.size() << " faults, " << world.summary() << ", " << broken.size()
              << " promises broken\n";
    if (broken.empty()) {
        return EXIT_SUCCESS;
    }
    print(faults);
    std::ranges::for_each(broken, [](const std::string &line) {
        std::cout << "  broken: " << line << "\n";
    });
    return EXIT_FAILURE;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    try {
        return run(parseCommandLine(argumentCount, const_cast<const char **>(arguments)));
    } catch (const std::exception &error) {
        std::cerr << "fault_soak: " << error.what() << "\n";
        return EXIT_FAILURE;
    }
}
