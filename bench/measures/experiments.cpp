#include "experiments.h"

#include "load_profile.h"
#include "load_report.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <set>
#include <thread>

namespace dandelionstall::measures {

namespace json = boost::json;
using namespace standins;
using namespace testing;
using std::chrono::milliseconds;

namespace {

constexpr double LookupSeconds = 0.1; // mean run time of a lookup
constexpr double BookSeconds = 0.2;   // mean run time of a booking
constexpr double BookShare = 0.2;     // share of bookings among the requests
constexpr double MeanSeconds = LookupSeconds * (1 - BookShare) + BookSeconds * BookShare;
constexpr double BookWorth = 5;
constexpr double OrdinaryUse = 0.5;          // share of the slots in use under ordinary load
constexpr double LightUse = 0.3;             // share of the slots in use by short requests; leaves slots for the stragglers
constexpr double PeakLoadFactor = 3;         // peak load as a multiple of the capacity
constexpr milliseconds OrdinaryLength{3000}; // duration of the ordinary load before and after the peak load
constexpr milliseconds PeakLoadLength{4000}; // duration of the peak load
constexpr milliseconds BudgetInterval{20};   // length of the intervals of slot_budget
constexpr double JitterMs = 2;               // jitter of the delay on every path except those within a data centre
constexpr double LossShare = 0.01;           // loss on every path except those within a data centre
constexpr milliseconds DetectionCap{8000};   // a detection that takes longer is reported with this time
constexpr milliseconds PollInterval{50};
constexpr milliseconds WarmUp{2000};
constexpr milliseconds ObservationLength{4000}; // duration of the observation before and after the process pause
constexpr milliseconds StragglerLength{10000};  // duration of a run with or without stragglers
constexpr milliseconds PauseLength{1500};       // duration of the process pause
constexpr double StragglerShare = 0.01;         // share of stragglers among the requests

// Returns the requests per second that keep this share of the slots in use.
double rateFor(const site &place, double use)
{
    return measuredSlots(place) * use / (MeanSeconds * place.costFactor);
}

std::string phaseText(const std::string &name, milliseconds length, double rate)
{
    return fmt::format("[phase.{}]\nseconds={}\nrate={}\n", name, std::chrono::duration<double>(length).count(), rate);
}

std::string classesText(const site &place, double stragglerShare)
{
    std::string text
        = fmt::format("[class.lookup]\nshare={}\npath=/lookup\nidempotent=yes\ncost_ms={:.0f}\ncost_sigma=0.3\ndeadline_ms=2000\n"
                      "[class.book]\nshare={}\npath=/book\nmethod=POST\nidempotent=no\ncost_ms={:.0f}\ncost_sigma=0.3\ndeadline_ms=2000\nworth={}\n",
                      1 - BookShare - stragglerShare,
                      LookupSeconds * place.costFactor * 1000,
                      BookShare,
                      BookSeconds * place.costFactor * 1000,
                      BookWorth);
    if (stragglerShare > 0) {
        text += fmt::format("[class.manual]\nshare={}\npath=/manual\nidempotent=yes\ncost_ms=10000\ndeadline_ms=30000\n", stragglerShare);
    }
    return text;
}

// Fleet of processes of one deployment, started with the path rules of the fault proxy.
struct running_site {
    fleet processes;

