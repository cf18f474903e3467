#pragma once

#include "Commands.h"

#include <LibOperations/SectionEditor.h>

namespace Briarbend::Briarctl
{

/// What an edit was, for its report.
struct EditSummary {
    Core::TeamName team;
    /// Where the wanted text came from, and the text, for the difference from another's edit.
    std::string textName;
    std::string text;
    /// True where the edit could name no version that it was based on.
    bool hasNoBase{false};
};

/// Prints how an edit ended and what to do next.
ExitCode printEdit(Session &session, const Operations::EditResult &result, const EditSummary &summary);

/// Waits until all instances have the version of the section in force, or the time-out is over, and prints which do not.
boost::asio::awaitable<ExitCode> waitUntilInForce(Session &session, Core::TeamName team, Store::Version version);

} // namespace Briarbend::Briarctl
