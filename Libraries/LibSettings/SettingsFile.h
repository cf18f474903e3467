#pragma once

#include <LibSettings/Settings.h>

#include <string>
#include <string_view>

namespace Briarbend::Settings
{

/// Exit code of a process whose settings are not allowed. EX_CONFIG of sysexits.h.
constexpr int EXIT_CODE_BAD_SETTINGS{78};

/// Reads and checks a settings file. Throws Document::DocumentError with every problem of the file.
Settings loadSettings(const std::string &file);

/// Checks settings held as text; the file's name is used in problems only. Throws Document::DocumentError.
Settings parseSettings(std::string_view text, const std::string &file);

/// The operators' page of all settings, in Markdown, from the table that reads them.
std::string settingsReference();

} // namespace Briarbend::Settings
