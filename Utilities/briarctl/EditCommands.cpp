#include "EditOutput.h"

#include <LibConfiguration/ConfigurationDocument.h>
#include <LibConfiguration/ConfigurationKeys.h>
#include <LibConfiguration/StoredSection.h>
#include <LibDocument/TableReader.h>
#include <LibOperations/SectionPush.h>
#include <LibOperations/VersionMarker.h>

namespace Briarbend::Briarctl
{

namespace
{

constexpr std::chrono::milliseconds RETRY_PAUSE{250};
constexpr std::chrono::milliseconds PUSH_TIMEOUT{500};

Operations::RetryPolicy retryPolicy(const Arguments &arguments)
{
    const auto attempts = arguments.timeout / RETRY_PAUSE + 1;
    return {.maximumAttempts = static_cast<unsigned>(attempts), .pause = RETRY_PAUSE};
}

/// The checked section's text as it is to be stored. Throws Document::DocumentError with the document's own lines.
std::string sectionTextFor(const std::string &document, const std::string &file, const Core::TeamName &team)
{
    if (!Configuration::parseTeamSection(document, file, team)) {
        throw Document::DocumentError({{file, 0, "team." + team.value, "nothing", "the section of the team to be applied"}});
    }
    return Operations::withoutVersionMarkers(Configuration::extractSectionText(document, team));
}

Operations::EditBase baseOf(const Arguments &arguments, const std::string &document)
{
    if (arguments.isReplacing) {
        return Operations::AnyVersion{};
    }
    const auto version = arguments.basedOn ? arguments.basedOn : Operations::findVersionMarker(document, *arguments.team);
    if (version) {
        return Operations::OnlyVersion{*version};
    }
    return Operations::OnlyAbsent{};
}

/// The text of the accepted version: as applied, or as the store holds it. Empty where the store does not answer any more.
boost::asio::awaitable<std::string> acceptedText(Session &session, const EditSummary &summary, Store::Version version)
{
    if (!summary.text.empty()) {
        co_return summary.text;
    }
    const auto read = co_await session.store->read(Configuration::sectionKey(summary.team));
    const auto *object = std::get_if<Store::Object>(&read);
    if (object == nullptr || object->version != version) {
        co_return std::string{};
    }
    co_return Configuration::parseStoredSection(object->value, "the stored section").text;
}

boost::asio::awaitable<void> push(Session &session, const EditSummary &summary, Store::Version version)
{
    if (session.arguments.instances.empty()) {
        co_return;
    }
    auto text = co_await acceptedText(session, summary, version);
    if (!text.empty()) {
        Operations::AcceptedSection section{.team = summary.team, .version = version, .text = std::move(text)};
        co_await Operations::pushSection(session.arguments.instances, std::move(section), PUSH_TIMEOUT);
    }
}

boost::asio::awaitable<ExitCode> finish(Session &session, Operations::EditResult result, EditSummary summary)
{
    const auto *accepted = std::get_if<Operations::EditAccepted>(&result);
    if (accepted != nullptr && accepted->isChanged) {
        co_await push(session, summary, accepted->version);
    }
    const auto code = printEdit(session, result, summary);
    if (accepted == nullptr || !session.arguments.isWaiting) {
        co_return code;
    }
    co_return co_await waitUntilInForce(session, summary.team, accepted->version);
}

} // namespace

boost::asio::awaitable<ExitCode> apply(Session &session)
{
    const auto &file = session.arguments.positional.front();
    const auto document = Document::readFile(file);
    EditSummary summary{.team = *session.arguments.team, .textName = file, .text = {}};
    summary.text = sectionTextFor(document, file, summary.team);
    const auto base = baseOf(session.arguments, document);
    summary.hasNoBase = std::holds_alternative<Operations::OnlyAbsent>(base);
    Operations::SectionEdit edit{.team = summary.team, .edit = Operations::makeEditIdentifier(), .text = summary.text, .base = base};
    auto result = co_await Operations::applySection(*session.store, std::move(edit), retryPolicy(session.arguments));
    co_return co_await finish(session, std::move(result), std::move(summary));
}

boost::asio::awaitable<ExitCode> editDataCentre(Session &session)
{
    const auto &name = session.arguments.positional.front();
    if (!Document::isName(name)) {
        throw UsageError("\"" + name + "\" is no data centre; names have 1 to 63 characters from a-z, 0-9 and -");
    }
    const auto state
        = session.arguments.command == Command::Drain ? Configuration::DataCentreState::Out : Configuration::DataCentreState::In;
    Operations::DataCentreEdit edit{
        .team = *session.arguments.team, .edit = Operations::makeEditIdentifier(), .dataCentre = {name}, .state = state};
    EditSummary summary{.team = edit.team, .textName = "your edit", .text = {}};
    auto result = co_await Operations::changeDataCentreState(*session.store, std::move(edit), retryPolicy(session.arguments));
    const auto *conflict = std::get_if<Operations::EditConflict>(&result);
    if (conflict != nullptr && !conflict->currentText.empty()) {
        summary.text = Configuration::withDataCentreState(conflict->currentText, summary.team, {name}, state);
    }
    co_return co_await finish(session, std::move(result), std::move(summary));
}

} // namespace Briarbend::Briarctl
