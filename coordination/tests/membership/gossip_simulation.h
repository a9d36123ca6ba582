// Drives several gossip_node instances in one thread over simulated links that lose, delay, duplicate and block messages.
#pragma once

#include <dandelionstall/coordination/membership/gossip_node.h>

#include <fmt/format.h>

#include <functional>
#include <memory>
#include <pcg_random.hpp>
#include <queue>
#include <set>
#include <vector>

namespace dandelionstall::coordination {

struct link_options {
    double loss = 0.02;       // share of messages that are lost
    double duplication = 0.0; // share of messages that arrive twice
    std::chrono::milliseconds latency{5};
    std::chrono::milliseconds jitter{3}; // upper limit of a random delay added to the latency
};

class gossip_simulation
{
public:
    gossip_simulation(const link_options &links, std::uint64_t seed)
        : m_links(links)
        , m_random(seed)
    { }

    // Each node has the first three nodes of the fleet as seeds.
    std::size_t addNode(const std::string &dataCentre, state::incarnation incarnation = 1)
    {
        const std::size_t index = m_nodes.size();
        m_nodes.push_back({addressOf(index), dataCentre, nullptr, incarnation, true});
        restart(index, incarnation);
        m_events.push({m_now + std::chrono::milliseconds(m_random(50)), m_order++, index, nullptr});
        return index;
    }

    void restart(std::size_t index, state::incarnation incarnation)
    {
        slot &target = m_nodes[index];
        target.incarnation = incarnation;
        target.node = std::make_unique<gossip_node>(self_identity{target.address, target.dataCentre, incarnation}, m_random());
        target.node->start({addressOf(0), addressOf(1), addressOf(2)}, m_now);
    }

    void run(std::chrono::milliseconds span)
    {
        const state::time_point end = m_now + span;
        runUntil([] { return false; }, end);
        m_now = end;
    }

    // Returns false when the limit is reached before the condition holds.
    bool runUntil(const std::function<bool()> &reached, std::chrono::milliseconds limit)
    {
        return runUntil(reached, m_now + limit);
    }

    void setRunning(std::size_t index, bool up) // a node that is not running neither ticks nor receives, like a dead or paused process
    {
        m_nodes[index].up = up;
    }

    void setLinkBlocked(std::size_t from, std::size_t to, bool blocked = true) // affects one direction only
    {
        if (blocked) {
            m_blockedLinks.insert({from, to});
        } else {
            m_blockedLinks.erase({from, to});
        }
    }

    void sendBatch(std::size_t from, gossip_batch batch)
    {
        for (outgoing_gossip &out : batch) {
            send(from, std::move(out));
        }
    }

    gossip_node &at(std::size_t index)
    {
        return *m_nodes[index].node;
    }

    std::size_t size() const
    {
        return m_nodes.size();
    }

    state::time_point now() const
    {
        return m_now;
    }

    member_state memberStateSeenBy(std::size_t viewer, std::size_t about) const
    {
        const member *known = m_nodes[viewer].node->members().find(addressOf(about));
        return known != nullptr ? known->state : member_state::listed;
    }

    bool seesLeaving(std::size_t viewer, std::size_t about) const
    {
        const member *known = m_nodes[viewer].node->members().find(addressOf(about));
        return known != nullptr && known->leaving;
    }

