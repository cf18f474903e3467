#include "Commands.h"
#include "TextTable.h"

#include <LibOperations/LogStory.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>
#include <ostream>

namespace Briarbend::Briarctl
{

namespace
{

using Json = nlohmann::ordered_json;

/// Requests that `explain --worst` lists: a screen of them.
constexpr std::size_t WORST_REQUESTS = 20;
constexpr std::string_view STANDARD_INPUT{"-"};

Operations::ParsedLog readLogs(const std::vector<std::string> &files)
{
    Operations::ParsedLog log;
    for (const auto &file : files) {
        if (file == STANDARD_INPUT) {
            Operations::append(log, Operations::parseLog(std::cin));
            continue;
        }
        std::ifstream stream(file);
        if (!stream) {
            throw UsageError(file + " can not be read");
        }
        Operations::append(log, Operations::parseLog(stream));
    }
    return log;
}

std::string milliseconds(std::chrono::milliseconds duration)
{
    return std::to_string(duration.count()) + " ms";
}

/// The values as "name=value", without quotes around text.
std::string fieldText(const Json &fields)
{
    std::string text;
    for (const auto &[name, value] : fields.items()) {
        text += (text.empty() ? "" : " ") + name + "=" + (value.is_string() ? value.get<std::string>() : value.dump());
    }
    return text;
}

Json storyJson(const std::vector<Operations::LogLine> &story)
{
    auto lines = Json::array();
    std::ranges::transform(story, std::back_inserter(lines), [](const Operations::LogLine &line) {
        return Json{{"time_ms", line.time.count()}, {"instance", line.instance}, {"what", line.what}, {"fields", line.fields}};
    });
    return lines;
}

void printStory(std::ostream &output, const std::vector<Operations::LogLine> &story, const std::string &request)
{
    const auto first = std::ranges::find(story, request, &Operations::LogLine::request);
    const auto arrival = first->time - std::chrono::milliseconds(first->fields.value("after_ms", 0));
    std::vector<TextRow> rows{{"AFTER", "INSTANCE", "WHAT", "INPUTS AND OUTCOME"}};
    std::ranges::transform(story, std::back_inserter(rows), [arrival](const Operations::LogLine &line) {
        return TextRow{milliseconds(line.time - arrival), line.instance, line.what, fieldText(line.fields)};
    });
    printTable(output, rows);
}

ExitCode explainRequest(Session &session, const Operations::ParsedLog &log)
{
    const auto &request = *session.arguments.request;
    const auto story = Operations::storyOf(log, request);
    if (session.arguments.wantsJson) {
        session.output << Json{{"request", request}, {"story", storyJson(story)}}.dump(2) << "\n";
    } else if (!story.empty()) {
        printStory(session.output, story, request);
    }
    if (story.empty()) {
        session.problems << "no line names request " << request
                         << "\nnext: give the logs of all instances; requests that were served in time are sampled, and the metric "
                            "briarbend_log_lines_dropped_total tells of lines that were dropped\n";
        return ExitCode::NotFound;
    }
    return ExitCode::Done;
}

ExitCode listWorst(Session &session, const Operations::ParsedLog &log)
{
    const auto worst = Operations::worstRequests(log, WORST_REQUESTS);
    auto list = Json::array();
    std::vector<TextRow> rows{{"REQUEST", "STATUS", "TOOK", "ALLOWED", "INSTANCE", "ROUTE", "REASON"}};
    for (const auto &request : worst) {
        list.push_back({{"request", request.request},
                        {"status", request.status},
                        {"took_ms", request.took.count()},
                        {"allowed_ms", request.allowed.count()},
                        {"instance", request.instance},
                        {"route", request.route},
                        {"reason", request.reason}});
        rows.push_back({request.request,
                        std::to_string(request.status),
                        milliseconds(request.took),
                        milliseconds(request.allowed),
                        request.instance,
                        request.route,
                        request.reason});
    }
    if (session.arguments.wantsJson) {
        session.output << Json{{"worst", list}}.dump(2) << "\n";
    } else {
        printTable(session.output, rows);
    }
    return ExitCode::Done;
}

} // namespace

ExitCode explain(Session &session)
{
    const auto log = readLogs(session.arguments.positional);
    if (log.unreadable > 0) {
        session.problems << log.unreadable << " lines are no log lines of a gateway and were left out\n";
    }
    return session.arguments.request ? explainRequest(session, log) : listWorst(session, log);
}

} // namespace Briarbend::Briarctl
