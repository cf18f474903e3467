#include <LibNetwork/HttpClient.h>
#include <LibOperations/SectionPush.h>

#include <boost/asio/this_coro.hpp>
#include <nlohmann/json.hpp>

namespace Briarbend::Operations
{

namespace
{

/// Instances that have to take the section; they tell the others.
constexpr std::size_t ENOUGH_INSTANCES = 2;

} // namespace

boost::asio::awaitable<std::size_t>
pushSection(std::vector<Network::Endpoint> operatorAddresses, AcceptedSection section, Core::Duration timeout)
{
    const auto executor = co_await boost::asio::this_coro::executor;
    const auto body = nlohmann::json{{"version", section.version}, {"text", section.text}}.dump();
    std::size_t taken = 0;
    for (const auto &address : operatorAddresses) {
        if (taken == ENOUGH_INSTANCES) {
            break;
        }
        Network::HttpClient client(executor, address);
        auto request = Network::makeRequest(Network::Http::verb::put, "/sections/" + section.team.value, address.text());
        request.body() = body;
        try {
            const auto response = co_await client.exchange(std::move(request), timeout);
            taken += response.result() == Network::Http::status::ok ? 1 : 0;
        } catch (const boost::system::system_error &) {
            // The next instance may answer; without any, the store's watch remains.
            continue;
        }
    }
    co_return taken;
}

} // namespace Briarbend::Operations