    explicit running_site(const experiment &setup)
        : processes(planSite(setup.place, setup.policies, setup.seed))
    {
        processes.start();
        processes.setPaths(pathRules(setup.place, processes, JitterMs, LossShare));
    }
};

measurement makeMeasurement(const experiment &setup, const std::string &measure, const std::string &variant, double value, const std::string &unit)
{
    return {measure, setup.place.name, setup.policies.name, variant, setup.seed, value, unit};
}

// Returns the states of a pool's workers that a node's admin API shows; empty when the request fails.
std::map<std::string, std::string> shownStates(const fleet_node &node, const std::string &pool)
{
    std::map<std::string, std::string> states;
    const http_outcome outcome = getHttp(node.admin, "/v1/pools/" + pool);
    if (outcome.status != 200) {
        return states;
    }
    const json::value body = json::parse(outcome.body);
    for (const json::value &member : body.at("members").as_array()) {
        states[json::value_to<std::string>(member.at("id"))] = json::value_to<std::string>(member.at("state"));
    }
    return states;
}

bool isExcluded(const std::map<std::string, std::string> &states, const std::string &worker)
{
    const auto state = states.find(worker);
    return state != states.end() && (state->second == "ejected" || state->second == "unreachable");
}

std::vector<call_record> playLoad(const experiment &setup, const std::string &profile)
{
    running_site running(setup);
    return running.processes.startLoad(profile).finish();
}

// Free slot time in each short interval of a run, for a schedule in which a request can be split into parts of any size.
class slot_budget
{
public:
    slot_budget(std::uint32_t slots, std::chrono::microseconds start)
        : m_slots(slots)
        , m_start(start)
    { }

    // Allocates slot time within the window, earliest first. Returns false and allocates nothing if too little is free.
    bool allocate(std::chrono::microseconds from, std::chrono::microseconds to, std::chrono::microseconds work)
    {
        std::map<std::int64_t, std::int64_t> parts;
        std::int64_t missing = work.count();
        for (std::int64_t interval = (from - m_start) / BudgetInterval; missing > 0 && interval < (to - m_start) / BudgetInterval; ++interval) {
            const std::int64_t part = std::min(missing, freeTime(interval));
            parts[interval] = part;
            missing -= part;
        }
        if (missing > 0) {
            return false;
        }
        for (const auto &[interval, part] : parts) {
            m_freeTime[interval] = freeTime(interval) - part;
        }
        return true;
    }

private:
    std::int64_t freeTime(std::int64_t interval) const
    {
        const auto found = m_freeTime.find(interval);
        return found != m_freeTime.end() ? found->second : m_slots * std::chrono::microseconds(BudgetInterval).count();
    }

