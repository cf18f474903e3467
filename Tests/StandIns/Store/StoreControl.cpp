#include <Tests/StandIns/Common/JsonFields.h>
#include <Tests/StandIns/Common/JsonResponse.h>
#include <Tests/StandIns/Store/Store.h>

#include <algorithm>

/// The store's scripted conditions, the instance list and the count of calls.
namespace Briarbend::StandIns
{

Network::Response Store::instances()
{
    return makeJsonResponse({{"instances", this->instanceList.at(Core::Clock::now() - this->lag())}});
}

Network::Response Store::control(const Network::Request &request)
{
    if (request.target() == "/control/calls") {
        return makeJsonResponse(this->calls());
    }
    this->applyControl(nlohmann::json::parse(request.body()));
    return makeJsonResponse({{"revision", this->revision}});
}

void Store::applyControl(const nlohmann::json &json)
{
    JsonFields fields(json);
    fields.read("outage", this->conditions.outage);
    fields.read("list_outage", this->conditions.listOutage);
    fields.read("outage_status", this->conditions.outageStatus);
    fields.read("delay_ms", this->conditions.delayMilliseconds);
    fields.read("lose_answers", this->conditions.loseAnswers);
    fields.read("stale_reads", this->conditions.staleMilliseconds);
    fields.read("stale_objects", this->conditions.staleObjects);
    fields.read("write_limit", this->conditions.writeLimit);
    fields.read("read_limit", this->conditions.readLimit);
    auto changed = this->instanceList.current;
    nlohmann::json upserted;
    std::string removed;
    bool isChanged = fields.read("instances", changed);
    const bool isUpsert = fields.read("upsert_instance", upserted);
    if (isUpsert || fields.read("remove_instance", removed)) {
        const auto id = isUpsert ? upserted.at("id").get<std::string>() : removed;
        std::erase_if(changed.get_ref<nlohmann::json::array_t &>(), [&id](const auto &item) {
            return item.at("id") == id;
        });
        isChanged = true;
    }
    if (isUpsert) {
        changed.push_back(upserted);
    }
    fields.finish();
    if (isChanged) {
        this->instanceList.replace(std::move(changed), Core::Clock::now(), this->lag());
    }
    if (this->conditions.outage) {
        std::ranges::for_each(this->watchers, [](auto &watcher) {
            watcher.timer.cancel();
        });
    }
}

nlohmann::json Store::calls() const
{
    nlohmann::json result{{"refused", this->refusedCalls}, {"waiting", this->watchers.size()}, {"peak_reads", this->reads.peak}};
    for (std::size_t kind = 0; kind < CALL_KIND_NAMES.size(); ++kind) {
        const auto &window = this->windows.at(kind);
        result[CALL_KIND_NAMES.at(kind)] = {{"count", window.total}, {"peak_per_second", window.peak}};
    }
    return result;
}

} // namespace Briarbend::StandIns
