#include <dandelionstall/coordination/configuration/config_dissemination.h>

#include <dandelionstall/coordination/configuration/config_delta.h>

#include "config_compression.h"

#include <algorithm>

namespace dandelionstall::coordination {

namespace {

constexpr std::chrono::milliseconds ChunkTimeout{300};
constexpr std::chrono::seconds PendingFetchInterval{5}; // between fetches of an older table while no table is in force and the known one is pending
constexpr std::uint32_t MaxAttempts = 6;                // consecutive timeouts before a transfer with chunks is dropped; a message of any node can restart it
constexpr std::uint32_t MaxFirstAttempts = 1; // consecutive timeouts before a transfer without any chunk is dropped, since requests may not reach the peer
constexpr std::size_t MaxChunksInFlight = 8;  // requested but not received chunks of one transfer
constexpr std::uint32_t MaxTransferBytes = 64'000'000; // limit for the compressed and for the decompressed size
constexpr std::size_t MaxOldTexts = 8;                 // versions kept as base of differences
constexpr std::size_t MaxCachedBlobs = 4;              // compressed texts and differences kept for sending

std::size_t indexOf(table_kind kind)
{
    return static_cast<std::size_t>(kind);
}

std::size_t chunkCount(std::uint32_t total)
{
    return (total + ConfigChunkBytes - 1) / ConfigChunkBytes;
}

table_hint hintOf(const table_version &version)
{
    return {version.revision, static_cast<std::uint32_t>(version.digest)};
}

} // namespace

config_dissemination::config_dissemination(config_store &store, std::uint64_t seed)
    : m_store(store)
    , m_random(seed)
{ }

// ---- Offers ----

offer_result config_dissemination::offer(table_kind kind, std::string text, const std::string &source, state::time_point /*now*/)
{
    const table_version before = m_store.newestKnown(kind);
    storeOldText(kind, before);
    offer_result result = m_store.offer(kind, std::move(text), source);
    if (m_store.newestKnown(kind) != before) {
        if (!m_pushPending[indexOf(kind)]) {
            m_pushBase[indexOf(kind)] = before;
        }
        m_pushPending[indexOf(kind)] = true;
        storeOldText(kind, m_store.newestKnown(kind));
        std::optional<transfer> &current = transferOf(kind);
        if (current && current->part.target.revision != 0 && current->part.target.revision <= result.version.revision) {
            current.reset();
        }
    }
    if (result.verdict != offer_verdict::unchanged) {
        m_offeredTables.push_back({kind, result, source});
    }
    return result;
}

void config_dissemination::storeOldText(table_kind kind, const table_version &version)
{
    table_text text = m_store.text(kind, version);
    std::deque<old_text> &history = m_history[indexOf(kind)];
    const auto known = std::any_of(history.begin(), history.end(), [&](const old_text &old) { return old.version == version; });
    if (!text || known) {
        return;
    }
    history.push_back({version, std::move(text)});
    if (history.size() > MaxOldTexts) {
        history.pop_front();
    }
}

std::array<table_hint, TableKinds.size()> config_dissemination::tableHints() const
{
    return {hintOf(m_store.newestKnown(table_kind::routes)), hintOf(m_store.newestKnown(table_kind::pools))};
}

bool config_dissemination::receivedPeerRevision() const
{
    return m_receivedPeerRevision;
}

bool config_dissemination::hasPendingPush() const
{
    return m_pushPending != std::array<bool, TableKinds.size()>{};
}

std::vector<offered_table> config_dissemination::consumeOfferedTables()
{
    return std::exchange(m_offeredTables, {});
}

std::optional<config_dissemination::transfer> &config_dissemination::transferOf(table_kind kind)
{
    return m_transfers[indexOf(kind)];
}

// ---- Sending ----

table_text config_dissemination::textOf(table_kind kind, const table_version &version) const
{
    if (table_text text = m_store.text(kind, version)) {
        return text;
    }
    const std::deque<old_text> &history = m_history[indexOf(kind)];
    const auto old = std::find_if(history.begin(), history.end(), [&](const old_text &entry) { return entry.version == version; });
    return old == history.end() ? nullptr : old->text;
}

const std::string *config_dissemination::blobOf(table_kind kind, const table_version &base, const table_version &target)
{
    std::deque<cached_blob> &cache = m_blobs[indexOf(kind)];
    const auto cached = std::find_if(cache.begin(), cache.end(), [&](const cached_blob &blob) { return blob.base == base && blob.target == target; });
    if (cached != cache.end()) {
        return &cached->bytes;
    }
    const table_text newText = textOf(kind, target);
    if (!newText) {
        return nullptr;
    }
    if (base.revision == 0) {
        cache.push_back({base, target, detail::compressBytes(*newText)});
    } else {
        const table_text baseText = textOf(kind, base);
        const std::optional<std::string> delta = baseText ? makeDelta(*baseText, *newText) : std::nullopt;
        if (!delta) {
            return nullptr;
        }
        cache.push_back({base, target, detail::compressBytes(*delta)});
    }
    if (cache.size() > MaxCachedBlobs) {
        cache.pop_front();
    }
    return &cache.back().bytes;
}

// Returns a chunk of the difference when one can be made, else of the whole text.
std::optional<config_part> config_dissemination::chunkOf(table_kind kind, const table_version &base, const table_version &target, std::uint32_t offset)
{
    config_part part{kind, base, target, offset, 0, {}};
    const std::string *blob = blobOf(kind, base, target);
    if (blob == nullptr && base.revision != 0) {
        part.base = {};
        part.offset = 0;
        blob = blobOf(kind, {}, target);
    }
    if (blob == nullptr || part.offset >= blob->size()) {
        return std::nullopt;
    }
    part.total = static_cast<std::uint32_t>(blob->size());
    part.bytes = blob->substr(part.offset, ConfigChunkBytes);
    return part;
}

// Returns the version to send to a node that has the base. A node without a table gets the one in force first, because a
// newer one may be pending until the other table arrives.
table_version config_dissemination::bestTargetFor(table_kind kind, const table_version &base) const
{
    const table_version inForce = m_store.inForce(kind);
    return base.revision == 0 && inForce.revision != 0 ? inForce : m_store.newestKnown(kind);
}

gossip_message config_dissemination::makeFetch(const config_part &part) const
{
    gossip_message message;
    message.kind = gossip_kind::config_fetch;
    message.config = part;
    return message;
}

gossip_batch config_dissemination::push(const std::vector<state::node_address> &peers)
{
    gossip_batch out;
    for (const table_kind kind : TableKinds) {
        if (!std::exchange(m_pushPending[indexOf(kind)], false)) {
            continue;
        }
        const std::optional<config_part> part = chunkOf(kind, m_pushBase[indexOf(kind)], m_store.newestKnown(kind), 0);
        for (const state::node_address &peer : peers) {
            gossip_message message;
            if (part && part->total <= ConfigChunkBytes) {
                message.kind = gossip_kind::config_chunk;
                message.config = part;
            }
            out.push_back({peer, std::move(message)});
        }
    }
    return out;
}

gossip_batch config_dissemination::requestTables(const std::vector<state::node_address> &peers)
{
    gossip_batch out;
    for (const state::node_address &peer : peers) {
        for (const table_kind kind : TableKinds) {
            if (m_store.newestKnown(kind).revision == 0 && !transferOf(kind)) {
                out.push_back({peer, makeFetch({kind, {}, {}, 0, 0, {}})});
            }
        }
    }
    return out;
}

void config_dissemination::answerFetch(const gossip_message &message, gossip_batch &out)
{
    const config_part &requested = *message.config;
    const table_version target = requested.target.revision != 0 ? requested.target : bestTargetFor(requested.kind, requested.base);
    gossip_message answer;
    if (target.revision > requested.base.revision) {
        answer.config = chunkOf(requested.kind, requested.base, target, requested.offset);
    }
    if (answer.config) {
        answer.kind = gossip_kind::config_chunk;
    }
    out.push_back({message.sender.address, std::move(answer)}); // without a chunk, the message still names the revisions of this node
}

// ---- Receiving ----

gossip_batch config_dissemination::receive(const gossip_message &message, state::time_point now)
{
    gossip_batch out;
    if (message.kind == gossip_kind::config_fetch && message.config) {
        answerFetch(message, out);
    } else if (message.kind == gossip_kind::config_chunk && message.config) {
        handleChunk(message, now, out);
    }
    handleTableHints(message, now, out);
    return out;
}

void config_dissemination::handleTableHints(const gossip_message &message, state::time_point now, gossip_batch &out)
{
    for (const table_kind kind : TableKinds) {
        const table_hint &peerHint = message.tables[indexOf(kind)];
        const table_version local = m_store.newestKnown(kind);
        m_receivedPeerRevision = m_receivedPeerRevision || peerHint.revision != 0;
        const bool conflict = peerHint.revision == local.revision && local.revision != 0 && peerHint.digest != hintOf(local).digest;
        if (conflict) {
            offered_table offered;
            offered.kind = kind;
            offered.result.verdict = offer_verdict::conflict;
            offered.result.version = local;
            offered.source = state::formatNodeAddress(message.sender.address);
            m_offeredTables.push_back(std::move(offered));
        }
        const bool needsUsableTable = m_store.inForce(kind).revision == 0 && local.revision != 0 && m_nextPendingFetch[indexOf(kind)] <= now;
        if ((peerHint.revision > local.revision || needsUsableTable) && !transferOf(kind)) {
            m_nextPendingFetch[indexOf(kind)] = now + PendingFetchInterval;
            beginTransfer(kind, message.sender.address, now, out);
        }
    }
}

void config_dissemination::beginTransfer(table_kind kind, const state::node_address &from, state::time_point now, gossip_batch &out)
{
    transfer next;
    next.from = from;
    next.part = {kind, m_store.inForce(kind).revision != 0 ? m_store.newestKnown(kind) : table_version{}, {}, 0, 0, {}};
    next.retryAt = now + ChunkTimeout;
    out.push_back({from, makeFetch(next.part)});
    transferOf(kind) = std::move(next);
}

void config_dissemination::handleChunk(const gossip_message &message, state::time_point now, gossip_batch &out)
{
    const config_part &part = *message.config;
    const bool isValid = part.total > 0 && part.total <= MaxTransferBytes && part.offset % ConfigChunkBytes == 0 && part.offset < part.total;
    const bool isNeeded = part.target.revision > m_store.newestKnown(part.kind).revision
                          || (m_store.inForce(part.kind).revision == 0 && part.target != m_store.newestKnown(part.kind));
    const bool baseKnown = part.base.revision == 0 || textOf(part.kind, part.base) != nullptr;
    if (!isValid || !isNeeded || !baseKnown) {
        return;
    }
    std::optional<transfer> &current = transferOf(part.kind);
    const bool isCurrentTransfer = current && current->part.target == part.target && current->part.base == part.base && !current->chunks.empty();
    if (!isCurrentTransfer) {
        if (part.offset != 0 || (current && !current->chunks.empty() && current->part.target.revision >= part.target.revision)) {
            return;
        }
        current = transfer{message.sender.address, part, std::vector<std::optional<std::string>>(chunkCount(part.total)), 1, 0, now + ChunkTimeout};
        current->part.bytes.clear();
    }
    const std::size_t index = part.offset / ConfigChunkBytes;
    if (index >= current->chunks.size() || current->chunks[index]) { // a duplicate chunk must not postpone the retry
        return;
    }
    current->chunks[index] = part.bytes;
    current->attempts = 0;
    current->retryAt = now + ChunkTimeout;
    if (std::all_of(current->chunks.begin(), current->chunks.end(), [](const auto &chunk) { return chunk.has_value(); })) {
        const transfer completed = *std::exchange(current, std::nullopt);
        completeTransfer(part.kind, completed, now);
    } else {
        requestMoreChunks(*current, now, out);
    }
}

void config_dissemination::requestMoreChunks(transfer &current, state::time_point now, gossip_batch &out)
{
    const auto arrived
        = static_cast<std::size_t>(std::count_if(current.chunks.begin(), current.chunks.end(), [](const auto &chunk) { return chunk.has_value(); }));
    const std::size_t end = std::min(current.chunks.size(), arrived + MaxChunksInFlight);
    for (; current.nextChunk < end; ++current.nextChunk) {
        config_part part = current.part;
        part.offset = static_cast<std::uint32_t>(current.nextChunk * ConfigChunkBytes);
        out.push_back({current.from, makeFetch(part)});
    }
    current.retryAt = now + ChunkTimeout;
}

void config_dissemination::completeTransfer(table_kind kind, const transfer &completed, state::time_point now)
{
    std::string bytes;
    bytes.reserve(completed.part.total);
    for (const std::optional<std::string> &chunk : completed.chunks) {
        bytes += *chunk;
    }
    std::optional<std::string> newText = detail::decompressBytes(bytes, MaxTransferBytes);
    if (newText && completed.part.base.revision != 0) {
        const table_text baseText = textOf(kind, completed.part.base);
        newText = baseText ? applyDelta(*baseText, *newText) : std::nullopt;
    }
    if (!newText) {
        return;
    }
    bytes = *std::move(newText);
    if (textDigest(bytes) == completed.part.target.digest) { // otherwise a chunk was corrupt; a later message restarts the transfer
        offer(kind, std::move(bytes), state::formatNodeAddress(completed.from), now);
    }
}

gossip_batch config_dissemination::tick(state::time_point now)
{
    gossip_batch out;
    for (const table_kind kind : TableKinds) {
        std::optional<transfer> &current = transferOf(kind);
        if (!current || current->retryAt > now) {
            continue;
        }
        if (++current->attempts > (current->chunks.empty() ? MaxFirstAttempts : MaxAttempts)) {
            current.reset(); // the next message of any node with a newer revision starts a new transfer
            continue;
        }
        current->retryAt = now + ChunkTimeout;
        if (current->chunks.empty()) {
            out.push_back({current->from, makeFetch(current->part)});
            continue;
        }
        std::size_t requested = 0;
        for (std::size_t i = 0; i < current->nextChunk && requested < MaxChunksInFlight; ++i) {
            if (!current->chunks[i]) {
                config_part part = current->part;
                part.offset = static_cast<std::uint32_t>(i * ConfigChunkBytes);
                out.push_back({current->from, makeFetch(part)});
                ++requested;
            }
        }
    }
    return out;
}

} // namespace dandelionstall::coordination
