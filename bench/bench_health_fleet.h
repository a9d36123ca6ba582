// Simulates a pool under load for bench_health: workers with faults, sidecars that send reports, and observers that
// balance and eject.
//
// Nodes and their protocols are not simulated: a loop with fixed steps records outcomes in worker_outcome_tracker, passes
// the reports to each observer's pool_tracker with the delay, jitter and loss of the deployment, and selects workers by
// calling balancers with the observers' views.
#pragma once

#include "bench_health_requests.h"

#include <dandelionstall/coordination/balancing/balancer.h>
#include <dandelionstall/coordination/health/pool_tracker.h>
#include <dandelionstall/coordination/health/worker_outcome_tracker.h>

#include <fmt/format.h>
#include <pcg_random.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <random>

namespace bench_health {

using ejection_counts = std::map<ejection_reason, std::uint64_t>; // number of ejections by reason

class fleet
{
public:
    fleet(fleet_options options, std::uint64_t seed)
        : m_options(std::move(options))
        , m_random(seed)
    {
        const auto table = makeTable();
        for (int i = 0; i < m_options.place.workers; ++i) {
            m_workers.emplace_back();
            m_workers.back().outcomeTracker = makeWorkerOutcomeTracker();
            addObserver(i, table);
        }
    }

    void setFault(std::size_t worker, worker_fault fault)
    {
        m_workers[worker].fault = fault;
        m_faulty = worker;
    }

    void run(milliseconds span)
    {
        for (const state::time_point until = m_now + span; m_now < until; m_now += Step) {
            deliver();
            admitArrivals();
            runWorkers();
            runSidecars();
            runObservers();
        }
    }

    state::time_point now() const
    {
        return m_now;
    }

    // Returns the share of observers in whose view the worker is ejected.
    double ejectedShare(std::size_t worker) const
    {
        const auto count = std::count_if(
            m_observers.begin(), m_observers.end(), [worker](const observer_record &row) { return row.view->workers[worker].state == worker_state::ejected; });
        return static_cast<double>(count) / static_cast<double>(m_observers.size());
    }

    const ejection_counts &falseEjections() const // ejections of workers without a fault, summed over observers
    {
        return m_falseEjections;
    }

    const service_record &service() const
    {
        return m_service;
    }

private:
    struct worker_record {
        worker_fault fault = worker_fault::none;
        std::unique_ptr<worker_outcome_tracker> outcomeTracker;
        std::deque<request_record> queue;
        std::vector<request_record> running;
        std::uint64_t version = 0;
    };

    struct observer_record {
        std::string dataCentre;
        std::unique_ptr<balancer> policy;
        std::unique_ptr<pool_tracker> tracker;
        std::shared_ptr<const pool_view> view;
        std::vector<std::uint32_t> inFlight;                                  // per worker: in-flight requests of this observer
        std::vector<std::unique_ptr<worker_outcome_tracker>> outcomeTrackers; // per worker: outcomes of this observer's requests, for per_observer
        std::vector<std::uint64_t> versions;                                  // per worker: version of its last report, for per_observer
    };

    // A report on its way to an observer.
    struct message {
        std::size_t observer = 0;
        worker_report report;
    };

    static state::node_address nodeOf(int index)
    {
        return {"10.0.0.1", static_cast<std::uint16_t>(7000 + index)};
    }

    std::string dataCentreOf(int index) const
    {
        return fmt::format("dc{}", index % m_options.place.dataCentres);
    }

    std::shared_ptr<const state::pool_table> makeTable() const
    {
        auto table = std::make_shared<state::pool_table>();
        state::pool pool;
        pool.name = m_options.place.pool;
        pool.ejector = m_options.ejector;
        for (int i = 0; i < m_options.place.workers; ++i) {
            pool.workers.push_back({fmt::format("w{}", i), dataCentreOf(i), nodeOf(i), m_options.place.slots});
        }
        table->pools.push_back(std::move(pool));
        return table;
    }

    void addObserver(int index, const std::shared_ptr<const state::pool_table> &table)
    {
        observer_record row;
        row.dataCentre = dataCentreOf(index);
        row.policy = std::move(*makeBalancer(m_options.balancer));
        row.tracker = std::make_unique<pool_tracker>(static_cast<std::uint64_t>(index), row.dataCentre);
        row.tracker->setTable(table, m_now);
        row.tracker->addLocalPool(m_options.place.pool);
        row.view = row.tracker->views().begin()->second;
        row.inFlight.assign(static_cast<std::size_t>(m_options.place.workers), 0);
        row.versions = std::vector<std::uint64_t>(row.inFlight.size(), 0);
        for (std::size_t i = 0; i < row.inFlight.size(); ++i) {
            row.outcomeTrackers.push_back(makeWorkerOutcomeTracker());
        }
        m_observers.push_back(std::move(row));
    }