    // Returns true when the condition holds for every running node.
    bool allRunning(const std::function<bool(std::size_t)> &condition) const
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (m_nodes[i].up && !condition(i)) {
                return false;
            }
        }
        return true;
    }

    bool allSeeAllAlive() const
    {
        return allRunning([this](std::size_t viewer) {
            return allRunning([this, viewer](std::size_t about) { return viewer == about || memberStateSeenBy(viewer, about) == member_state::alive; });
        });
    }

    static state::node_address addressOf(std::size_t index)
    {
        return {fmt::format("10.{}.{}.{}", index / 62'500, index / 250 % 250, index % 250 + 1), 7400};
    }

    std::function<void(std::size_t from, const outgoing_gossip &)> onSend;               // called for every message, before the simulated loss
    std::function<void(std::size_t index, const std::function<void()> &process)> onWork; // wraps each tick and each received message, to measure its time
    std::function<void(std::size_t index)> afterTick;

private:
    struct slot {
        state::node_address address;
        std::string dataCentre;
        std::unique_ptr<gossip_node> node;
        state::incarnation incarnation = 1;
        bool up = true;
    };

    struct event {
        state::time_point at;
        std::uint64_t order = 0;
        std::size_t node = 0;
        std::shared_ptr<const gossip_message> message; // null for a tick

        bool operator<(const event &other) const
        {
            return std::pair(other.at, other.order) < std::pair(at, order);
        }
    };

    bool runUntil(const std::function<bool()> &reached, state::time_point end)
    {
        state::time_point nextCheck = m_now;
        while (!m_events.empty() && m_events.top().at <= end) {
            const event next = m_events.top();
            m_events.pop();
            m_now = next.at;
            handle(next);
            if (nextCheck <= m_now) {
                nextCheck = m_now + std::chrono::milliseconds(10);
                if (reached()) {
                    return true;
                }
            }
        }
        return reached();
    }

    void handle(const event &next)
    {
        slot &target = m_nodes[next.node];
        if (!next.message) {
            m_events.push({m_now + TickInterval, m_order++, next.node, nullptr});
        }
        if (!target.up) {
            return;
        }
        gossip_batch batch;
        const auto process = [&] {
            batch = next.message ? target.node->receive(*next.message, m_now) : target.node->tick(m_now);
        };
        if (onWork) {
            onWork(next.node, process);
        } else {
            process();
        }
        if (!next.message && afterTick) {
            afterTick(next.node);
        }
        sendBatch(next.node, std::move(batch));
    }

    void send(std::size_t from, outgoing_gossip out)
    {
        if (onSend) {
            onSend(from, out);
        }
        const std::size_t to = indexOf(out.to);
        if (to >= m_nodes.size() || m_blockedLinks.contains({from, to}) || randomFraction() < m_links.loss) {
            return;
        }
        const auto message = std::make_shared<const gossip_message>(std::move(out.message));
        const int copies = randomFraction() < m_links.duplication ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            const std::chrono::microseconds delay(
                m_links.latency
                + std::chrono::microseconds(static_cast<std::int64_t>(randomFraction() * 1000.0 * static_cast<double>(m_links.jitter.count()))));
            m_events.push({m_now + delay, m_order++, to, message});
        }
    }

    double randomFraction()
    {
        return static_cast<double>(m_random()) / 4294967296.0;
    }

    static std::size_t indexOf(const state::node_address &address)
    {
        unsigned a = 0;
        unsigned b = 0;
        unsigned c = 0;
        const int fields = std::sscanf(address.ip.c_str(), "10.%u.%u.%u", &a, &b, &c);
        return fields == 3 && c > 0 ? a * 62'500 + b * 250 + c - 1 : static_cast<std::size_t>(-1);
    }

    link_options m_links;
    pcg32 m_random;
    state::time_point m_now{std::chrono::seconds(1000)};
    std::uint64_t m_order = 0;
    std::vector<slot> m_nodes;
    std::set<std::pair<std::size_t, std::size_t>> m_blockedLinks;
    std::priority_queue<event> m_events;
};

// Texts of tables with the given revision. Two variants of poolsText() with one revision differ in content.
inline std::string poolsText(state::table_revision revision, int variant = 0, int pools = 3)
{
    std::string text = fmt::format("[table]\nrevision = {}\n", revision);
    for (int i = 0; i < pools; ++i) {
        text += fmt::format("\n[pool.p{}]\nslots = {}\nworker.w{} = {} thika\n",
                            i,
                            3 + variant,
                            i,
                            state::formatNodeAddress(gossip_simulation::addressOf(static_cast<std::size_t>(i))));
    }
    return text;
}

inline std::string routesText(state::table_revision revision, const std::string &pool = "p0", int routes = 20)
{
    std::string text = fmt::format("[table]\nrevision = {}\n", revision);
    for (int i = 0; i < routes; ++i) {
        text += fmt::format("\n[route.r{}]\npath = /r{}\npool = {}\nidempotent = yes\n", i, i, pool);
    }
    return text;
}

} // namespace dandelionstall::coordination
