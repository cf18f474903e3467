#include <LibNetwork/HttpServer.h>
#include <Tests/StandIns/Common/JsonResponse.h>
#include <Tests/StandIns/Common/Process.h>
#include <Tests/StandIns/Target/Target.h>

#include <ranges>

namespace
{

using namespace Briarbend;
using Targets = std::vector<std::unique_ptr<StandIns::Target>>;

std::int64_t nanoseconds(Core::TimePoint time)
{
    return time.time_since_epoch() / std::chrono::nanoseconds(1);
}

std::string lineOf(const StandIns::Run &run)
{
    const nlohmann::json json{{"target", run.target},
                              {"start", run.start},
                              {"key", run.key},
                              {"request_id", run.requestId},
                              {"path", run.path},
                              {"begin_ns", nanoseconds(run.begin)},
                              {"end_ns", run.end ? nanoseconds(*run.end) : 0},
                              {"status", run.status}};
    return json.dump() + "\n";
}

/// The runs from index `from`, at most `limit` of them, one JSON object a line.
Network::Response historyAnswer(const StandIns::History &history, std::string_view target)
{
    const auto number = [target](std::string_view name, std::size_t otherwise) {
        const auto text = Network::queryParameter(target, name);
        return text.empty() ? otherwise : std::stoull(text);
    };
    std::string lines;
    for (const auto &run : history.runs | std::views::drop(number("from", 0)) | std::views::take(number("limit", history.runs.size()))) {
        lines += lineOf(run);
    }
    return Network::makeResponse(Network::Http::status::ok, "application/jsonl", std::move(lines));
}

void control(const Targets &targets, StandIns::History &history, nlohmann::json json)
{
    const auto name = json.value("target", std::string("*"));
    json.erase("target");
    if (json.contains("history")) {
        const auto mode = json.at("history").get<std::string>();
        history.mode = mode == "all" ? StandIns::HistoryMode::All
            : mode == "keys"         ? StandIns::HistoryMode::Keys
                                     : StandIns::HistoryMode::None;
        json.erase("history");
    }
    auto chosen = targets | std::views::filter([&name](const auto &target) {
                      return name == "*" || target->endpoint().text() == name;
                  });
    if (chosen.empty()) {
        throw Network::HttpError(Network::Http::status::not_found, "no target " + name);
    }
    std::ranges::for_each(chosen, [&json](const auto &target) {
        target->control(json);
    });
}

Network::Response answer(const Targets &targets, StandIns::History &history, const Network::Request &request)
{
    const auto path = Network::pathOf(request.target());
    if (path == "/control/history") {
        return historyAnswer(history, request.target());
    }
    auto result = nlohmann::json::array();
    if (path == "/control/counters") {
        std::ranges::transform(targets, std::back_inserter(result), [](const auto &target) {
            return target->counters();
        });
    } else {
        control(targets, history, nlohmann::json::parse(request.body()));
    }
    return StandIns::makeJsonResponse(result);
}

void run(int argc, const char **argv)
{
    // popt's copies last as long as the process.
    static const char *listen = "127.0.0.1:0";
    static const char *controlListen = "127.0.0.1:0";
    static const char *service = "pattern";
    static const char *dataCentre = "sfax-1";
    static const char *version = "v1";
    int count = 1;
    int isCold = 0;
    long long seed = 1;
    const poptOption options[]
        = {{"listen", 0, POPT_ARG_STRING, static_cast<void *>(&listen), 0, "IP number and first port; port 0 takes free ones", "IP:PORT"},
           {"control", 0, POPT_ARG_STRING, static_cast<void *>(&controlListen), 0, "IP number and port of the control endpoint", "IP:PORT"},
           {"count", 0, POPT_ARG_INT, &count, 0, "number of targets", "N"},
           {"service", 0, POPT_ARG_STRING, static_cast<void *>(&service), 0, "service of all targets", "NAME"},
           {"data-centre", 0, POPT_ARG_STRING, static_cast<void *>(&dataCentre), 0, "data centre of all targets", "NAME"},
           {"version", 0, POPT_ARG_STRING, static_cast<void *>(&version), 0, "version of all targets", "NAME"},
           {"cold", 0, POPT_ARG_NONE, &isCold, 0, "begin with a cold start", nullptr},
           {"seed", 0, POPT_ARG_LONGLONG, &seed, 0, "seed of service times and faults", "N"},
           POPT_AUTOHELP POPT_TABLEEND};
    StandIns::parseCommandLine(argc, argv, options);
    boost::asio::io_context context(1);
    StandIns::History history;
    Targets targets;
    auto endpoint = StandIns::requireEndpoint(listen);
    auto names = nlohmann::json::array();
    for (int index = 0; index < count; ++index) {
        targets.push_back(std::make_unique<StandIns::Target>(context, endpoint, static_cast<std::uint64_t>(seed + index), history));
        if (isCold != 0) {
            targets.back()->control({{"cold", true}});
        }
        names.push_back(targets.back()->endpoint().text());
        endpoint.port = static_cast<std::uint16_t>(endpoint.port == 0 ? 0 : endpoint.port + 1);
    }
    const Network::HttpServer server(
        context, StandIns::requireEndpoint(controlListen), [&](Network::Request request) -> boost::asio::awaitable<Network::Response> {
            co_return answer(targets, history, request);
        });
    StandIns::announceAndRun(context,
                             {{"listening", names.at(0)},
                              {"targets", names},
                              {"control", server.endpoint().text()},
                              {"service", service},
                              {"data_centre", dataCentre},
                              {"version", version}});
}

} // namespace

int main(int argc, const char **argv)
{
    try {
        run(argc, argv);
        return 0;
    } catch (const std::exception &error) {
        std::cerr << "standin_target: " << error.what() << '\n';
        return 1;
    }
}