    std::int64_t m_slots;                            // slots of the pool
    std::chrono::microseconds m_start;               // start of the run
    std::map<std::int64_t, std::int64_t> m_freeTime; // free microseconds by index of the interval; an absent interval is entirely free
};

// Returns the ids of the requests that a scheduler with full knowledge answers in time, when it selects those with the
// highest worth per slot time first.
std::set<std::string> achievableCalls(const experiment &setup, const std::vector<call_record> &calls, std::chrono::microseconds start)
{
    std::vector<const call_record *> offered;
    offered.reserve(calls.size());
    for (const call_record &call : calls) {
        offered.push_back(&call);
    }
    const auto density = [](const call_record *call) {
        return call->worth / std::max(1.0, static_cast<double>(call->cost.count()));
    };
    std::sort(offered.begin(), offered.end(), [&](const call_record *a, const call_record *b) { return density(a) > density(b); });
    slot_budget budget(measuredSlots(setup.place), start);
    std::set<std::string> answered;
    for (const call_record *call : offered) {
        if (budget.allocate(call->due, call->due + call->deadline, call->cost)) {
            answered.insert(call->id);
        }
    }
    return answered;
}

std::chrono::microseconds shortP99(const std::vector<call_record> &calls)
{
    return summarize(calls).classes.at("lookup").p99;
}

} // namespace

std::vector<measurement> measureDetection(const experiment &setup, const std::string &variant, const std::string &fault)
{
    running_site running(setup);
    fleet &fleet = running.processes;
    const std::string &pool = setup.place.pools.front().name;
    const std::string faultyWorker = pool + "-1";
    load_job load = fleet.startLoad(phaseText("all", DetectionCap + DetectionCap + WarmUp, rateFor(setup.place, OrdinaryUse)) + classesText(setup.place, 0));
    fleet.awaitRuns(static_cast<std::size_t>(std::chrono::duration<double>(WarmUp).count() * rateFor(setup.place, OrdinaryUse)));
    if (fault == "killed") {
        fleet.worker(faultyWorker).process.kill();
    } else {
        fleet.setFault(faultyWorker, fault);
    }
    const state::time_point start = state::clock::now();
    const auto detectedShare = [&] {
        double count = 0;
        for (std::size_t i = 0; i < fleet.nodeCount(); ++i) {
            count += isExcluded(shownStates(fleet.node(i), pool), faultyWorker) ? 1 : 0;
        }
        return count / static_cast<double>(fleet.nodeCount());
    };
    std::vector<measurement> rows;
    for (const auto &[share, name] : {std::pair{0.5, "half"}, std::pair{0.9, "nine tenths"}}) {
        waitUntil([&] { return detectedShare() >= share; }, DetectionCap);
        const std::chrono::duration<double, std::milli> elapsed = state::clock::now() - start;
        rows.push_back(
            makeMeasurement(setup, "detection", fmt::format("{}, known to {}", variant, name), std::min<double>(elapsed.count(), DetectionCap.count()), "ms"));
    }
    return rows;
}

measurement measureFalseEjections(const experiment &setup)
{
    running_site running(setup);
    fleet &fleet = running.processes;
    const std::string &pool = setup.place.pools.front().name;
    load_job load = fleet.startLoad(phaseText("all", ObservationLength + ObservationLength + PauseLength, rateFor(setup.place, OrdinaryUse))
                                    + classesText(setup.place, 0));
    std::set<std::string> ejected;
    const auto observe = [&](milliseconds length) {
        const state::time_point end = state::clock::now() + length;
        while (state::clock::now() < end) {
            for (std::size_t i = 0; i < fleet.nodeCount(); ++i) {
                for (const auto &[worker, state] : shownStates(fleet.node(i), pool)) {
                    if (state == "ejected") {
                        ejected.insert(worker);
                    }
                }
            }
            std::this_thread::sleep_for(PollInterval);
        }
    };
    observe(ObservationLength);
    fleet.node(0).process.signal(SIGSTOP);
    std::this_thread::sleep_for(PauseLength);
    fleet.node(0).process.signal(SIGCONT);
    observe(ObservationLength);
    return makeMeasurement(setup, "false_ejections", "jitter, loss and a paused node", static_cast<double>(ejected.size()), "workers");
}

measurement measurePeakLoad(const experiment &setup)
{
    const double ordinaryRate = rateFor(setup.place, OrdinaryUse);
    const std::string profile = phaseText("quiet", OrdinaryLength, ordinaryRate) + phaseText("crest", PeakLoadLength, rateFor(setup.place, PeakLoadFactor))
                                + phaseText("after", OrdinaryLength, ordinaryRate) + classesText(setup.place, 0);
    const std::vector<call_record> calls = playLoad(setup, profile);
    std::chrono::microseconds first = calls.front().due;
    for (const call_record &call : calls) {
        first = std::min(first, call.due);
    }
    const auto from = first + std::chrono::microseconds(OrdinaryLength);
    const auto to = from + std::chrono::microseconds(PeakLoadLength);
    const std::set<std::string> achievable = achievableCalls(setup, calls, first);
    double worth = 0;
    double best = 0;
    for (const call_record &call : calls) {
        const bool duringPeakLoad = call.due >= from && call.due < to;
        worth += duringPeakLoad && isUseful(call) ? call.worth : 0;
        best += duringPeakLoad && achievable.contains(call.id) ? call.worth : 0;
    }
    return makeMeasurement(setup, "crest", "three times the capacity", worth / best, "share");
}

measurement measureShortBehindLong(const experiment &setup)
{
    const std::string load = phaseText("all", StragglerLength, rateFor(setup.place, LightUse));
    const auto without = shortP99(playLoad(setup, load + classesText(setup.place, 0)));
    const auto with = shortP99(playLoad(setup, load + classesText(setup.place, StragglerShare)));
    return makeMeasurement(
        setup, "short_behind_long", "p99 with over p99 without", static_cast<double>(with.count()) / static_cast<double>(without.count()), "ratio");
}

} // namespace dandelionstall::measures
