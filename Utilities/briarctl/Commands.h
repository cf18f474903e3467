#pragma once

#include "Arguments.h"
#include "ExitCode.h"

#include <LibDocument/DocumentProblem.h>
#include <LibStore/ObjectStore.h>

#include <boost/asio/awaitable.hpp>
#include <iosfwd>

namespace Briarbend::Briarctl
{

/// What a command works on. The references outlive its coroutine.
struct Session {
    const Arguments &arguments;
    /// Null for commands that need no store.
    Store::ObjectStore *store{nullptr};
    /// Takes what was asked for.
    std::ostream &output;
    /// Takes problems and what to do next.
    std::ostream &problems;
};

/// Each runs one command; document and system errors are thrown to the caller.
ExitCode check(Session &session);
ExitCode explain(Session &session);
boost::asio::awaitable<ExitCode> apply(Session &session);
boost::asio::awaitable<ExitCode> show(Session &session);
boost::asio::awaitable<ExitCode> status(Session &session);
boost::asio::awaitable<ExitCode> dump(Session &session);
/// Both drain and undrain.
boost::asio::awaitable<ExitCode> editDataCentre(Session &session);

/// Prints the problems of a document, as text or as JSON.
void printProblems(Session &session, const Document::DocumentError &error);
/// Says that the store did not answer and what to do next.
ExitCode reportUnavailable(Session &session, const std::string &reason);

} // namespace Briarbend::Briarctl
