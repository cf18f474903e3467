#pragma once

namespace Briarbend::Briarctl
{

/// What briarctl ends with. The values are those of sysexits.h where it has one that fits.
enum class ExitCode : int {
    Done = 0,
    /// Shown or accepted, but an instance did not answer or has an older version than the store.
    OutOfStep = 1,
    /// The document can be put into force, but the check has warnings.
    DoubtfulDocument = 2,
    /// The command line can not be understood.
    Usage = 64,
    /// The configuration document has problems; nothing was changed.
    BadDocument = 65,
    /// The section, data centre or request that is asked for does not exist; nothing was changed.
    NotFound = 66,
    /// The store did not answer; nothing was changed.
    Unavailable = 69,
    /// A fault of briarctl itself.
    InternalError = 70,
    /// The store's answer was lost; the edit may be in force or not.
    Unknown = 74,
    /// Another edit came first; this one was not made.
    Conflict = 75,
    /// The settings file has problems.
    BadSettings = 78,
};

} // namespace Briarbend::Briarctl
