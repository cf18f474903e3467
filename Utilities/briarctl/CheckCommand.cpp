#include "Commands.h"
#include "PlatformDocument.h"

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

/// False for a file that can't be read, which the check of sections reports.
bool isPlatformFile(const std::string &file)
{
    try {
        return isPlatformDocument(Document::readFile(file));
    } catch (const Document::DocumentError &) {
        return false;
    }
}

/// What the check of all files of one command line has found.
struct CheckResult {
    std::vector<std::string> filesWithoutProblems;
    std::vector<Document::DocumentProblem> problems;
    bool hasPlatformDocument{false};
    std::vector<FileFinding> findings;
    std::vector<Fleet::ConfigurationDifference> differences;
    /// Set where documents were compared.
    bool isCompared{false};
};

void checkFile(const Arguments &arguments, const std::string &file, CheckResult &result)
{
    bool isFine = false;
    const bool isPlatform = arguments.inForce ? isPlatformDocument(Document::readFile(file)) : isPlatformFile(file);
    if (!arguments.isForSettings && isPlatform) {
        auto report = checkPlatformDocument(file, arguments.inForce);
        isFine = report.findings.empty();
        result.hasPlatformDocument = true;
        result.isCompared = report.differences.has_value();
        std::ranges::move(report.findings, std::back_inserter(result.findings));
        std::ranges::move(report.differences.value_or(std::vector<Fleet::ConfigurationDifference>{}),
                          std::back_inserter(result.differences));
    } else if (arguments.inForce) {
        throw UsageError("--in-force compares documents of the platform, which are JSON; " + file + " is none");
    } else {
        auto problems = problemsOf(file, arguments.isForSettings);
        isFine = problems.empty();
        std::ranges::move(problems, std::back_inserter(result.problems));
    }
    if (isFine) {
        result.filesWithoutProblems.push_back(file);
    }
}

void printText(Session &session, const CheckResult &result)
{
    for (const auto &file : result.filesWithoutProblems) {
        session.output << file << ": no problems\n";
    }
    for (const auto &finding : result.findings) {
        session.problems << lineOf(finding) << "\n";
    }
    if (!result.problems.empty()) {
        printProblems(session, Document::DocumentError(result.problems));
    }
    if (result.isCompared) {
        session.output << (result.differences.empty() ? "no differences from " : "differences from ") << *session.arguments.inForce
                       << (result.differences.empty() ? "\n" : ":\n");
    }
    for (const auto &difference : result.differences) {
        session.output << "  " << lineOf(difference) << "\n";
    }
}

template<typename Element, typename Convert>
nlohmann::json arrayOf(const std::vector<Element> &elements, Convert convert)
{
    auto array = nlohmann::json::array();
    std::ranges::transform(elements, std::back_inserter(array), convert);
    return array;
}

void printJson(Session &session, const CheckResult &result)
{
    nlohmann::json json{{"problems", arrayOf(result.problems, problemJson)}};
    if (result.hasPlatformDocument) {
        json["findings"] = arrayOf(result.findings, [](const FileFinding &finding) {
            return jsonOf(finding);
        });
    }
    if (result.isCompared) {
        json["differences"] = arrayOf(result.differences, [](const Fleet::ConfigurationDifference &difference) {
            return jsonOf(difference);
        });
    }
    session.output << json.dump(2) << "\n";
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
    CheckResult result;
    for (const auto &file : session.arguments.positional) {
        checkFile(session.arguments, file, result);
    }
    session.arguments.wantsJson ? printJson(session, result) : printText(session, result);
    if (!result.problems.empty()) {
        return session.arguments.isForSettings ? ExitCode::BadSettings : ExitCode::BadDocument;
    }
    if (std::ranges::find(result.findings, Fleet::Severity::Error, &FileFinding::severity) != result.findings.end()) {
        return ExitCode::BadDocument;
    }
    return result.findings.empty() ? ExitCode::Done : ExitCode::DoubtfulDocument;
}

} // namespace Briarbend::Briarctl
