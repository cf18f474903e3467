#include <LibNetwork/HttpServer.h>
#include <Tests/StandIns/Target/Target.h>

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>

/// The faults that a control message or a marked request sets off.
namespace Briarbend::StandIns
{

namespace Asio = boost::asio;

void Target::control(nlohmann::json json)
{
    const bool turnsCold = json.value("cold", false);
    const bool restarts = json.value("restart", false);
    const bool crashes = json.value("crash", false);
    std::ranges::for_each(std::array{"cold", "restart", "crash"}, [&json](const char *command) {
        json.erase(command);
    });
    applyConditions(this->state.conditions, json);
    if (turnsCold) {
        turnCold(this->state, Core::Clock::now());
    }
    if (restarts) {
        this->closeConnections();
        restart(this->state, true, Core::Clock::now());
    }
    if (crashes) {
        this->breakDown("control");
    }
    if (!this->state.conditions.freeze) {
        this->thawing.cancel();
    }
}

bool Target::happens(double probability)
{
    return probability > 0 && this->random.unit() < probability;
}

Asio::awaitable<void> Target::thaw()
{
    boost::system::error_code ignored;
    while (this->state.conditions.freeze) {
        co_await this->thawing.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
    }
}

void Target::breakDown(const std::string &marker)
{
    ++this->state.crashes[marker];
    this->closeConnections();
    restart(this->state, true, Core::Clock::now());
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
    Asio::co_spawn(this->context, this->reopen(), Asio::detached);
}

void Target::closeConnections()
{
    boost::system::error_code ignored;
    for (const auto &connection : this->connections) {
        connection->socket.close(ignored);
    }
    for (const auto &waiting : std::exchange(this->queue, {})) {
        waiting->isCancelled = true;
        waiting->timer.cancel();
    }
}

Asio::awaitable<void> Target::reopen()
{
    Asio::steady_timer dead(this->context);
    dead.expires_after(std::chrono::duration_cast<Core::Duration>(Milliseconds(this->state.conditions.deadMilliseconds)));
    co_await dead.async_wait(Asio::use_awaitable);
    this->acceptor = Network::openAcceptor(this->context, this->local);
    Asio::co_spawn(this->context, this->accept(), Asio::detached);
}

} // namespace Briarbend::StandIns
