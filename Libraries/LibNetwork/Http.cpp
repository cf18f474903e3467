#include <LibNetwork/Http.h>

#include <algorithm>
#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>
#include <ranges>

namespace Briarbend::Network
{

Request makeRequest(Http::verb method, std::string_view target, std::string_view host)
{
    Request request{method, target, HTTP_1_1};
    request.set(Http::field::host, host);
    return request;
}

Response makeResponse(Http::status status, std::string_view mediaType, std::string body)
{
    Response response{status, HTTP_1_1};
    response.set(Http::field::content_type, mediaType);
    response.body() = std::move(body);
    response.prepare_payload();
    return response;
}

std::string queryParameter(std::string_view target, std::string_view name)
{
    const auto question = target.find('?');
    if (question == std::string_view::npos) {
        return {};
    }
    const auto query = target.substr(question + 1);
    for (const auto &part : query | std::views::split('&')) {
        const std::string_view parameter(part.begin(), part.end());
        const auto equals = parameter.find('=');
        if (equals != std::string_view::npos && parameter.substr(0, equals) == name) {
            return std::string(parameter.substr(equals + 1));
        }
    }
    return {};
}

std::string percentEncode(std::string_view text)
{
    return boost::urls::encode(text, boost::urls::unreserved_chars);
}

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

} // namespace Briarbend::Network
