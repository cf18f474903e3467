#pragma once

#include <LibAdmission/ServiceAdmission.h>
#include <LibFleet/Ranking.h>

#include <map>

namespace Briarbend::Admission
{

using namespace std::chrono_literals;

/// Requests of one priority to the service.
struct Load {
    std::uint32_t priority{0};
    double perSecond{0};
    std::chrono::milliseconds work{0};
    std::chrono::milliseconds objective{0};
};

struct Outcome {
    int arrived{0};
    int sent{0};
    int inTime{0};
    int refused{0};
    int refusedLate{0};

    double inTimeShare() const
    {
        return this->arrived > 0 ? static_cast<double>(this->inTime) / this->arrived : 1;
    }
};

/// Some instances that send requests to the targets of one service, in virtual time.
class SimulatedService
{
public:
    SimulatedService(std::size_t targetCount, bool isByValue, std::uint64_t seed = 7);

    void run(std::chrono::milliseconds duration, const std::vector<Load> &loads);
    /// Only the first targets stay.
    void keepTargets(std::size_t targetCount);

    std::map<std::uint32_t, Outcome> outcomes;
    /// Share of the requests that targets shed although they have free slots.
    double shedShare{0};
    int queued{0};
    double reservedShare(std::uint32_t priority) const;

private:
    struct Request {
        Load load;
        Core::TimePoint arrivedAt;
    };

    struct Instance {
        ServiceAdmission admission;
        Fleet::ServiceState service;
        std::map<std::uint64_t, Request> waiting;
        std::vector<Core::TimePoint> ends;
    };

    struct Target {
        std::vector<Core::TimePoint> slotsFreeAt;
        std::vector<Core::TimePoint> ends;
    };

    void step(const std::vector<Load> &loads);
    void arrive(Instance &instance, const Load &load);
    void advanceQueue(Instance &instance);
    WaitingRequest describe(const Request &request) const;
    bool search(Instance &instance, const Request &request, bool isQueued);
    void send(Instance &instance, const Request &request, const std::string &target);
    void refuse(const Request &request);
    std::uint32_t inFlight(const std::string &target) const;

    bool isByValue;
    Core::Random random;
    Core::TimePoint now{100s};
    std::map<std::string, Target> targets;
    std::vector<Instance> instances;
};

} // namespace Briarbend::Admission
