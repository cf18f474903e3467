#pragma once

#include <LibConfiguration/ConfigurationDocument.h>
#include <LibStore/ObjectStore.h>

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Briarbend::Operations
{

/// The store holds the edit, and every instance will have it in force within seconds.
struct EditAccepted {
    Store::Version version{0};
    /// False where the store held the same already and nothing was written.
    bool isChanged{true};

    bool operator==(const EditAccepted &) const = default;
};

/// Another edit came between; the store holds the other's and this one was not made, or was replaced by the other's.
struct EditConflict {
    /// Zero where the section is gone.
    Store::Version currentVersion{0};
    /// The section's text as the store holds it, empty where it could not be read.
    std::string currentText;
    /// True where an answer was lost before: this edit may have been in force until the other's replaced it.
    bool mayHaveBeenInForce{false};

    bool operator==(const EditConflict &) const = default;
};

/// The section names services or paths that other teams have. Nothing was changed.
struct EditClashes {
    std::vector<Configuration::SectionClash> clashes;

    bool operator==(const EditClashes &) const = default;
};

/// The section or data centre to be edited does not exist. Nothing was changed.
struct NothingToEdit {
    std::string reason;

    bool operator==(const NothingToEdit &) const = default;
};

/// The store could not be asked. Nothing was changed.
struct StoreUnavailable {
    std::string reason;

    bool operator==(const StoreUnavailable &) const = default;
};

/// The answer to the write was lost and the store could not be read back in time. The edit may be in force or not.
struct EditUnknown {
    /// The unique identifier to look for in the store.
    std::string edit;
    std::string reason;

    bool operator==(const EditUnknown &) const = default;
};

using EditResult = std::variant<EditAccepted, EditConflict, EditClashes, NothingToEdit, StoreUnavailable, EditUnknown>;

/// How long a lost answer is followed up, and how often a change of one key is tried again after others' edits.
struct RetryPolicy {
    unsigned maximumAttempts{20};
    Core::Duration pause{std::chrono::milliseconds(250)};
};

/// What an edit may replace.
struct OnlyAbsent {
};
struct OnlyVersion {
    Store::Version version{0};
};
/// Whatever the store holds when the edit begins; another edit after that is a conflict still.
struct AnyVersion {
};

using EditBase = std::variant<OnlyAbsent, OnlyVersion, AnyVersion>;

/// One team's new section.
struct SectionEdit {
    Core::TeamName team;
    /// Unique to this edit.
    std::string edit;
    /// Checked already.
    std::string text;
    EditBase base;
};

/// Replaces one team's section by a conditional update. A lost answer is settled by reading back the edit's identifier. Throws
/// Document::DocumentError where the text is not allowed.
boost::asio::awaitable<EditResult> applySection(Store::ObjectStore &store, SectionEdit edit, RetryPolicy policy);

/// The wanted state of one data centre in one team's section.
struct DataCentreEdit {
    Core::TeamName team;
    std::string edit;
    Core::DataCentreName dataCentre;
    Configuration::DataCentreState state;
};

/// Changes this state and nothing else. Others' edits of the section meanwhile are kept; one of the same state is a conflict. The data
/// centre must be in the section or in the platform's list. Throws Document::DocumentError where the stored section is not allowed.
boost::asio::awaitable<EditResult> changeDataCentreState(Store::ObjectStore &store, DataCentreEdit edit, RetryPolicy policy);

/// An identifier that no other edit has: 128 random bits in hexadecimal.
std::string makeEditIdentifier();

} // namespace Briarbend::Operations
