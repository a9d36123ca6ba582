// The store cuts the watches that wait, and a worker leaves without reporting it.
#include "../standins-2/lab.h"

#include <iostream>
#include <string>
#include <thread>

using namespace review;

namespace {

constexpr std::size_t Leaving = 4;       // machine of the worker that leaves
constexpr milliseconds SettleTime{8000}; // from the start of the machines to traffic, as on the sheets
constexpr milliseconds CalmTime{4000};   // traffic before the change; more than contactMs
constexpr milliseconds DrainTime{2000};  // drainMs
constexpr milliseconds ServesOn{2450};   // the worker serves for drainMs and a little longer, then it exits
constexpr milliseconds CutBefore{20};    // from the cut of the watches to the removal of the entry
constexpr milliseconds TimeAfterwards{2500};
constexpr std::size_t Machines = 6;
constexpr milliseconds WatchersTime{5000}; // time for all nodes to wait at the store at the same moment

bool awaitWatchers(const store &platform)
{
    const time_point until = clock::now() + WatchersTime;
    while (platform.countWaiting() < Machines && clock::now() < until) {
        sleepFor(milliseconds(1));
    }
    return platform.countWaiting() == Machines;
}

} // namespace

int main(int, char **argv)
{
    lab bench(std::string(argv[1]) + "/record.txt",
              {.machines = {{"zone-a"}, {"zone-b"}, {"zone-c"}, {"zone-a"}, {"zone-b"}, {"zone-c"}},
               .work = milliseconds(150),
               .configuration = makeConfiguration(1, "orders")});
    bench.startAll();
    sleepFor(SettleTime);
    bench.load({.pause = milliseconds(50), .callers = 4});
    sleepFor(CalmTime);

    const std::string leavingId = bench.workerAt(Leaving).id();
    bench.stopHeartbeat(Leaving);
    if (!awaitWatchers(bench.platform())) {
        bench.write("the nodes did not wait at the store at the same moment");
        bench.finish(2);
    }
    if (hasTrouble()) {
        bench.write("the store cuts " + std::to_string(bench.platform().cutWatches()) + " waiting watches");
        sleepFor(CutBefore);
    }
    bench.platform().remove("servers/" + leavingId);
    const time_point ackedAt = clock::now();
    bench.write("acknowledged: the entry of " + leavingId + " is removed; the worker serves on");
    std::this_thread::sleep_until(ackedAt + ServesOn);
    bench.workerAt(Leaving).leave();
    bench.write("worker " + leavingId + " has exited");
    sleepFor(TimeAfterwards);
    bench.stopLoad();

    recordTraffic(bench);
    const std::size_t late = recordLateRuns(bench, leavingId, ackedAt, DrainTime, ackedAt);
    const std::size_t unknown = countUnknownBookings(bench, ackedAt);
    const std::size_t served = countServed(bench);
    const std::string summary = std::to_string(late) + " requests reached the worker later than drainMs after the ack; " + std::to_string(unknown)
                                + " bookings ended with an unknown outcome; " + std::to_string(served) + " requests were served";
    bench.write(summary);
    std::cout << summary << "\n";
    if (served == 0) {
        bench.finish(2);
    }
    bench.finish(late > 0 ? 1 : 0);
}
