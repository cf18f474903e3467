#pragma once

#include <LibNetwork/Endpoint.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>
#include <nlohmann/json.hpp>
#include <popt.h>
#include <stdexcept>
#include <string>

namespace Briarbend::StandIns
{

/// Fills the variables that the popt table points at. Throws std::invalid_argument for anything else on the command line.
inline void parseCommandLine(int argc, const char **argv, const poptOption *options)
{
    auto *context = poptGetContext(nullptr, argc, argv, options, 0);
    const int result = poptGetNextOpt(context);
    const std::string bad = result < -1 ? std::string(poptBadOption(context, 0)) + ": " + poptStrerror(result) : "";
    const bool hasRest = poptPeekArg(context) != nullptr;
    poptFreeContext(context);
    if (!bad.empty() || hasRest) {
        throw std::invalid_argument(bad.empty() ? "unexpected argument" : bad);
    }
}

inline Network::Endpoint requireEndpoint(const char *text)
{
    const auto endpoint = Network::parseEndpoint(text);
    if (!endpoint) {
        throw std::invalid_argument(std::string(text) + " is not an IP number and a port");
    }
    return *endpoint;
}

/// Prints the ready line and runs until SIGTERM or SIGINT.
inline void announceAndRun(boost::asio::io_context &context, const nlohmann::json &readyLine)
{
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const boost::system::error_code &, int) {
        context.stop();
    });
    std::cout << readyLine.dump() << std::endl;
    context.run();
}

} // namespace Briarbend::StandIns
