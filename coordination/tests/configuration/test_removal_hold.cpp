// Tests of the time for which nodes keep removals of workers pending: by the reads of the service that they make or hear of.
#include "membership/gossip_simulation.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace dandelionstall;
using namespace dandelionstall::coordination;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Seed = 20261207;
constexpr std::size_t Nodes = 6;
constexpr std::uint64_t AddedAt = 10;   // revision of the entry
constexpr std::uint64_t RemovedAt = 20; // revision of its removal
constexpr std::chrono::milliseconds ReadInterval{450};

discovered_worker makeEntry(std::uint64_t revision)
{
    discovered_worker entry;
    entry.id = std::string("w");
    entry.pool = std::string("p");
    entry.dataCentre = std::string("dc-0");
    entry.node = gossip_simulation::addressOf(0);
    entry.address = {entry.node.ip, 8000};
    entry.slots = 4;
    entry.startedAtMs = 1;
    entry.revision.revision = revision;
    return entry;
}

// Two data centres; the readers read the service each ReadInterval while it answers.
class read_fleet
{
public:
    read_fleet()
        : m_fleet({.loss = 0.0}, Seed)
        , m_nextReads(Nodes)
    {
        std::vector<vm_record> vms;
        for (std::size_t i = 0; i < Nodes; ++i) {
            m_fleet.addNode(dataCentreOf(i));
            vms.push_back({gossip_simulation::addressOf(i), dataCentreOf(i), false});
        }
        for (std::size_t i = 0; i < Nodes; ++i) {
            m_fleet.at(i).setVmList(vms, m_fleet.now());
            m_fleet.at(i).offerWorker(makeEntry(AddedAt), m_fleet.now());
        }
        m_fleet.afterTick = [this](std::size_t node) {
            read(node);
        };
        m_fleet.run(8s);
    }

    void stopAnswers()
    {
        m_answers = false;
    }

    void resumeAnswers()
    {
        m_answers = true;
    }

    void removeEntry() // each reader learns of it by its next read
    {
        m_removed = true;
    }

    void run(std::chrono::milliseconds span)
    {
        m_fleet.run(span);
    }

    // Makes a reader read at once, so that the others hear of the read before they make one.
    void readFirst()
    {
        for (std::size_t i = 0; i < Nodes; ++i) {
            if (reads(m_fleet.at(i).serviceRole(m_fleet.now()))) {
                m_nextReads[i] = m_fleet.now();
                return;
            }
        }
    }

    void returnWorker()
    {
        m_returned = true;
    }

    std::size_t countUsing()
    {
        std::size_t count = 0;
        for (std::size_t i = 0; i < Nodes; ++i) {
            count += m_fleet.at(i).workers().entries().at("w").phase == worker_phase::ready ? 1 : 0;
        }
        return count;
    }

private:
    static std::string dataCentreOf(std::size_t index)
    {
        return fmt::format("dc-{}", index % 2);
    }

    void read(std::size_t index)
    {
        gossip_node &node = m_fleet.at(index);
        const reader_role role = node.serviceRole(m_fleet.now());
        if (!m_answers || role == reader_role::none || m_fleet.now() < m_nextReads[index]) {
            return;
        }
        m_nextReads[index] = m_fleet.now() + ReadInterval;
        node.recordServiceRead(m_fleet.now());
        if (reads(role) && m_returned) {
            node.offerWorker(makeEntry(RemovedAt + 1), m_fleet.now());
        } else if (reads(role) && m_removed) {
            node.offerWorkerRemoval("w", {0, RemovedAt}, m_fleet.now());
        }
    }

    gossip_simulation m_fleet;
    std::vector<state::time_point> m_nextReads;
    bool m_answers = true;
    bool m_removed = false;
    bool m_returned = false;
};

} // namespace

// Guards against requests to a worker that has left, as calls of the readers fail one after the other with an answer in between.
Test(removal_hold, calls_that_fail_between_answers_hold_no_removal_back)
{
    for (const std::chrono::milliseconds pause : {0ms, 450ms, 1000ms, 1500ms}) {
        read_fleet fleet;
        for (int i = 0; i < 4; ++i) {
            fleet.stopAnswers();
            fleet.run(pause);
            fleet.resumeAnswers();
            fleet.run(500ms);
        }
        fleet.removeEntry();
        fleet.run(1s);
        cr_assert(fleet.countUsing() == 0, "%zu nodes use the worker, pauses of %lld ms", fleet.countUsing(), static_cast<long long>(pause.count()));
    }
}

// Guards against running workers that are out of use after an outage, since a reader that answers a little later than the first did not
// take it for an outage.
Test(removal_hold, each_reader_holds_lapsed_entries_after_an_outage)
{
    for (const std::chrono::seconds outage : {3s, 5s, 12s}) {
        read_fleet fleet;
        fleet.stopAnswers();
        fleet.run(outage);
        fleet.removeEntry();
        fleet.resumeAnswers();
        fleet.readFirst();
        for (int i = 0; i < 19; ++i) {
            fleet.run(100ms);
            cr_assert(fleet.countUsing() == Nodes, "%zu nodes %d ms after %lld s", fleet.countUsing(), 100 * (i + 1), static_cast<long long>(outage.count()));
        }
        fleet.returnWorker();
        fleet.run(5s);
        cr_assert(fleet.countUsing() == Nodes, "%zu nodes at the end", fleet.countUsing());
    }
}

Test(removal_hold, a_worker_that_does_not_return_after_an_outage_is_removed)
{
    read_fleet fleet;
    fleet.stopAnswers();
    fleet.run(5s);
    fleet.removeEntry();
    fleet.resumeAnswers();
    fleet.run(5s);
    cr_assert(fleet.countUsing() == 0, "%zu nodes use the worker", fleet.countUsing());
}
