// Drives gossip_node instances that read a store, which serves, refuses or ignores each node, in virtual time.
#pragma once

#include "membership/gossip_simulation.h"

#include <algorithm>

namespace dandelionstall::coordination {

enum class store_access {
    served,
    refused, // an error at once
    mute,    // no answer
};

// The calls of a node, in the manner of a source: a watch that returns with the next change, one probe for each search.
class reader_simulation
{
public:
    explicit reader_simulation(std::uint64_t seed, const link_options &links = {})
        : m_fleet(links, seed)
        , m_random(seed)
    {
        m_fleet.afterTick = [this](std::size_t node) {
            advance(node);
        };
    }

    void addNodes(std::size_t count, const std::string &dataCentre)
    {
        for (std::size_t i = 0; i < count; ++i) {
            m_fleet.addNode(dataCentre);
            m_calls.emplace_back();
        }
        m_access.resize(m_calls.size(), store_access::served);
    }

    // Adds all nodes to the members of each, as a list of workers does.
    void introduceAll()
    {
        std::vector<vm_record> vms;
        for (std::size_t i = 0; i < m_fleet.size(); ++i) {
            vms.push_back({gossip_simulation::addressOf(i), m_fleet.at(i).members().self().dataCentre, false});
        }
        for (std::size_t i = 0; i < m_fleet.size(); ++i) {
            m_fleet.at(i).setVmList(vms, m_fleet.now());
        }
    }

    void change(state::table_revision revision) // the store acknowledges a configuration and an entry of a leaving worker
    {
        m_revision = revision;
        m_changedAt = m_fleet.now();
    }

    bool isKnown(std::size_t node) // the configuration and the entry
    {
        gossip_node &each = m_fleet.at(node);
        const auto entry = each.workers().entries().find("w0");
        return each.store().inForce(table_kind::routes).revision == m_revision && entry != each.workers().entries().end()
               && entry->second.revision.revision == m_revision;
    }

    // Time from the last change until all nodes know it that run and that the store serves; `limit` when they don't by then.
    std::chrono::milliseconds timeUntilKnown(std::chrono::milliseconds limit)
    {
        const state::time_point from = m_fleet.now();
        m_fleet.runUntil([this] { return m_fleet.allRunning([this](std::size_t node) { return m_access[node] != store_access::served || isKnown(node); }); },
                         limit);
        return std::chrono::ceil<std::chrono::milliseconds>(m_fleet.now() - from);
    }

    std::vector<std::size_t> readers()
    {
        std::vector<std::size_t> result;
        for (std::size_t i = 0; i < m_fleet.size(); ++i) {
            if (reads(m_fleet.at(i).serviceRole(m_fleet.now()))) {
                result.push_back(i);
            }
        }
        return result;
    }

    std::uint64_t consumeCalls() // calls of all nodes since the last call of this function
    {
        return std::exchange(m_callCount, 0);
    }

    gossip_simulation &fleet()
    {
        return m_fleet;
    }

    std::vector<store_access> &access() // by node
    {
        return m_access;
    }

private:
    static constexpr std::chrono::milliseconds AnswerTime{20};
    static constexpr std::chrono::milliseconds WatchInterval{500};
    static constexpr std::chrono::milliseconds PrimaryCadence{900};
    static constexpr std::chrono::milliseconds MinWait{50};
    static constexpr std::chrono::milliseconds SecondaryWait{2000};
    static constexpr std::chrono::milliseconds NoAnswerTime{800};
    static constexpr std::chrono::milliseconds ProbeInterval{1000};
    static constexpr std::uint32_t MaxBackoffMs = 500;

    struct call {
        bool inFlight = false;
        store_access outcome = store_access::served;
        reader_role role = reader_role::none;
        state::time_point startedAt;
        state::time_point endsAt;
        state::time_point givenUpAt;
        state::time_point answeredAt;
        state::time_point nextAt;
        reader_role lastRole = reader_role::none;
    };

    void advance(std::size_t node)
    {
        const state::time_point now = m_fleet.now();
        call &own = m_calls[node];
        const reader_role role = m_fleet.at(node).serviceRole(now);
        if (std::exchange(own.lastRole, role) != role) {
            own.nextAt = now;
        }
        if (own.inFlight) {
            end(node, now);
        }
        if (!own.inFlight && role != reader_role::none && own.nextAt <= now) {
            begin(node, role, now);
        }
    }

    void begin(std::size_t node, reader_role role, state::time_point now)
    {
        ++m_callCount;
        call &own = m_calls[node];
        own.inFlight = true;
        own.role = role;
        own.startedAt = now;
        own.outcome = m_access[node];
        const bool waits = reads(role) && isKnown(node);
        const state::duration wait = role == reader_role::primary ? std::max<state::duration>(own.answeredAt + PrimaryCadence - now, MinWait) : SecondaryWait;
        own.endsAt = now + AnswerTime + (waits ? wait : state::duration::zero());
        own.givenUpAt = now + NoAnswerTime + (waits ? wait : state::duration::zero());
        own.endsAt = own.outcome == store_access::mute ? own.givenUpAt : own.endsAt;
    }

    void end(std::size_t node, state::time_point now)
    {
        call &own = m_calls[node];
        if (own.outcome == store_access::served && m_access[node] == store_access::mute) { // the answer to a waiting call does not come any more
            own.outcome = store_access::mute;
            own.endsAt = own.givenUpAt;
        }
        if (own.outcome == store_access::served && (m_access[node] == store_access::refused || m_changedAt > own.startedAt)) {
            own.endsAt = std::min(own.endsAt, std::max(own.startedAt, m_changedAt) + AnswerTime);
        }
        if (own.endsAt > now) {
            return;
        }
        own.inFlight = false;
        gossip_node &reader = m_fleet.at(node);
        if (own.outcome != store_access::served || m_access[node] != store_access::served) {
            own.nextAt = own.role == reader_role::probing ? own.startedAt + ProbeInterval : now + std::chrono::milliseconds(m_random(MaxBackoffMs));
            return;
        }
        own.nextAt = own.startedAt + (own.role == reader_role::probing ? ProbeInterval : WatchInterval);
        own.answeredAt = now;
        reader.recordServiceRead(now);
        if (reads(own.role) && m_revision != 0) {
            reader.offerFromService(table_kind::pools, poolsText(m_revision), now);
            reader.offerFromService(table_kind::routes, routesText(m_revision), now);
            reader.offerWorker(leavingWorker(), now);
        }
    }

    discovered_worker leavingWorker() const
    {
        discovered_worker worker;
        worker.id = "w0";
        worker.pool = "p0";
        worker.node = gossip_simulation::addressOf(0);
        worker.address = {worker.node.ip, 8080};
        worker.slots = 3;
        worker.startedAtMs = m_revision; // differs, so that each change is news
        worker.phase = worker_phase::leaving;
        worker.revision = {1, m_revision};
        return worker;
    }

    gossip_simulation m_fleet;
    pcg32 m_random;
    std::vector<call> m_calls;
    std::vector<store_access> m_access;
    state::table_revision m_revision = 0;
    state::time_point m_changedAt;
    std::uint64_t m_callCount = 0;
};

} // namespace dandelionstall::coordination