    bool isDue(milliseconds period, std::size_t index) const // true once per period, at different times for different indices
    {
        const auto steps = static_cast<std::uint64_t>(m_now.time_since_epoch() / Step);
        return (steps + index * 7) % static_cast<std::uint64_t>(period / Step) == 0;
    }

    double chance()
    {
        return std::uniform_real_distribution<double>(0.0, 1.0)(m_random);
    }

    void admitArrivals()
    {
        const double mean = static_cast<double>(m_workers.size()) * std::chrono::duration<double>(Step) / m_options.spacing;
        const int arrivals = std::poisson_distribution<int>(mean)(m_random);
        for (int i = 0; i < arrivals; ++i) {
            admit();
        }
    }

    void admit()
    {
        request_record item;
        item.id = {1, ++m_sequence};
        item.arrivedAt = m_now;
        item.observer = m_random() % m_observers.size();
        item.isLong = chance() < m_options.longShare;
        observer_record &observer = m_observers[item.observer];
        pick_request request;
        request.dataCentre = observer.dataCentre;
        request.inFlight = observer.inFlight;
        request.isLong = item.isLong;
        request.random = m_random();
        request.now = m_now;
        const std::size_t index = observer.policy->pick(*observer.view, request);
        if (index == NoWorker) {
            ++m_service.failed;
            return;
        }
        ++observer.inFlight[index];
        observer.outcomeTrackers[index]->recordStart(item.id, routeOf(item), m_now);
        m_workers[index].queue.push_back(item);
    }

    microseconds costOf(bool isLong) const
    {
        return isLong ? microseconds(m_options.cost) * static_cast<int>(LongFactor) : microseconds(m_options.cost);
    }

    microseconds drawRunTime(const request_record &item, worker_fault fault)
    {
        double factor = std::lognormal_distribution<double>(-0.08, 0.4)(m_random);
        factor *= !item.isLong && chance() < m_options.stragglerShare ? StragglerFactor : 1.0;
        factor *= fault == worker_fault::slow ? SlowFactor : 1.0;
        return std::chrono::duration_cast<microseconds>(costOf(item.isLong) * factor);
    }

    void startWork(worker_record &worker, request_record item)
    {
        item.startedAt = m_now;
        item.endsAt = m_now + drawRunTime(item, worker.fault);
        if (worker.fault == worker_fault::dead) {
            item.endsAt = m_now + milliseconds{1};
            item.fails = true;
        } else if (worker.fault == worker_fault::unresponsive || worker.fault == worker_fault::unresponsive_probes_pass) {
            item.endsAt = state::time_point::max();
        } else if (worker.fault == worker_fault::partial_failures) {
            item.fails = chance() < PartialFailureShare;
        }
        worker.outcomeTracker->recordStart(item.id, routeOf(item), m_now);
        worker.running.push_back(item);
    }

    void runWorkers()
    {
        for (std::size_t index = 0; index < m_workers.size(); ++index) {
            worker_record &worker = m_workers[index];
            std::erase_if(worker.running, [&](const request_record &item) { return endWork(index, item); });
            while (worker.running.size() < m_options.place.slots && startNext(worker)) { }
        }
    }

    // Starts the first waiting request that may start. As in the admission policy, a long request doesn't get the last free
    // slot.
    bool startNext(worker_record &worker)
    {
        const bool shortOnly = worker.running.size() + 1 >= m_options.place.slots;
        const auto next
            = std::find_if(worker.queue.begin(), worker.queue.end(), [shortOnly](const request_record &item) { return !shortOnly || !item.isLong; });
        if (next == worker.queue.end()) {
            return false;
        }
        const request_record item = *next;
        worker.queue.erase(next);
        startWork(worker, item);
        return true;
    }

    bool endWork(std::size_t index, const request_record &item)
    {
        const state::time_point deadline = std::max(item.startedAt, item.arrivedAt + deadlineOf(item));
        const state::time_point endedAt = std::min(item.endsAt, deadline);
        if (endedAt > m_now) {
            return false;
        }
        work_outcome outcome = item.fails ? work_outcome::failed : work_outcome::answered;
        outcome = item.endsAt > deadline ? work_outcome::timed_out : outcome;
        const microseconds hint = m_options.hints ? costOf(item.isLong) : microseconds{0};
        m_workers[index].outcomeTracker->recordEnd(item.id, {routeOf(item), outcome, item.startedAt, endedAt, hint});
        observer_record &observer = m_observers[item.observer];
        observer.outcomeTrackers[index]->recordEnd(item.id, {routeOf(item), outcome, item.arrivedAt, endedAt, hint});
        --observer.inFlight[index];
        recordService(item, outcome, endedAt);
        sendReport(index, item.observer); // the answer carries a report with the worker's load
        return true;
    }

    void recordService(const request_record &item, work_outcome outcome, state::time_point endedAt)
    {
        if (outcome != work_outcome::answered) {
            ++m_service.failed;
            return;
        }
        const double elapsedMs = std::chrono::duration<double, std::milli>(endedAt - item.arrivedAt).count();
        (item.isLong ? m_service.longMs : m_service.shortMs).push_back(elapsedMs);
    }

