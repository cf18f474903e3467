#pragma once

#include <LibNetwork/HttpServer.h>
#include <Tests/LibStore/FakeObjectStore.h>

#include <boost/asio/io_context.hpp>
#include <future>
#include <memory>
#include <thread>
#include <vector>

namespace Briarbend::Testing
{

/// A store and instances' operator endpoints, served over HTTP by a thread of the test's process.
class StoreServer
{
public:
    StoreServer();
    StoreServer(const StoreServer &) = delete;
    StoreServer &operator=(const StoreServer &) = delete;
    ~StoreServer();

    /// Changes the store on the server's thread.
    void change(const std::function<void(Store::FakeObjectStore &)> &function);
    /// Adds an instance that answers `/dump` with the body.
    void addInstance(const std::string &body);
    std::string storeAddress() const;
    /// Addresses of all instances, with commas.
    std::string instanceAddresses() const;

private:
    boost::asio::awaitable<Network::Response> answer(Network::Request request);
    boost::asio::awaitable<Network::Response> answerList(std::string prefix);
    boost::asio::awaitable<Network::Response> answerInstances();
    boost::asio::awaitable<Network::Response> answerRead(std::string key);
    boost::asio::awaitable<Network::Response> answerWrite(Network::Request request, std::string key);

    boost::asio::io_context context;
    Store::FakeObjectStore store;
    Network::HttpServer server;
    std::vector<std::unique_ptr<Network::HttpServer>> instances;
    std::thread thread;
};

} // namespace Briarbend::Testing
