#include <LibRelay/HeaderRules.h>
#include <LibRelay/RefusalResponse.h>

namespace Briarbend::Relay
{

Network::Response makeRefusalResponse(const Rejection::Refusal &refusal, const std::string &instanceName, const std::string &requestId)
{
    const auto answer = Rejection::finalAnswer(refusal, instanceName);
    Network::Response response;
    response.version(11);
    response.result(answer.status);
    for (const auto &field : answer.fields) {
        response.insert(field.name, field.value);
    }
    if (!requestId.empty()) {
        response.set(std::string(REQUEST_ID_FIELD), requestId);
    }
    response.body() = answer.body;
    response.prepare_payload();
    return response;
}

} // namespace Briarbend::Relay