    void runSidecars()
    {
        for (std::size_t index = 0; index < m_workers.size(); ++index) {
            worker_record &worker = m_workers[index];
            if (isDue(ProbePeriod, index)) {
                worker.outcomeTracker->recordProbe(worker.fault != worker_fault::dead && worker.fault != worker_fault::unresponsive, m_now);
            }
            if (isDue(ReportPeriod, index)) {
                for (std::size_t to = 0; to < m_observers.size(); ++to) {
                    const bool lost = m_observers[to].dataCentre != m_observers[index].dataCentre && chance() < m_options.loss;
                    if (!lost) {
                        sendReport(index, to);
                    }
                }
            }
        }
    }

    worker_report makeReport(std::size_t index)
    {
        worker_record &worker = m_workers[index];
        worker_report report;
        report.worker = fmt::format("w{}", index);
        report.pool = m_options.place.pool;
        report.node = nodeOf(static_cast<int>(index));
        report.incarnation = 1;
        report.version = ++worker.version;
        report.slots = m_options.place.slots;
        report.busy = static_cast<std::uint32_t>(worker.running.size());
        report.queued = static_cast<std::uint32_t>(worker.queue.size());
        report.expectedWait = expectedWait(worker);
        worker.outcomeTracker->fillReport(report, m_now);
        return report;
    }

    // Returns the wait of a new request as the sidecar estimates it: from the expected costs of running and waiting requests.
    microseconds expectedWait(const worker_record &worker) const
    {
        if (worker.running.size() < m_options.place.slots) {
            return microseconds{0};
        }
        microseconds next = microseconds::max();
        for (const request_record &item : worker.running) {
            const auto elapsed = std::chrono::duration_cast<microseconds>(m_now - item.startedAt);
            next = std::min(next, std::max(costOf(item.isLong) - elapsed, microseconds(m_options.cost) / 4));
        }
        microseconds waiting{0};
        for (const request_record &item : worker.queue) {
            waiting += costOf(item.isLong);
        }
        return next + waiting / m_options.place.slots;
    }

    void sendReport(std::size_t from, std::size_t to)
    {
        const bool far = m_observers[to].dataCentre != m_observers[from].dataCentre;
        const double jitterMs = std::exponential_distribution<double>(1.0 / static_cast<double>(JitterMean.count()))(m_random);
        const double spikeMs = chance() < m_options.spikeShare ? static_cast<double>(Spike.count()) : 0.0;
        const auto delay = std::chrono::duration_cast<state::duration>(std::chrono::duration<double, std::milli>(jitterMs + spikeMs));
        m_messages.emplace(m_now + (far ? m_options.place.oneWay : milliseconds{0}) + delay, message{to, makeReport(from)});
    }

    void deliver()
    {
        while (!m_messages.empty() && m_messages.begin()->first <= m_now) {
            const message &next = m_messages.begin()->second;
            if (m_options.source == evidence_source::shared) {
                m_observers[next.observer].tracker->recordReport(next.report, m_now);
            } else {
                recordLocalOutcomes(m_observers[next.observer], next.report);
            }
            m_messages.erase(m_messages.begin());
        }
    }

    // Uses the load in the sidecar's report, but the outcomes of the observer's local requests.
    void recordLocalOutcomes(observer_record &observer, worker_report report)
    {
        const auto index = static_cast<std::size_t>(std::stoul(report.worker.substr(1)));
        observer.outcomeTrackers[index]->fillReport(report, m_now);
        report.version = ++observer.versions[index];
        observer.tracker->recordReport(report, m_now);
    }

    void runObservers()
    {
        for (std::size_t i = 0; i < m_observers.size(); ++i) {
            if (!isDue(EvaluationPeriod, i) || m_observers[i].tracker->evaluate(m_now).empty()) {
                continue;
            }
            const std::shared_ptr<const pool_view> view = m_observers[i].tracker->views().begin()->second;
            countFalseEjections(m_observers[i], *view);
            m_observers[i].view = view;
        }
    }

    void countFalseEjections(const observer_record &observer, const pool_view &updated)
    {
        for (std::size_t i = 0; i < updated.workers.size(); ++i) {
            const bool newlyEjected = updated.workers[i].state == worker_state::ejected && observer.view->workers[i].state != worker_state::ejected;
            if (newlyEjected && i != m_faulty) {
                ++m_falseEjections[observer.tracker->explain(updated.name, m_now)[i].reason];
            }
        }
    }

    fleet_options m_options;
    pcg32 m_random;
    std::vector<worker_record> m_workers;
    std::vector<observer_record> m_observers;
    std::multimap<state::time_point, message> m_messages;
    state::time_point m_now{std::chrono::hours{1}};
    std::uint64_t m_sequence = 0;
    ejection_counts m_falseEjections;
    std::size_t m_faulty = static_cast<std::size_t>(-1);
    service_record m_service;
};

} // namespace bench_health
