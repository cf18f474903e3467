#include "ConfigurationFeed.h"

#include <LibConfiguration/SectionReader.h>
#include <LibConfiguration/StoredSection.h>
#include <LibCore/RendezvousHash.h>
#include <LibLog/Log.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Briarbend::Daemon
{

namespace
{

/// Instances that watch the store at once; the others hear from peers.
constexpr std::size_t WATCHERS = 2;
constexpr std::chrono::seconds WATCH_WAIT{20};
/// How often an instance that does not watch asks the store, as a floor under the spread by peers.
constexpr std::chrono::seconds SLOW_POLL{15};
/// How often a slowly polling instance looks whether it has become a watcher.
constexpr std::chrono::milliseconds WATCHER_CHECK{500};
constexpr std::chrono::milliseconds STORE_RETRY{250};

const auto &logger()
{
    static const auto named = Log::logger("configuration");
    return named;
}

} // namespace

ConfigurationFeed::ConfigurationFeed(boost::asio::io_context &ioContext,
                                     Store::ObjectStore &objectStore,
                                     Coordination::PeerLink &peerLink,
                                     SectionsCallback sectionsCallback)
    : context(ioContext)
    , store(objectStore)
    , peers(peerLink)
    , callback(std::move(sectionsCallback))
{
}

void ConfigurationFeed::start()
{
    boost::asio::co_spawn(this->context, this->follow(), boost::asio::detached);
}

const Configuration::Sections &ConfigurationFeed::sections() const
{
    return this->inForce;
}

void ConfigurationFeed::takeFromPeers(const std::vector<Gossip::SectionText> &changed)
{
    const auto news = std::ranges::count_if(changed, [this](const Gossip::SectionText &text) {
        return this->bringIntoForce(text);
    });
    if (news > 0) {
        this->callback(this->inForce);
    }
}

void ConfigurationFeed::takeAccepted(const Gossip::SectionText &accepted)
{
    Configuration::parseSection(accepted.team, accepted.text, accepted.storeVersion, Configuration::sectionKey(accepted.team));
    const bool isNew = this->bringIntoForce(accepted);
    if (isNew) {
        this->peers.publishSection(accepted);
        this->callback(this->inForce);
    }
}

boost::asio::awaitable<void> ConfigurationFeed::follow()
{
    boost::asio::steady_timer pause(this->context);
    while (true) {
        const bool isRead = co_await this->refresh();
        if (isRead) {
            co_await this->waitForNews();
            continue;
        }
        pause.expires_after(STORE_RETRY);
        co_await pause.async_wait(boost::asio::use_awaitable);
    }
}

boost::asio::awaitable<void> ConfigurationFeed::waitForNews()
{
    const auto pollAt = Core::Clock::now() + SLOW_POLL;
    boost::asio::steady_timer pause(this->context);
    while (!this->isWatcher() && Core::Clock::now() < pollAt) {
        pause.expires_after(WATCHER_CHECK);
        co_await pause.async_wait(boost::asio::use_awaitable);
    }
    if (this->isWatcher()) {
        // Whatever the answer is, the next refresh reads what it announces.
        co_await this->store.watch(std::string(Configuration::SECTION_KEY_PREFIX), this->revision, WATCH_WAIT);
    }
}

boost::asio::awaitable<bool> ConfigurationFeed::refresh()
{
    const auto startedAt = Core::Clock::now();
    const auto listed = co_await this->store.list(std::string(Configuration::SECTION_KEY_PREFIX));
    const auto *listing = std::get_if<Store::Listing>(&listed);
    if (listing == nullptr) {
        co_return false;
    }
    bool hasNews = false;
    for (const auto &object : listing->objects) {
        const auto team = Configuration::teamOfSectionKey(object.key);
        const auto held = this->inForce.find(team);
        if (held != this->inForce.end() && held->second.storeVersion >= object.version) {
            continue;
        }
        const auto read = co_await this->store.read(object.key);
        if (std::holds_alternative<Store::Unavailable>(read)) {
            co_return false;
        }
        if (const auto *found = std::get_if<Store::Object>(&read)) {
            hasNews = this->readSection(object.key, *found) || hasNews;
        }
    }
    this->revision = listing->revision;
    if (hasNews) {
        this->callback(this->inForce);
    }
    // A freeze during the reads would make the confirmation older than it claims.
    if (Core::Clock::now() - startedAt < Membership::FREEZE_LIMIT) {
        this->peers.confirmWithStore();
    }
    co_return true;
}

bool ConfigurationFeed::readSection(const std::string &key, const Store::Object &object)
{
    try {
        const auto stored = Configuration::parseStoredSection(object.value, key);
        const Gossip::SectionText text{.team = Configuration::teamOfSectionKey(key), .storeVersion = object.version, .text = stored.text};
        const bool isNew = this->bringIntoForce(text);
        this->peers.publishSection(text);
        return isNew;
    } catch (const std::exception &exception) {
        LOG4CXX_ERROR(logger(), "object " << key << " of version " << object.version << " is no section: " << exception.what());
        return false;
    }
}

bool ConfigurationFeed::bringIntoForce(const Gossip::SectionText &text)
{
    const auto held = this->inForce.find(text.team);
    if (held != this->inForce.end() && held->second.storeVersion >= text.storeVersion) {
        return false;
    }
    try {
        auto section = Configuration::parseSection(text.team, text.text, text.storeVersion, Configuration::sectionKey(text.team));
        this->inForce.insert_or_assign(text.team, std::move(section));
        LOG4CXX_INFO(logger(), "section " << text.team.value << " in force at version " << text.storeVersion);
        return true;
    } catch (const std::exception &exception) {
        LOG4CXX_ERROR(logger(),
                      "section " << text.team.value << " of version " << text.storeVersion << " stays out of force: " << exception.what());
        return false;
    }
}

bool ConfigurationFeed::isWatcher() const
{
    const auto &members = this->peers.state().members;
    std::vector<std::string> names;
    std::ranges::transform(Membership::aliveMembers(members), std::back_inserter(names), [](const Core::InstanceId &id) {
        return id.value;
    });
    const auto watchers = Core::rendezvousOrder(names, Configuration::SECTION_KEY_PREFIX, WATCHERS);
    return std::ranges::find(watchers, members.self.value) != watchers.end();
}

} // namespace Briarbend::Daemon
