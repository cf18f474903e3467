#pragma once

#include <LibCore/Identifiers.h>
#include <LibStore/ObjectStore.h>

#include <optional>
#include <string>
#include <string_view>

/// The comment by which a printed section remembers the version that it was printed from, so that an edit of it can not undo another's.
namespace Briarbend::Operations
{

/// "# briarctl: team <team> at version <version>", with its line's end.
std::string versionMarker(const Core::TeamName &team, Store::Version version);

/// The version in the team's marker, wherever in the document it stands; nothing where there is none.
std::optional<Store::Version> findVersionMarker(std::string_view document, const Core::TeamName &team);

/// The text without marker lines.
std::string withoutVersionMarkers(std::string_view text);

} // namespace Briarbend::Operations
