#include "Arguments.h"

#include <LibDocument/ValueType.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <memory>
#include <popt.h>
#include <ranges>

namespace Briarbend::Briarctl
{

namespace
{

using ContextPointer = std::unique_ptr<poptContext_s, decltype(&poptFreeContext)>;

const CommandDescription &findCommand(std::string_view name)
{
    const auto found = std::ranges::find(commands(), name, &CommandDescription::name);
    if (found == commands().end()) {
        throw UsageError("there is no command \"" + std::string(name) + "\"; `briarctl --help` lists the commands");
    }
    return *found;
}

/// popt's table of a command's options; the value of each is its place in the command's list, from 1.
std::vector<poptOption> poptTable(const CommandDescription &command)
{
    std::vector<poptOption> table;
    for (const auto option : command.options) {
        const auto &description = describe(option);
        const auto type = description.argument.empty() ? POPT_ARG_NONE : POPT_ARG_STRING;
        table.push_back(
            {description.name.data(), '\0', static_cast<unsigned>(type), nullptr, static_cast<int>(table.size()) + 1, nullptr, nullptr});
    }
    table.push_back(POPT_TABLEEND);
    return table;
}

std::vector<Network::Endpoint> parseEndpoints(std::string_view text, std::string_view source)
{
    std::vector<Network::Endpoint> endpoints;
    for (const auto &part : text | std::views::split(',')) {
        const std::string_view item(part.begin(), part.end());
        const auto endpoint = Network::parseEndpoint(item);
        if (!endpoint) {
            throw UsageError(std::string(source) + " holds \"" + std::string(item)
                             + "\", which is no IP number with a port such as 10.0.0.7:8082");
        }
        endpoints.push_back(*endpoint);
    }
    return endpoints;
}

std::vector<Network::Endpoint> endpointsFromEnvironment(const char *name)
{
    const char *value = std::getenv(name);
    return value == nullptr || *value == '\0' ? std::vector<Network::Endpoint>{} : parseEndpoints(value, name);
}

Store::Version parseVersion(std::string_view text)
{
    Store::Version version = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), version);
    if (parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size() || version == 0) {
        throw UsageError("--based-on holds \"" + std::string(text) + "\", which is no version; `briarctl show` prints versions");
    }
    return version;
}

Core::TeamName parseTeam(const std::string &text)
{
    if (!Document::isName(text)) {
        throw UsageError("--team holds \"" + text + "\"; names have 1 to 63 characters from a-z, 0-9 and -");
    }
    return {text};
}

std::chrono::milliseconds parseTimeout(std::string_view text)
{
    const auto duration = Document::parseDuration(text);
    if (!duration) {
        throw UsageError("--timeout holds \"" + std::string(text) + "\", which is no duration such as 500ms or 10s");
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(*duration);
}

void take(Arguments &arguments, Option option, const std::string &value)
{
    switch (option) {
    case Option::BasedOn:
        arguments.basedOn = parseVersion(value);
        break;
    case Option::Help:
        arguments.wantsHelp = true;
        break;
    case Option::InForce:
        arguments.inForce = value;
        break;
    case Option::Instances:
        arguments.instances = parseEndpoints(value, "--instances");
        break;
    case Option::Json:
        arguments.wantsJson = true;
        break;
    case Option::Replace:
        arguments.isReplacing = true;
        break;
    case Option::Request:
        arguments.request = value;
        break;
    case Option::Settings:
        arguments.isForSettings = true;
        break;
    case Option::Store:
        arguments.store = parseEndpoints(value, "--store");
        break;
    case Option::Team:
        arguments.team = parseTeam(value);
        break;
    case Option::Timeout:
        arguments.timeout = parseTimeout(value);
        break;
    case Option::Wait:
        arguments.isWaiting = true;
        break;
    case Option::Watch:
        arguments.isWatching = true;
        break;
    case Option::Worst:
        arguments.wantsWorst = true;
        break;
    }
}

bool has(const CommandDescription &command, Option option)
{
    return std::ranges::find(command.options, option) != command.options.end();
}

/// Checks what the options of a command need of each other and of the environment.
void checkNeeds(const CommandDescription &command, const Arguments &arguments)
{
    const auto name = std::string(command.name);
    const bool isEdit = has(command, Option::Wait);
    if (arguments.positional.size() < command.minimumArguments || arguments.positional.size() > command.maximumArguments) {
        throw UsageError(name + " takes " + (command.arguments.empty() ? "no arguments" : std::string(command.arguments))
                         + "; see `briarctl " + name + " --help`");
    }
    if (isEdit && !arguments.team) {
        throw UsageError(name + " needs --team TEAM, the team whose section it edits");
    }
    if (has(command, Option::Store) && arguments.store.empty()) {
        throw UsageError(name + " needs the store's address: --store ADDRESS or BRIARBEND_STORE in the environment");
    }
    const bool needsInstances = command.command == Command::Dump || arguments.isWaiting;
    if (needsInstances && arguments.instances.empty()) {
        throw UsageError(name + (arguments.isWaiting ? " --wait" : "")
                         + " needs the instances' operator addresses: --instances ADDRESS,... or BRIARBEND_INSTANCES in the environment");
    }
    if (command.command == Command::Explain && arguments.wantsWorst == arguments.request.has_value()) {
        throw UsageError(name + " needs either --request ID or --worst");
    }
    if (arguments.inForce && (arguments.positional.size() != 1 || arguments.isForSettings)) {
        throw UsageError("--in-force compares with one document of the platform, and no settings");
    }
    if (arguments.isReplacing && arguments.basedOn) {
        throw UsageError("--replace and --based-on exclude each other");
    }
}

} // namespace

Arguments parseArguments(int count, const char **values)
{
    Arguments arguments;
    if (count < 2) {
        throw UsageError("there is no command; `briarctl --help` lists the commands");
    }
    if (std::string_view(values[1]) == "--help") {
        arguments.wantsHelp = true;
        return arguments;
    }
    const auto &command = findCommand(values[1]);
    arguments.command = command.command;
    const auto table = poptTable(command);
    const ContextPointer context(poptGetContext("briarctl", count - 1, values + 1, table.data(), 0), poptFreeContext);
    int code = 0;
    while ((code = poptGetNextOpt(context.get())) > 0) {
        const std::unique_ptr<char, decltype(&std::free)> value(poptGetOptArg(context.get()), std::free);
        take(arguments, command.options.at(static_cast<std::size_t>(code) - 1), value ? value.get() : "");
    }
    if (code < -1) {
        throw UsageError(std::string(poptBadOption(context.get(), POPT_BADOPTION_NOALIAS)) + ": " + poptStrerror(code) + "; see `briarctl "
                         + std::string(command.name) + " --help`");
    }
    while (const char *argument = poptGetArg(context.get())) {
        arguments.positional.emplace_back(argument);
    }
    if (arguments.store.empty()) {
        arguments.store = endpointsFromEnvironment("BRIARBEND_STORE");
    }
    if (arguments.instances.empty()) {
        arguments.instances = endpointsFromEnvironment("BRIARBEND_INSTANCES");
    }
    if (!arguments.wantsHelp) {
        checkNeeds(command, arguments);
    }
    return arguments;
}

} // namespace Briarbend::Briarctl
