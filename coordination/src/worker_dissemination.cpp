#include <dandelionstall/coordination/worker_dissemination.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace dandelionstall::coordination {

namespace {

constexpr std::chrono::milliseconds PullInterval{250};
constexpr std::chrono::milliseconds SettlingTime{200}; // after news, time for the pushes that bring the same news to all nodes
constexpr std::chrono::milliseconds RepairTime{300};   // after the first differing digest, time until a pull while news follows news
constexpr std::size_t RowsPerMessage = 8;              // rows in a message, so that it stays below MaxDatagramBytes

worker_update makeUpdate(const discovered_worker &entry, state::time_point now)
{
    const auto coldRemaining = std::chrono::duration_cast<std::chrono::milliseconds>(entry.coldUntil - now);
    return {entry, std::max(coldRemaining, std::chrono::milliseconds(0))};
}

} // namespace

worker_dissemination::worker_dissemination(worker_directory &directory)
    : m_directory(directory)
{ }

void worker_dissemination::collectChanges(change_source source, state::time_point now)
{
    std::vector<discovered_worker> changes = m_directory.consumeChanges();
    m_lastNewsAt = changes.empty() ? m_lastNewsAt : now;
    std::vector<discovered_worker> &pending = m_pendingPush.at(static_cast<std::size_t>(source));
    std::move(changes.begin(), changes.end(), std::back_inserter(pending));
}

bool worker_dissemination::hasPendingPush(change_source source) const
{
    return !m_pendingPush.at(static_cast<std::size_t>(source)).empty();
}

gossip_batch worker_dissemination::push(change_source source, const std::vector<state::node_address> &peers, state::time_point now)
{
    const std::vector<discovered_worker> pending = std::exchange(m_pendingPush.at(static_cast<std::size_t>(source)), {});
    gossip_batch out;
    for (std::size_t first = 0; first < pending.size(); first += RowsPerMessage) {
        gossip_message message;
        for (std::size_t i = first; i < std::min(first + RowsPerMessage, pending.size()); ++i) {
            message.workers.push_back(makeUpdate(pending[i], now));
        }
        for (const state::node_address &peer : peers) {
            out.push_back({peer, message});
        }
    }
    if (source == change_source::service) {
        pushToOwnNodes(pending, now, out);
    }
    return out;
}

void worker_dissemination::pushToOwnNodes(const std::vector<discovered_worker> &changes, state::time_point now, gossip_batch &out)
{
    for (const discovered_worker &entry : changes) {
        if (entry.node.port != 0) { // the tombstone of an unknown worker has no addresses
            gossip_message message;
            message.workers.push_back(makeUpdate(entry, now));
            out.push_back({entry.node, std::move(message)});
        }
    }
}

gossip_batch worker_dissemination::receive(const gossip_message &message, state::time_point now)
{
    gossip_batch out;
    for (const worker_update &update : message.workers) {
        discovered_worker entry = update.entry;
        entry.coldUntil = update.coldRemaining.count() > 0 ? now + update.coldRemaining : state::time_point{};
        m_directory.offer(entry, now);
    }
    collectChanges(change_source::peer, now);
    if (message.kind == gossip_kind::worker_pull) {
        servePage(message, now, out);
    } else if (message.kind == gossip_kind::worker_page) {
        if (message.workers.size() == RowsPerMessage) {
            requestPage(message.sender.address, message.workers.back().entry.id, out);
        }
    } else if (isPullDue(message.workersDigest, now)) {
        m_nextPull = now + PullInterval;
        m_repairAt.reset();
        requestPage(message.sender.address, {}, out); // entries that an interrupted pull has brought do not differ any more
    }
    return out;
}

// A difference right after news is mostly news on its way. While news follows news, a missed change looks the same: it is pulled
// after RepairTime.
bool worker_dissemination::isPullDue(std::uint32_t otherDigest, state::time_point now)
{
    if (otherDigest == m_directory.digest()) {
        m_repairAt.reset();
        return false;
    }
    if (!m_repairAt) {
        m_repairAt = now + RepairTime;
    }
    const bool settled = m_lastNewsAt + SettlingTime <= now;
    return m_nextPull <= now && (settled || *m_repairAt <= now);
}

void worker_dissemination::requestPage(const state::node_address &from, std::string cursor, gossip_batch &out) const
{
    gossip_message message;
    message.kind = gossip_kind::worker_pull;
    message.workersCursor = std::move(cursor);
    message.workersBuckets = m_directory.bucketDigests();
    out.push_back({from, std::move(message)});
}

void worker_dissemination::servePage(const gossip_message &message, state::time_point now, gossip_batch &out) const
{
    gossip_message page;
    page.kind = gossip_kind::worker_page;
    const std::vector<discovered_worker> rows = message.workersBuckets
                                                    ? m_directory.differingAfter(message.workersCursor, RowsPerMessage, *message.workersBuckets)
                                                    : m_directory.pageAfter(message.workersCursor, RowsPerMessage);
    for (const discovered_worker &entry : rows) {
        page.workers.push_back(makeUpdate(entry, now));
    }
    out.push_back({message.sender.address, std::move(page)});
}

} // namespace dandelionstall::coordination
