#include "Arguments.h"
#include "Commands.h"

#include <LibConfiguration/ConfigurationKeys.h>
#include <LibDocument/DocumentProblem.h>
#include <LibSettings/SettingsFile.h>
#include <LibStore/HttpObjectStore.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>

namespace Briarbend::Briarctl
{

namespace
{

constexpr std::chrono::seconds STORE_TIMEOUT{2};

boost::asio::awaitable<ExitCode> runCommand(Session &session)
{
    switch (*session.arguments.command) {
    case Command::Apply:
        return apply(session);
    case Command::Show:
        return show(session);
    case Command::Status:
        return status(session);
    case Command::Dump:
        return dump(session);
    default:
        return editDataCentre(session);
    }
}

/// Runs a command that talks to the store or to instances.
ExitCode runOnNetwork(Session &session)
{
    boost::asio::io_context context;
    std::optional<Store::HttpObjectStore> store;
    if (!session.arguments.store.empty()) {
        store.emplace(context.get_executor(), session.arguments.store, STORE_TIMEOUT);
        session.store = &*store;
    }
    auto code = ExitCode::InternalError;
    std::exception_ptr failure;
    boost::asio::co_spawn(context, runCommand(session), [&](const std::exception_ptr &exception, ExitCode result) {
        failure = exception;
        code = result;
    });
    context.run();
    if (failure) {
        std::rethrow_exception(failure);
    }
    return code;
}

ExitCode run(Session &session)
{
    const auto &arguments = session.arguments;
    if (arguments.wantsHelp) {
        session.output << (arguments.command ? commandHelp(describe(*arguments.command)) : generalHelp());
        return ExitCode::Done;
    }
    switch (*arguments.command) {
    case Command::Check:
        return check(session);
    case Command::Explain:
        return explain(session);
    case Command::SettingsReference:
        session.output << Settings::settingsReference();
        return ExitCode::Done;
    case Command::ConfigurationReference:
        session.output << Configuration::configurationReference();
        return ExitCode::Done;
    default:
        return runOnNetwork(session);
    }
}

} // namespace

ExitCode reportUnavailable(Session &session, const std::string &reason)
{
    if (session.arguments.wantsJson) {
        session.output << nlohmann::json{{"result", "unavailable"}, {"reason", reason}}.dump(2) << "\n";
    } else {
        session.problems
            << "unavailable: " << reason
            << "; nothing was changed\nnext: check the address in --store or BRIARBEND_STORE, and try again once the store answers; "
               "what is in force stays in force\n";
    }
    return ExitCode::Unavailable;
}

} // namespace Briarbend::Briarctl

int main(int count, const char **values)
{
    using namespace Briarbend;
    using Briarctl::ExitCode;
    auto code = ExitCode::InternalError;
    try {
        const auto arguments = Briarctl::parseArguments(count, values);
        Briarctl::Session session{.arguments = arguments, .output = std::cout, .problems = std::cerr};
        try {
            code = Briarctl::run(session);
        } catch (const Document::DocumentError &error) {
            Briarctl::printProblems(session, error);
            code = ExitCode::BadDocument;
        }
    } catch (const Briarctl::UsageError &error) {
        std::cerr << "briarctl: " << error.what() << "\n";
        code = ExitCode::Usage;
    } catch (const std::exception &error) {
        std::cerr << "briarctl: internal error: " << error.what() << "\n";
    }
    return static_cast<int>(code);
}
