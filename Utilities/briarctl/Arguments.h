#pragma once

#include "CommandTable.h"

#include <LibCore/Identifiers.h>
#include <LibNetwork/Endpoint.h>
#include <LibStore/ObjectStore.h>

#include <chrono>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace Briarbend::Briarctl
{

/// The command line can not be understood; what() says what to do instead.
class UsageError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// A checked command line, completed from the environment.
struct Arguments {
    /// Nothing where only general help is asked for.
    std::optional<Command> command;
    std::vector<std::string> positional;
    bool wantsHelp{false};
    bool wantsJson{false};
    bool isReplacing{false};
    bool isForSettings{false};
    bool isWaiting{false};
    bool isWatching{false};
    bool wantsWorst{false};
    std::optional<std::string> request;
    /// File with the version in force.
    std::optional<std::string> inForce;
    std::optional<Store::Version> basedOn;
    std::vector<Network::Endpoint> store;
    std::vector<Network::Endpoint> instances;
    std::optional<Core::TeamName> team;
    std::chrono::milliseconds timeout{10000};
};

/// Throws UsageError.
Arguments parseArguments(int count, const char **values);

} // namespace Briarbend::Briarctl
