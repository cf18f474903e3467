#pragma once

#include <LibFleet/ConfigurationCheck.h>
#include <LibFleet/ConfigurationDifference.h>

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Briarbend::Briarctl
{

/// A finding on one file, with the field as the file names it.
struct FileFinding {
    std::string file;
    Fleet::Severity severity{Fleet::Severity::Error};
    Fleet::ConfigurationEntry entry;
    std::string field;
    std::string text;
};

/// What the check of a document that `briarbend-gateway` serves has found.
struct PlatformDocumentReport {
    std::vector<FileFinding> findings;
    /// Set where the document was compared with the version in force.
    std::optional<std::vector<Fleet::ConfigurationDifference>> differences;
};

/// True for a document of the platform, which is a JSON object; a section of briarbendd is TOML.
bool isPlatformDocument(std::string_view text);

/// Checks the document, and what it changes where the version in force is given. Throws DocumentError where a file can't be read.
PlatformDocumentReport checkPlatformDocument(const std::string &file, const std::optional<std::string> &inForceFile);

/// "file: error: route r-1: host: ...".
std::string lineOf(const FileFinding &finding);
/// "route r-1: host: a.example becomes b.example".
std::string lineOf(const Fleet::ConfigurationDifference &difference);

nlohmann::json jsonOf(const FileFinding &finding);
nlohmann::json jsonOf(const Fleet::ConfigurationDifference &difference);

} // namespace Briarbend::Briarctl
