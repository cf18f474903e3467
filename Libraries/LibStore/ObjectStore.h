#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// The platform's object store and instance list: the only judge of what must last or be unique.
namespace Briarbend::Store
{

/// Revision of the whole store at which an object was last written. Grows with every write of any object; zero stands for none.
using Version = std::uint64_t;

/// Largest value of one object.
constexpr std::size_t MAXIMUM_VALUE_BYTES{1024UL * 1024UL};

struct Object {
    std::string value;
    Version version{0};

    bool operator==(const Object &) const = default;
};

/// No object has the key.
struct Absent {
    bool operator==(const Absent &) const = default;
};

/// No usable answer; a write was surely not done.
struct Unavailable {
    /// For operators and logs; never decides anything.
    std::string reason;

    bool operator==(const Unavailable &) const = default;
};

using ReadResult = std::variant<Object, Absent, Unavailable>;

/// Writes over whatever the key holds.
struct Unconditional {
};
/// Writes only over this version.
struct IfVersion {
    Version version{0};
};
/// Writes only where the key holds nothing.
struct IfAbsent {
};

using Condition = std::variant<Unconditional, IfVersion, IfAbsent>;

/// The write is durable under this version.
struct Written {
    Version version{0};

    bool operator==(const Written &) const = default;
};

/// The condition did not hold; nothing was written.
struct Conflict {
    /// The version that the key holds, zero where it holds none.
    Version currentVersion{0};

    bool operator==(const Conflict &) const = default;
};

/// The request was sent and its answer lost: the write may have been done. Only reading the object settles it.
struct Unknown {
    /// For operators and logs; never decides anything.
    std::string reason;

    bool operator==(const Unknown &) const = default;
};

using WriteResult = std::variant<Written, Conflict, Unavailable, Unknown>;

struct ObjectVersion {
    std::string key;
    Version version{0};

    bool operator==(const ObjectVersion &) const = default;
};

/// Keys below a prefix, without their values.
struct Listing {
    /// The store's revision when the listing was made; watch after it to miss nothing.
    Version revision{0};
    std::vector<ObjectVersion> objects;

    bool operator==(const Listing &) const = default;
};

/// Nothing below the prefix was written during the wait.
struct Unchanged {
    bool operator==(const Unchanged &) const = default;
};

using ListResult = std::variant<Listing, Unavailable>;
using WatchResult = std::variant<Listing, Unchanged, Unavailable>;

enum class InstanceState {
    Live,
    /// Wants no new work.
    Leaving,
};

/// Name of the service under which the platform lists the entry instances.
constexpr const char *ENTRY_SERVICE{"briarbend"};

/// One line of the platform's list, which lags.
struct ListedInstance {
    /// "address:port": where a target takes requests, or an entry instance its peers.
    std::string address;
    Core::ServiceName service;
    Core::DataCentreName dataCentre;
    Core::VersionName version;
    InstanceState state{InstanceState::Live};

    bool operator==(const ListedInstance &) const = default;
};

using InstancesResult = std::variant<std::vector<ListedInstance>, Unavailable>;

/// The store as the decisions see it. Failures are results; exceptions are programming errors, among them std::invalid_argument for a key
/// outside [A-Za-z0-9._/-] and std::length_error for a value above MAXIMUM_VALUE_BYTES. Every call counts against the platform's rates, a
/// waiting watch as one.
class ObjectStore
{
public:
    virtual ~ObjectStore() = default;

    virtual boost::asio::awaitable<ReadResult> read(std::string key) = 0;
    virtual boost::asio::awaitable<WriteResult> write(std::string key, std::string value, Condition condition) = 0;
    /// Answers as soon as an object below the prefix has a version above the revision, at the latest after the wait.
    virtual boost::asio::awaitable<WatchResult> watch(std::string prefix, Version afterRevision, Core::Duration wait) = 0;
    virtual boost::asio::awaitable<ListResult> list(std::string prefix) = 0;
    /// Targets of all services, and the entry instances themselves under ENTRY_SERVICE.
    virtual boost::asio::awaitable<InstancesResult> instances() = 0;
};

} // namespace Briarbend::Store
