#pragma once

#include "core/clock.h"

#include <map>
#include <set>
#include <string>
#include <unordered_map>

// Start-time fair queueing: orders the requests of workspaces that compete for the same servers.
namespace goldcrestline::policy::admission {

// Place of one request in the fair order of its priority. Created by FairShare::begin.
struct FairTicket
{
    int priority = 0;
    std::string workspace;
    // Virtual time at which the request's turn comes; lower ones go first.
    double startTag = 0;
    // Work of the request, in ms of one server slot.
    double cost = 0;
    // Not all of the request has been sent.
    bool waiting = false;
};

// Start tags of the requests of all workspaces, by priority. The virtual time of a priority is the
// lowest start tag of the requests that are not completely sent yet, or else the highest one that
// was sent. Work that is never sent is not charged. Not thread-safe.
class FairShare
{
public:
    // Assigns the place of a new request. Requests without a workspace share the name "". Tags of
    // requests of one workspace that wait at the same time are in the order of the calls.
    // Precondition: `cost` is at least 0.
    FairTicket begin(int priority, const std::string &workspace, double cost, core::TimePoint now);

    // Records that all of the request was sent.
    void onSent(FairTicket &ticket);

    // Records the end of a request of which work of `unsentCost` was not sent, and refunds that
    // work. Call once for each ticket.
    void onEnded(FairTicket &ticket, double unsentCost);

    // Returns the most urgent priority of the requests so far; the largest number without any.
    int mostUrgent() const;

    // Returns how many workspaces are remembered, over all priorities.
    std::size_t size() const;

private:
    struct Flow
    {
        double finishTag = 0;
        core::TimePoint updatedAt{};
        // Start tags of the requests that are not completely sent.
        std::multiset<double> waiting;
    };
    struct Level
    {
        double virtualTime = 0;
        std::unordered_map<std::string, Flow> flows;
        std::multiset<double> waiting;
        // Number of flows at which idle ones are removed.
        std::size_t sweepAt = 0;
    };

    static void stopWaiting(Level &level, FairTicket &ticket);
    // Returns the distance of the workspace's finish tag from the virtual time, which decays.
    static double leadAt(const Level &level, const Flow &flow, core::TimePoint now);
    // Removes the workspaces without such a distance.
    static void removeIdle(Level &level, core::TimePoint now);

    std::map<int, Level> m_levels;
};

} // namespace goldcrestline::policy::admission
