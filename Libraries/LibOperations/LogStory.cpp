#include <LibOperations/LogStory.h>

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <set>
#include <tuple>

namespace Briarbend::Operations
{

namespace
{

using Json = nlohmann::ordered_json;

/// What an instance came to believe this long before a request may explain it: as long as changes take to come into force, and a lease.
constexpr std::chrono::milliseconds STORY_LEAD{4000};

constexpr std::string_view REQUEST_EVENT{"request"};
constexpr std::string_view DECISION_EVENT{"decision"};
constexpr unsigned FIRST_SERVER_ERROR = 500;
constexpr unsigned SERVICE_UNAVAILABLE = 503;
constexpr unsigned FIRST_FAILURE = 400;

/// Events that concern every request of an instance.
constexpr std::array<std::string_view, 14> STATE_EVENTS{"configuration_in_force",
                                                        "data_centre_out",
                                                        "peers",
                                                        "rollout",
                                                        "rollout_step",
                                                        "rollout_verdict_heard",
                                                        "settings_reloaded",
                                                        "started",
                                                        "stop_began",
                                                        "stopped",
                                                        "store_lost",
                                                        "store_regained",
                                                        "taken_from_peer",
                                                        "woke_after_freeze"};

std::chrono::milliseconds durationOf(const Json &fields, const char *key)
{
    return std::chrono::milliseconds(fields.value(key, std::int64_t{0}));
}

/// Nothing where the text is no log line.
std::optional<LogLine> parseLine(const std::string &text)
{
    const auto begin = text.find('{');
    if (begin == std::string::npos) {
        return std::nullopt;
    }
    auto fields = Json::parse(text.substr(begin), nullptr, false);
    if (!fields.is_object() || !fields.contains("time_ms") || !fields.contains("event")) {
        return std::nullopt;
    }
    try {
        LogLine line{.time = durationOf(fields, "time_ms"),
                     .instance = fields.value("instance", ""),
                     .what = fields.at("event").get<std::string>(),
                     .request = fields.value("request", ""),
                     .fields = {}};
        if (line.what == DECISION_EVENT) {
            line.what = fields.value("decision", line.what);
        }
        for (const auto *key : {"time_ms", "instance", "event", "decision", "request"}) {
            fields.erase(key);
        }
        line.fields = std::move(fields);
        return line;
    } catch (const Json::exception &) {
        // A field of another type: the line is none of a gateway's.
        return std::nullopt;
    }
}

/// When each request arrived, by instance and request: its last line says how long it took.
using Arrivals = std::map<std::pair<std::string, std::string>, std::chrono::milliseconds>;

Arrivals arrivalsOf(const std::vector<LogLine> &lines)
{
    Arrivals arrivals;
    for (const auto &line : lines) {
        if (line.what == REQUEST_EVENT) {
            arrivals[{line.instance, line.request}] = line.time - durationOf(line.fields, "took_ms");
        }
    }
    return arrivals;
}

/// Decisions are written at the end of their request; puts each at the moment at which it was made.
void placeDecisions(std::vector<LogLine> &lines)
{
    const auto arrivals = arrivalsOf(lines);
    for (auto &line : lines) {
        const auto arrival = arrivals.find({line.instance, line.request});
        if (arrival != arrivals.end() && line.fields.contains("after_ms")) {
            line.time = arrival->second + durationOf(line.fields, "after_ms");
        }
    }
}

struct StoryScope {
    std::set<std::string> instances;
    std::set<std::string> targets;
    std::chrono::milliseconds begin{0};
    std::chrono::milliseconds end{0};
};

StoryScope scopeOf(const std::vector<LogLine> &own)
{
    const auto [first, last] = std::ranges::minmax(own, {}, &LogLine::time);
    StoryScope scope{.instances = {}, .targets = {}, .begin = first.time - STORY_LEAD, .end = last.time};
    for (const auto &line : own) {
        scope.instances.insert(line.instance);
        if (line.fields.contains("target")) {
            scope.targets.insert(line.fields.at("target").get<std::string>());
        }
    }
    return scope;
}

/// Whether a line that belongs to no request explains those of the scope.
bool isBackground(const LogLine &line, const StoryScope &scope)
{
    if (!line.request.empty() || !scope.instances.contains(line.instance) || line.time < scope.begin || line.time > scope.end) {
        return false;
    }
    const auto names = line.what == "target" ? "target" : "object";
    const bool isAboutTarget = scope.targets.contains(line.fields.value(names, ""));
    return isAboutTarget || std::ranges::find(STATE_EVENTS, line.what) != STATE_EVENTS.end();
}

/// Smaller is worse.
int rankOf(const WorstRequest &request)
{
    if (request.status >= FIRST_SERVER_ERROR && request.status != SERVICE_UNAVAILABLE) {
        return 0;
    }
    return request.status >= FIRST_FAILURE ? 1 : 2;
}

} // namespace

ParsedLog parseLog(std::istream &stream)
{
    ParsedLog log;
    for (std::string text; std::getline(stream, text);) {
        if (auto line = parseLine(text)) {
            log.lines.push_back(std::move(*line));
        } else if (!text.empty()) {
            ++log.unreadable;
        }
    }
    placeDecisions(log.lines);
    return log;
}

void append(ParsedLog &log, ParsedLog other)
{
    std::ranges::move(other.lines, std::back_inserter(log.lines));
    log.unreadable += other.unreadable;
}

std::vector<LogLine> storyOf(const ParsedLog &log, std::string_view request)
{
    std::vector<LogLine> story;
    std::ranges::copy_if(log.lines, std::back_inserter(story), [request](const LogLine &line) {
        return line.request == request;
    });
    if (story.empty()) {
        return story;
    }
    const auto scope = scopeOf(story);
    std::ranges::copy_if(log.lines, std::back_inserter(story), [&scope](const LogLine &line) {
        return isBackground(line, scope);
    });
    std::ranges::stable_sort(story, {}, &LogLine::time);
    return story;
}

std::vector<WorstRequest> worstRequests(const ParsedLog &log, std::size_t most)
{
    std::map<std::pair<std::string, std::string>, std::string> reasons;
    std::vector<WorstRequest> requests;
    for (const auto &line : log.lines) {
        if (line.what == REQUEST_EVENT && !line.fields.value("caller_gone", false)) {
            requests.push_back({.request = line.request,
                                .instance = line.instance,
                                .route = line.fields.value("route", ""),
                                .status = line.fields.value("status", 0U),
                                .took = durationOf(line.fields, "took_ms"),
                                .allowed = durationOf(line.fields, "allowed_ms"),
                                .reason = {}});
        } else if (line.fields.contains("reason") && !line.request.empty()) {
            reasons[{line.instance, line.request}] = line.fields.value("reason", "");
        }
    }
    std::ranges::sort(requests, {}, [](const WorstRequest &request) {
        return std::tuple(rankOf(request), -request.took, request.request);
    });
    requests.resize(std::min(most, requests.size()));
    for (auto &request : requests) {
        const auto reason = reasons.find({request.instance, request.request});
        request.reason = reason == reasons.end() ? std::string{} : reason->second;
    }
    return requests;
}

} // namespace Briarbend::Operations
