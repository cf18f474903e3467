#include "EditOutput.h"

#include <LibOperations/InstanceReport.h>
#include <LibOperations/LineDiff.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <iterator>
#include <nlohmann/json.hpp>
#include <ostream>

namespace Briarbend::Briarctl
{

namespace
{

namespace Asio = boost::asio;
using Json = nlohmann::json;

constexpr std::chrono::milliseconds POLL_INTERVAL{100};
constexpr std::chrono::seconds DUMP_TIMEOUT{2};

void printJson(Session &session, const Json &json)
{
    session.output << json.dump(2) << "\n";
}

/// Prints each kind of result; the return values are the exit codes.
struct EditPrinter {
    Session &session;
    const EditSummary &summary;

    bool wantsJson() const
    {
        return this->session.arguments.wantsJson;
    }

    ExitCode operator()(const Operations::EditAccepted &accepted) const
    {
        const std::string_view result = accepted.isChanged ? "accepted" : "unchanged";
        if (this->wantsJson()) {
            printJson(this->session, {{"result", result}, {"team", this->summary.team.value}, {"version", accepted.version}});
        } else {
            this->session.output << result << ": team " << this->summary.team.value << ", version " << accepted.version << "\n";
        }
        return ExitCode::Done;
    }

    ExitCode operator()(const Operations::EditConflict &conflict) const
    {
        const auto versionName = "version " + std::to_string(conflict.currentVersion) + " in the store";
        const auto diff = Operations::unifiedDiff(conflict.currentText, this->summary.text, versionName, this->summary.textName);
        if (this->wantsJson()) {
            printJson(this->session,
                      {{"result", "conflict"},
                       {"team", this->summary.team.value},
                       {"version", conflict.currentVersion},
                       {"may_have_been_in_force", conflict.mayHaveBeenInForce},
                       {"diff", diff}});
            return ExitCode::Conflict;
        }
        this->explain(conflict);
        this->session.problems << diff;
        this->adviseAfter(conflict);
        return ExitCode::Conflict;
    }

    void explain(const Operations::EditConflict &conflict) const
    {
        this->session.problems << "conflict: team " << this->summary.team.value << " is at version " << conflict.currentVersion
                               << " in the store, ";
        if (this->summary.hasNoBase) {
            this->session.problems << "and the file does not say which version it was edited from; nothing was changed\n";
        } else if (conflict.mayHaveBeenInForce) {
            this->session.problems << "by another edit; an answer was lost before, and yours may have been in force until then\n";
        } else {
            this->session.problems << "by another edit; nothing was changed\n";
        }
    }

    void adviseAfter(const Operations::EditConflict &conflict) const
    {
        const auto &team = this->summary.team.value;
        this->session.problems << "next: read the lines marked -, which are the other's, bring them into your text (`briarctl show --team "
                               << team << "` prints it), then give --based-on " << conflict.currentVersion << "\n";
    }

    ExitCode operator()(const Operations::EditClashes &clashes) const
    {
        std::vector<Document::DocumentProblem> problems;
        std::ranges::transform(clashes.clashes, std::back_inserter(problems), [this](const Configuration::SectionClash &clash) {
            const auto key = "team." + this->summary.team.value + ".service." + clash.service.value;
            return Document::DocumentProblem{this->summary.textName, 0, key, clash.text(), "each service and path in one section"};
        });
        printProblems(this->session, Document::DocumentError(std::move(problems)));
        return ExitCode::BadDocument;
    }

    ExitCode operator()(const Operations::NothingToEdit &nothing) const
    {
        if (this->wantsJson()) {
            printJson(this->session, {{"result", "nothing to edit"}, {"team", this->summary.team.value}, {"reason", nothing.reason}});
        } else {
            this->session.problems << nothing.reason
                                   << "; nothing was changed\nnext: `briarctl show` prints the sections and their data centres\n";
        }
        return ExitCode::NotFound;
    }

    ExitCode operator()(const Operations::StoreUnavailable &unavailable) const
    {
        return reportUnavailable(this->session, unavailable.reason);
    }

    ExitCode operator()(const Operations::EditUnknown &unknown) const
    {
        if (this->wantsJson()) {
            printJson(this->session,
                      {{"result", "unknown"}, {"team", this->summary.team.value}, {"edit", unknown.edit}, {"reason", unknown.reason}});
        } else {
            this->session.problems << "unknown: " << unknown.reason
                                   << "; the edit may be in force or not\nnext: once the store answers, `briarctl show --team "
                                   << this->summary.team.value << " --json` has the edit " << unknown.edit
                                   << " if it is; repeating the command is safe\n";
        }
        return ExitCode::Unknown;
    }
};

bool isInForce(const Operations::InstanceReport &report, const Core::TeamName &team, Store::Version version)
{
    return report.hasAnswered() && report.versionOf(team) >= version;
}

} // namespace

ExitCode printEdit(Session &session, const Operations::EditResult &result, const EditSummary &summary)
{
    return std::visit(EditPrinter{session, summary}, result);
}

Asio::awaitable<ExitCode> waitUntilInForce(Session &session, Core::TeamName team, Store::Version version)
{
    const auto &addresses = session.arguments.instances;
    const auto deadline = Core::Clock::now() + session.arguments.timeout;
    const auto isBehind = [&team, version](const Operations::InstanceReport &report) {
        return !isInForce(report, team, version);
    };
    Asio::steady_timer timer(co_await Asio::this_coro::executor);
    auto reports = co_await Operations::fetchReports(addresses, DUMP_TIMEOUT);
    while (std::ranges::any_of(reports, isBehind) && Core::Clock::now() < deadline) {
        timer.expires_after(POLL_INTERVAL);
        co_await timer.async_wait(Asio::use_awaitable);
        reports = co_await Operations::fetchReports(addresses, DUMP_TIMEOUT);
    }
    const auto behind = std::ranges::count_if(reports, isBehind);
    // With --json the edit's own object stays the only output; the exit code tells the rest.
    auto &output = session.arguments.wantsJson ? session.problems : session.output;
    output << "in force on " << std::ssize(reports) - behind << " of " << reports.size() << " instances\n";
    for (const auto &report : reports) {
        if (isBehind(report)) {
            output << "! " << report.operatorAddress.text() << ": "
                   << (report.hasAnswered() ? "version " + std::to_string(report.versionOf(team)) : report.failure) << "\n";
        }
    }
    co_return behind == 0 ? ExitCode::Done : ExitCode::OutOfStep;
}

} // namespace Briarbend::Briarctl
