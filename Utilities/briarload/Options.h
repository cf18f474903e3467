#pragma once

#include <LibCore/Time.h>
#include <LibLoad/RouteMix.h>
#include <LibNetwork/Endpoint.h>

#include <stdexcept>
#include <string>
#include <vector>

namespace Briarbend::BriarLoad
{

/// How requests are spread over the entry instances.
enum class Spread {
    Random,
    RoundRobin,
};

struct Options {
    std::vector<Network::Endpoint> instances;
    Spread spread{Spread::Random};
    double rate{100};
    std::chrono::duration<double> duration{10};
    std::vector<Load::MixRoute> mix;
    /// Probability that a failed request is sent again, with the same key, to another instance.
    double resubmit{0};
    /// Probability that a request is sent to two instances at once with the same key.
    double duplicate{0};
    /// From the intended send time to the end of the answer.
    std::chrono::milliseconds timeout{5000};
    /// Connections that each thread opens to one instance at most.
    std::size_t connections{256};
    unsigned threads{1};
    std::uint64_t seed{1};
    std::string historyFile;
    bool isJson{false};
    bool isQuiet{false};
};

/// What is wrong with the command line or the mix file.
class OptionsError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Throws OptionsError. Prints the help and ends the process for --help.
Options parseOptions(int argc, const char **argv);

} // namespace Briarbend::BriarLoad
