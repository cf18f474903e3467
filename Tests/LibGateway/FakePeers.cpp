#include <Tests/LibGateway/FakePeers.h>

namespace Briarbend::Gateway
{

namespace
{

class ManualSubscription final : public Core::TimerSubscription
{
public:
    explicit ManualSubscription(std::shared_ptr<bool> token)
        : alive(std::move(token))
    {
    }

private:
    std::shared_ptr<bool> alive;
};

} // namespace

Core::TimePoint ManualTimers::now() const
{
    return this->time;
}

std::unique_ptr<Core::TimerSubscription> ManualTimers::every(Core::Duration interval, Callback callback)
{
    return this->add(interval, interval, std::move(callback));
}

std::unique_ptr<Core::TimerSubscription> ManualTimers::after(Core::Duration delay, Callback callback)
{
    return this->add(delay, std::nullopt, std::move(callback));
}

std::unique_ptr<Core::TimerSubscription> ManualTimers::add(Core::Duration delay, std::optional<Core::Duration> interval, Callback callback)
{
    auto alive = std::make_shared<bool>(true);
    const auto due = this->time + delay;
    this->timers.emplace(due, Timer{due, interval, std::move(callback), alive});
    return std::make_unique<ManualSubscription>(std::move(alive));
}

void ManualTimers::runFor(Core::Duration duration)
{
    const auto end = this->time + duration;
    while (!this->timers.empty() && this->timers.begin()->first <= end) {
        auto timer = std::move(this->timers.extract(this->timers.begin()).mapped());
        this->time = timer.due;
        if (timer.isAlive.expired()) {
            continue;
        }
        timer.callback(this->time);
        if (timer.interval) {
            timer.due += *timer.interval;
            this->timers.emplace(timer.due, std::move(timer));
        }
    }
    this->time = end;
}

class FakeTransport final : public Peers::Transport
{
public:
    FakeTransport(FakeNetwork &fakeNetwork, std::string ownAddress)
        : network(fakeNetwork)
        , address(std::move(ownAddress))
    {
    }

    FakeTransport(const FakeTransport &) = delete;
    FakeTransport &operator=(const FakeTransport &) = delete;

    ~FakeTransport() override
    {
        this->network.receivers.erase(this->address);
    }

    std::uint16_t listen(const std::string &, std::uint16_t port) override
    {
        return port;
    }

    void send(const std::string &peer, std::string_view bytes) override
    {
        const auto found = this->network.receivers.find(peer);
        const auto &separated = this->network.separated;
        if (found != this->network.receivers.end() && separated.contains(peer) == separated.contains(this->address)) {
            const auto receiver = found->second;
            receiver(this->address, bytes);
        }
    }

    void onMessage(MessageCallback callback) override
    {
        this->network.receivers[this->address] = std::move(callback);
    }

    void onClosed(ClosedCallback) override
    {
    }

    Peers::TransportCounters counters() const override
    {
        return {};
    }

    void stop() override
    {
    }

private:
    FakeNetwork &network;
    std::string address;
};

std::unique_ptr<Peers::Transport> FakeNetwork::makeTransport(const std::string &address)
{
    return std::make_unique<FakeTransport>(*this, address);
}

} // namespace Briarbend::Gateway
