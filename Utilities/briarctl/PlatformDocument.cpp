#include "PlatformDocument.h"

#include <LibDocument/TableReader.h>
#include <platform/ConfigurationDocument.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Briarbend::Briarctl
{

namespace
{

using Fleet::ChangeKind;
using Fleet::ConfigurationEntry;
using Fleet::EntryKind;
using Fleet::Severity;

std::string_view nameOf(EntryKind kind)
{
    switch (kind) {
    case EntryKind::Document:
        return "document";
    case EntryKind::Route:
        return "route";
    case EntryKind::Service:
        return "service";
    case EntryKind::Limits:
        return "limits";
    case EntryKind::Tenant:
        return "tenant";
    }
    return "";
}

std::string_view nameOf(Severity severity)
{
    return severity == Severity::Error ? "error" : "warning";
}

std::string_view nameOf(ChangeKind kind)
{
    switch (kind) {
    case ChangeKind::Added:
        return "added";
    case ChangeKind::Removed:
        return "removed";
    case ChangeKind::Changed:
        return "changed";
    }
    return "";
}

std::string textOf(const ConfigurationEntry &entry)
{
    return std::string(nameOf(entry.kind)) + (entry.name.empty() ? "" : " ") + entry.name;
}

void addFindings(const std::string &file, const std::vector<Fleet::ConfigurationFinding> &found, std::vector<FileFinding> &findings)
{
    std::ranges::transform(found, std::back_inserter(findings), [&file](const Fleet::ConfigurationFinding &finding) {
        return FileFinding{.file = file,
                           .severity = finding.severity,
                           .entry = finding.entry,
                           .field = std::string(Platform::fieldName(finding.field)),
                           .text = finding.text};
    });
}

/// The document of a file, or nothing after adding what can't be decoded to the findings.
std::optional<Fleet::ConfigurationDocument> decodeFile(const std::string &file, std::vector<FileFinding> &findings)
{
    auto decoded = Platform::decodeConfigurationDocument(Document::readFile(file));
    std::ranges::transform(decoded.problems, std::back_inserter(findings), [&file](const Platform::ConfigurationProblem &problem) {
        return FileFinding{.file = file, .severity = Severity::Error, .entry = problem.entry, .field = problem.field, .text = problem.text};
    });
    return decoded.problems.empty() ? std::optional(std::move(decoded.document)) : std::nullopt;
}

} // namespace

bool isPlatformDocument(std::string_view text)
{
    const auto begin = text.find_first_not_of(" \t\r\n");
    return begin != std::string_view::npos && text[begin] == '{';
}

PlatformDocumentReport checkPlatformDocument(const std::string &file, const std::optional<std::string> &inForceFile)
{
    PlatformDocumentReport report;
    const auto document = decodeFile(file, report.findings);
    if (document) {
        addFindings(file, Fleet::checkConfiguration(*document), report.findings);
    }
    const auto inForce = inForceFile ? decodeFile(*inForceFile, report.findings) : std::nullopt;
    if (document && inForce) {
        addFindings(file, Fleet::checkSuccession(*inForce, *document), report.findings);
        report.differences = Fleet::findDifferences(*inForce, *document);
    }
    return report;
}

std::string lineOf(const FileFinding &finding)
{
    const auto field = finding.field.empty() ? "" : finding.field + ": ";
    return finding.file + ": " + std::string(nameOf(finding.severity)) + ": " + textOf(finding.entry) + ": " + field + finding.text;
}

std::string lineOf(const Fleet::ConfigurationDifference &difference)
{
    const auto entry = textOf(difference.entry);
    if (difference.kind != ChangeKind::Changed) {
        return entry + ": " + std::string(nameOf(difference.kind));
    }
    const auto values = difference.before == difference.after ? difference.after + ", others than before"
                                                              : difference.before + " becomes " + difference.after;
    return entry + ": " + std::string(Platform::fieldName(difference.field)) + ": " + values;
}

nlohmann::json jsonOf(const FileFinding &finding)
{
    return {{"file", finding.file},
            {"severity", nameOf(finding.severity)},
            {"kind", nameOf(finding.entry.kind)},
            {"name", finding.entry.name},
            {"field", finding.field},
            {"text", finding.text}};
}

nlohmann::json jsonOf(const Fleet::ConfigurationDifference &difference)
{
    return {{"change", nameOf(difference.kind)},
            {"kind", nameOf(difference.entry.kind)},
            {"name", difference.entry.name},
            {"field", Platform::fieldName(difference.field)},
            {"before", difference.before},
            {"after", difference.after}};
}

} // namespace Briarbend::Briarctl
