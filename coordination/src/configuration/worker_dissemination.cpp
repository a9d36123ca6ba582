#include <dandelionstall/coordination/configuration/worker_dissemination.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace dandelionstall::coordination {

namespace {

constexpr std::chrono::milliseconds PullInterval{250};
constexpr std::chrono::milliseconds SettlingTime{200}; // after news, time for the pushes that bring the same news to all nodes
constexpr std::chrono::milliseconds RepairTime{300};   // after the first differing digest, time until a pull while news follows news
constexpr std::size_t RowsPerMessage = 8;
constexpr std::size_t RowBytesPerMessage = 1050; // of all rows of a message, so that it stays below MaxDatagramBytes
constexpr std::size_t FixedRowBytes = 71;        // of a row beside its texts and addresses, at most
constexpr std::size_t AddressBytes = 10;
constexpr std::size_t LongAddressBytes = 28; // of IPv6

worker_update makeUpdate(const discovered_worker &entry, state::time_point now)
{
    const auto coldRemaining = std::chrono::duration_cast<std::chrono::milliseconds>(entry.coldUntil - now);
    return {entry, std::max(coldRemaining, std::chrono::milliseconds(0))};
}

std::size_t bytesOf(const discovered_worker &entry)
{
    const std::size_t addressBytes = entry.address.ip.find(':') == std::string::npos ? AddressBytes : LongAddressBytes;
    return FixedRowBytes + 2 * addressBytes + entry.id.size() + entry.pool.size() + entry.dataCentre.size() + entry.version.size();
}

// Returns how many of the rows from this one on fit into one message; at least one, unless there is none.
std::size_t countFitting(const std::vector<discovered_worker> &rows, std::size_t first)
{
    std::size_t count = 0;
    std::size_t bytes = 0;
    while (first + count < rows.size() && count < RowsPerMessage) {
        bytes += bytesOf(rows[first + count]);
        if (count > 0 && bytes > RowBytesPerMessage) {
            break;
        }
        ++count;
    }
    return count;
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
    for (std::size_t first = 0, count = 0; first < pending.size(); first += count) {
        count = countFitting(pending, first);
        gossip_message message;
        for (std::size_t i = first; i < first + count; ++i) {
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
        if (!message.workersCursor.empty()) {
            requestPage(message.sender.address, message.workersCursor, out);
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
                                                    ? m_directory.differingAfter(message.workersCursor, RowsPerMessage + 1, *message.workersBuckets)
                                                    : m_directory.pageAfter(message.workersCursor, RowsPerMessage + 1);
    const std::size_t count = countFitting(rows, 0);
    for (std::size_t i = 0; i < count; ++i) {
        page.workers.push_back(makeUpdate(rows[i], now));
    }
    if (count < rows.size()) {
        page.workersCursor = rows[count - 1].id;
    }
    out.push_back({message.sender.address, std::move(page)});
}

} // namespace dandelionstall::coordination
