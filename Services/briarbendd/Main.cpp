#include "Daemon.h"

#include <LibCore/Random.h>
#include <LibDocument/DocumentProblem.h>
#include <LibLog/Log.h>
#include <LibSettings/SettingsFile.h>

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <popt.h>

namespace
{

/// The name of the settings file from the command line; ends the process where the line is wrong.
std::string settingsFileFrom(int argumentCount, const char **arguments)
{
    char *file = nullptr;
    const std::array<poptOption, 3> options{{
        {"settings", 's', POPT_ARG_STRING, static_cast<void *>(&file), 0, "read the settings from this TOML file", "FILE"},
        POPT_AUTOHELP POPT_TABLEEND,
    }};
    auto *context = poptGetContext("briarbendd", argumentCount, arguments, options.data(), 0);
    const int status = poptGetNextOpt(context);
    if (status < -1 || file == nullptr) {
        std::cerr << "briarbendd: " << (status < -1 ? poptStrerror(status) : "--settings FILE is needed") << "\n";
        poptFreeContext(context);
        std::exit(EXIT_FAILURE);
    }
    std::string name(file);
    std::free(file);
    poptFreeContext(context);
    return name;
}

int run(Briarbend::Settings::Settings settings)
{
    Briarbend::Log::configure(settings.instance.logLevel);
    // A caller or target that closes its connection must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    boost::asio::io_context context(1);
    Briarbend::Daemon::Daemon daemon(context, std::move(settings), Briarbend::Core::deviceSeed());
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&daemon, &context](const boost::system::error_code &error, int) {
        if (!error) {
            daemon.beginStop([&context] {
                context.stop();
            });
        }
    });
    std::cout << daemon.listeningLine() << std::endl;
    context.run();
    std::cout.flush();
    // Connections that are still open hold references into the daemon. The operating system takes both back at once, where destructors
    // would have to be put in order.
    std::quick_exit(EXIT_SUCCESS);
}

} // namespace

int main(int argumentCount, char **arguments)
{
    try {
        const auto file = settingsFileFrom(argumentCount, const_cast<const char **>(arguments));
        return run(Briarbend::Settings::loadSettings(file));
    } catch (const Briarbend::Document::DocumentError &error) {
        std::cerr << error.what() << "\n";
        return Briarbend::Settings::EXIT_CODE_BAD_SETTINGS;
    } catch (const std::exception &error) {
        std::cerr << "briarbendd: " << error.what() << "\n";
        return EXIT_FAILURE;
    }
}
