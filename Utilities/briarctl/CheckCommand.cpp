#include "Commands.h"

#include <LibConfiguration/ConfigurationDocument.h>
#include <LibDocument/DocumentProblem.h>
#include <LibDocument/TableReader.h>
#include <LibSettings/SettingsFile.h>

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>
#include <ostream>

namespace Briarbend::Briarctl
{

namespace
{

nlohmann::json problemJson(const Document::DocumentProblem &problem)
{
    return {{"file", problem.file}, {"line", problem.line}, {"key", problem.key}, {"found", problem.found}, {"allowed", problem.allowed}};
}

/// The problems of one file, empty where there are none.
std::vector<Document::DocumentProblem> problemsOf(const std::string &file, bool isForSettings)
{
    try {
        if (isForSettings) {
            Settings::loadSettings(file);
        } else {
            Configuration::parseConfiguration(Document::readFile(file), file);
        }
        return {};
    } catch (const Document::DocumentError &error) {
        return error.problems();
    }
}

} // namespace

void printProblems(Session &session, const Document::DocumentError &error)
{
    if (!session.arguments.wantsJson) {
        session.problems << error.what() << "\n";
        return;
    }
    nlohmann::json problems = nlohmann::json::array();
    std::ranges::transform(error.problems(), std::back_inserter(problems), problemJson);
    session.output << nlohmann::json{{"problems", problems}}.dump(2) << "\n";
}

ExitCode check(Session &session)
{
    std::vector<Document::DocumentProblem> problems;
    for (const auto &file : session.arguments.positional) {
        const auto found = problemsOf(file, session.arguments.isForSettings);
        problems.insert(problems.end(), found.begin(), found.end());
        if (found.empty() && !session.arguments.wantsJson) {
            session.output << file << ": no problems\n";
        }
    }
    if (problems.empty()) {
        if (session.arguments.wantsJson) {
            session.output << nlohmann::json{{"problems", nlohmann::json::array()}}.dump(2) << "\n";
        }
        return ExitCode::Done;
    }
    printProblems(session, Document::DocumentError(std::move(problems)));
    return session.arguments.isForSettings ? ExitCode::BadSettings : ExitCode::BadDocument;
}

} // namespace Briarbend::Briarctl
