#include "daemon/peers/member_setup.h"

namespace goldcrestline::daemon::peers {

namespace {

constexpr double millicoresPerCore = 1000;

} // namespace

policy::membership::Member selfMember(const adapters::settings::Settings &settings,
                                      std::uint64_t incarnation)
{
    policy::membership::Member self;
    self.name = settings.host.name.value;
    self.zone = settings.host.zone.value;
    self.region = settings.host.region.value;
    self.callersAddress = settings.listen.callers.value;
    self.controlAddress = settings.listen.control.value;
    self.peersAddress = settings.listen.peers.value;
    self.relayAddress = settings.listen.relay.value;
    self.capacity = static_cast<std::uint32_t>(millicoresPerCore * availableCores(settings));
    self.incarnation = incarnation;
    return self;
}

policy::membership::MembershipTimings
membershipTimings(const adapters::settings::Settings &settings)
{
    policy::membership::MembershipTimings timings;
    timings.period = settings.peers.periodMs.millis();
    timings.suspicionTimeout = settings.peers.suspicionMs.millis();
    timings.handoverRetention = settings.callers.keyLifeMs.millis();
    return timings;
}

double availableCores(const adapters::settings::Settings &settings)
{
    return settings.host.coreShare.value * static_cast<double>(settings.host.cores.value);
}

} // namespace goldcrestline::daemon::peers
