#include <Tests/Processes/Support/Exchange.h>

#include <LibNetwork/HttpClient.h>

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <stdexcept>
#include <thread>
#include <unistd.h>

namespace Briarbend::Processes
{

namespace
{

constexpr std::chrono::milliseconds CHECK_INTERVAL{5};
constexpr unsigned FIRST_PORT = 10000;
constexpr unsigned PORTS = 22000;
/// Distance between the first ports that two test processes with neighbouring numbers try.
constexpr unsigned PORTS_PER_PROCESS = 131;

nlohmann::json bodyOf(const Network::Response &response, const std::string &target)
{
    if (response.result() != Network::Http::status::ok) {
        throw std::runtime_error(target + ": " + std::to_string(response.result_int()) + " " + response.body());
    }
    return nlohmann::json::parse(response.body());
}

bool isUnused(const Network::Endpoint &endpoint)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(context);
    boost::system::error_code error;
    acceptor.open(boost::asio::ip::tcp::v4());
    acceptor.bind(endpoint.tcp(), error);
    return !error;
}

} // namespace

Network::Response exchange(const Network::Endpoint &endpoint, Network::Request request, Core::Duration timeout)
{
    boost::asio::io_context context(1);
    Network::HttpClient client(context.get_executor(), endpoint);
    if (request.find(Network::Http::field::host) == request.end()) {
        request.set(Network::Http::field::host, endpoint.text());
    }
    auto answer = boost::asio::co_spawn(context, client.exchange(std::move(request), timeout), boost::asio::use_future);
    context.run();
    return answer.get();
}

nlohmann::json getJson(const Network::Endpoint &endpoint, const std::string &target)
{
    return bodyOf(exchange(endpoint, Network::makeRequest(Network::Http::verb::get, target, endpoint.text())), target);
}

void postJson(const Network::Endpoint &endpoint, const std::string &target, const nlohmann::json &json)
{
    auto request = Network::makeRequest(Network::Http::verb::post, target, endpoint.text());
    request.body() = json.dump();
    bodyOf(exchange(endpoint, std::move(request)), target);
}

Network::Endpoint unusedEndpoint()
{
    static std::atomic<unsigned> next{static_cast<unsigned>(::getpid()) * PORTS_PER_PROCESS};
    for (unsigned attempt = 0; attempt < PORTS; ++attempt) {
        Network::Endpoint endpoint{"127.0.0.1", static_cast<std::uint16_t>(FIRST_PORT + next++ % PORTS)};
        if (isUnused(endpoint)) {
            return endpoint;
        }
    }
    throw std::runtime_error("no unused port");
}

void pauseBetweenChecks()
{
    std::this_thread::sleep_for(CHECK_INTERVAL);
}

} // namespace Briarbend::Processes
