#include "Options.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <memory>
#include <popt.h>
#include <ranges>

namespace Briarbend::BriarLoad
{

namespace
{

constexpr int ROUTE_OPTION = 1;

/// The values as popt leaves them, before they are checked. popt allocates the texts.
struct RawOptions {
    char *to = nullptr;
    char *spread = nullptr;
    char *mix = nullptr;
    char *history = nullptr;
    double rate = 100;
    double duration = 10;
    double resubmit = 0;
    double duplicate = 0;
    int timeout = 5000;
    int connections = 256;
    int threads = 1;
    long long seed = 1;
    int isJson = 0;
    int isQuiet = 0;

    RawOptions() = default;
    RawOptions(const RawOptions &) = delete;
    RawOptions &operator=(const RawOptions &) = delete;

    ~RawOptions()
    {
        std::ranges::for_each(std::array{this->to, this->spread, this->mix, this->history}, std::free);
    }
};

std::string textOr(const char *text, const char *otherwise)
{
    return text == nullptr ? otherwise : text;
}

void require(bool holds, const std::string &text)
{
    if (!holds) {
        throw OptionsError(text);
    }
}

std::vector<Network::Endpoint> parseInstances(std::string_view list)
{
    std::vector<Network::Endpoint> instances;
    for (const auto &part : list | std::views::split(',')) {
        const std::string_view text(part.begin(), part.end());
        const auto endpoint = Network::parseEndpoint(text);
        require(endpoint.has_value(), "--to: \"" + std::string(text) + "\" is not an IP number and a port");
        instances.push_back(*endpoint);
    }
    require(!instances.empty(), "--to is missing: give one or more entry instances");
    return instances;
}

std::vector<Load::MixRoute> readMix(const std::string &file)
{
    std::ifstream stream(file);
    require(stream.good(), "--mix: can not read " + file);
    const std::string document((std::istreambuf_iterator<char>(stream)), std::istreambuf_iterator<char>());
    return Load::parseMix(document);
}

Options checked(const RawOptions &raw, std::vector<Load::MixRoute> routes)
{
    const auto spread = textOr(raw.spread, "random");
    require(spread == "random" || spread == "round-robin", "--spread: \"" + spread + "\" is not one of random, round-robin");
    require(raw.rate > 0, "--rate must be above zero");
    require(raw.duration > 0, "--duration must be above zero");
    require(raw.timeout > 0, "--timeout must be above zero");
    require(raw.connections > 0, "--connections must be above zero");
    require(raw.threads > 0, "--threads must be above zero");
    require(raw.resubmit >= 0 && raw.resubmit <= 1, "--resubmit must be from 0 to 1");
    require(raw.duplicate >= 0 && raw.duplicate <= 1, "--duplicate must be from 0 to 1");
    if (raw.mix != nullptr) {
        std::ranges::copy(readMix(raw.mix), std::back_inserter(routes));
    }
    if (routes.empty()) {
        routes.push_back({});
    }
    return {.instances = parseInstances(textOr(raw.to, "")),
            .spread = spread == "random" ? Spread::Random : Spread::RoundRobin,
            .rate = raw.rate,
            .duration = std::chrono::duration<double>(raw.duration),
            .mix = std::move(routes),
            .resubmit = raw.resubmit,
            .duplicate = raw.duplicate,
            .timeout = std::chrono::milliseconds(raw.timeout),
            .connections = static_cast<std::size_t>(raw.connections),
            .threads = static_cast<unsigned>(raw.threads),
            .seed = static_cast<std::uint64_t>(raw.seed),
            .historyFile = textOr(raw.history, ""),
            .isJson = raw.isJson != 0,
            .isQuiet = raw.isQuiet != 0};
}

} // namespace

Options parseOptions(int argc, const char **argv)
{
    RawOptions raw;
    const auto text = [](const char *name, char **value, const char *help, const char *argument) {
        return poptOption{name, 0, POPT_ARG_STRING, static_cast<void *>(value), 0, help, argument};
    };
    const auto real = [](const char *name, double *value, const char *help, const char *argument) {
        return poptOption{name, 0, POPT_ARG_DOUBLE | POPT_ARGFLAG_SHOW_DEFAULT, value, 0, help, argument};
    };
    const auto integer = [](const char *name, int *value, const char *help, const char *argument) {
        return poptOption{name, 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, value, 0, help, argument};
    };
    const poptOption table[] = {
        text("to", &raw.to, "entry instances, separated by commas", "IP:PORT,..."),
        text("spread", &raw.spread, "random (default) or round-robin over the instances", "NAME"),
        real("rate", &raw.rate, "requests a second, over all threads", "N"),
        real("duration", &raw.duration, "seconds in which requests are sent", "SECONDS"),
        text("mix", &raw.mix, "TOML file with [[route]] tables: weight, method, path, bytes, once", "FILE"),
        {"route", 0, POPT_ARG_STRING, nullptr, ROUTE_OPTION, "one route of the mix; may be repeated", "WEIGHT,METHOD,PATH[,BYTES][,once]"},
        real("resubmit", &raw.resubmit, "probability that a failed request is sent again with its key to another instance", "P"),
        real("duplicate", &raw.duplicate, "probability that a request goes to two instances at once with the same key", "P"),
        integer("timeout", &raw.timeout, "milliseconds from the intended send time to the end of the answer", "MS"),
        integer("connections", &raw.connections, "connections of one thread to one instance at most", "N"),
        integer("threads", &raw.threads, "threads that send", "N"),
        {"seed", 0, POPT_ARG_LONGLONG | POPT_ARGFLAG_SHOW_DEFAULT, &raw.seed, 0, "seed of arrivals, routes and instances", "N"},
        text("history", &raw.history, "file for one JSON line an attempt", "FILE"),
        {"json", 0, POPT_ARG_NONE, &raw.isJson, 0, "print the result as JSON", nullptr},
        {"quiet", 0, POPT_ARG_NONE, &raw.isQuiet, 0, "no progress line on standard error", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(poptGetContext(nullptr, argc, argv, table, 0),
                                                                             &poptFreeContext);
    poptSetOtherOptionHelp(
        context.get(),
        "--to IP:PORT[,IP:PORT...] [OPTIONS]\n\n"
        "Sends requests at Poisson arrivals that never wait for answers; latency counts from the intended send time.\n"
        "Exit codes: 0 every request was answered, 1 some were not, 2 some got a wrong answer, 64 wrong usage, 74 the history\n"
        "can not be written.\n\n"
        "Example: briarload --to 127.0.0.1:8080 --rate 500 --duration 30 --route 9,GET,/pattern/1,200 --route 1,POST,/dispatch,300,once\n");
    std::vector<Load::MixRoute> routes;
    try {
        int result = 0;
        while ((result = poptGetNextOpt(context.get())) >= 0) {
            if (result == ROUTE_OPTION) {
                const std::unique_ptr<char, decltype(&std::free)> route(poptGetOptArg(context.get()), &std::free);
                routes.push_back(Load::parseMixRoute(route.get()));
            }
        }
        require(result == -1, std::string(poptBadOption(context.get(), 0)) + ": " + poptStrerror(result));
        require(poptPeekArg(context.get()) == nullptr, "unexpected argument");
        return checked(raw, std::move(routes));
    } catch (const std::invalid_argument &error) {
        throw OptionsError(error.what());
    }
}

} // namespace Briarbend::BriarLoad
