// Tests of fleets that start again after a kill of all nodes, some of them with an older list of the workers, as a store may answer.
#include "membership/gossip_simulation.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace dandelionstall;
using namespace dandelionstall::coordination;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Seed = 20261207;
constexpr std::uint64_t ListedAt = 1000; // revision of the older list; the worker is removed right after it
constexpr std::size_t DataCentres = 3;
constexpr std::chrono::milliseconds SettleTime{8000};
constexpr std::chrono::milliseconds InForceLimit{2000}; // from the start of the last node to the removal at all nodes

std::string dataCentreOf(std::size_t index)
{
    return fmt::format("dc-{}", index % DataCentres);
}

discovered_worker entryOf(std::size_t index)
{
    discovered_worker entry;
    entry.id = fmt::format("i-{:05}", index);
    entry.pool = std::string("p");
    entry.dataCentre = dataCentreOf(index);
    entry.node = gossip_simulation::addressOf(index);
    entry.address = {entry.node.ip, 8000};
    entry.slots = 4;
    entry.startedAtMs = 1;
    entry.revision.revision = index + 1;
    return entry;
}

// Nodes of which those from `fresh` on start with the list of ListedAt, the others with the present one, which lacks the first worker.
class restarted_fleet
{
public:
    restarted_fleet(std::size_t nodes, std::size_t fresh)
        : m_fleet({}, Seed)
        , m_nodes(nodes)
        , m_fresh(fresh)
    {
        for (std::size_t i = 0; i < nodes; ++i) {
            m_fleet.addNode(dataCentreOf(i));
            m_fleet.setRunning(i, false);
        }
        m_fleet.afterTick = [this](std::size_t node) {
            if (m_fleet.at(node).serviceRole(m_fleet.now()) != reader_role::none) {
                m_fleet.at(node).recordServiceRead(m_fleet.now());
            }
        };
        m_fleet.onSend = [this](std::size_t, const outgoing_gossip &out) {
            m_rows += out.message.workers.size();
        };
    }

    void start(std::size_t from, std::size_t to)
    {
        for (std::size_t i = from; i < to; ++i) {
            m_fleet.setRunning(i, true);
            m_fleet.restart(i, 2);
            worker_list list;
            for (std::size_t worker = i < m_fresh ? 1 : 0; worker < m_nodes; ++worker) {
                list.entries.push_back(entryOf(worker));
            }
            m_fleet.at(i).replaceWorkers(list, {0, i < m_fresh ? ListedAt + 1 : ListedAt}, m_fleet.now());
        }
    }

    void run(std::chrono::milliseconds span)
    {
        m_fleet.run(span);
    }

    // Returns the time until no node uses the first worker; the limit when one still does.
    std::chrono::milliseconds timeUntilUnused(std::chrono::milliseconds limit)
    {
        const state::time_point from = m_fleet.now();
        const std::string id = entryOf(0).id;
        m_fleet.runUntil(
            [this, &id] {
                return m_fleet.allRunning([this, &id](std::size_t node) {
                    const auto known = m_fleet.at(node).workers().entries().find(id);
                    return known == m_fleet.at(node).workers().entries().end() || known->second.phase == worker_phase::removed;
                });
            },
            limit);
        return std::chrono::ceil<std::chrono::milliseconds>(m_fleet.now() - from);
    }

    std::size_t consumeRows() // entries of workers that the nodes have sent each other since the last call
    {
        return std::exchange(m_rows, 0);
    }

private:
    gossip_simulation m_fleet;
    std::size_t m_nodes;
    std::size_t m_fresh;
    std::size_t m_rows = 0;
};

void expectUnused(std::size_t nodes, std::size_t old)
{
    restarted_fleet fleet(nodes, nodes - old);
    fleet.start(0, nodes - old);
    fleet.run(SettleTime);
    fleet.consumeRows();
    fleet.start(nodes - old, nodes);
    const std::chrono::milliseconds needed = fleet.timeUntilUnused(2 * InForceLimit);
    cr_log_info("%zu of %zu nodes with the older list: removed everywhere after %lld ms, %zu rows sent\n",
                old,
                nodes,
                static_cast<long long>(needed.count()),
                fleet.consumeRows());
    cr_assert(needed <= InForceLimit, "%zu of %zu: %lld ms", old, nodes, static_cast<long long>(needed.count()));
}

} // namespace

// Guards against a removed worker that comes back on all nodes, since after a kill of all of them some nodes read an older list.
Test(old_lists, nodes_that_start_last_with_an_older_list_bring_no_worker_back)
{
    for (const std::size_t old : {1U, 2U, 30U, 100U}) {
        expectUnused(106, old);
    }
}

Test(old_lists, nodes_with_the_present_list_that_start_last_remove_the_worker_everywhere)
{
    restarted_fleet fleet(106, 6);
    fleet.start(6, 106);
    fleet.run(SettleTime);
    fleet.start(0, 6);
    const std::chrono::milliseconds needed = fleet.timeUntilUnused(2 * InForceLimit);
    cr_assert(needed <= InForceLimit, "%lld ms", static_cast<long long>(needed.count()));
}
