#include <dandelionstall/coordination/config_dissemination.h>

#include <dandelionstall/coordination/config_delta.h>

#include "config_compression.h"

#include <algorithm>

namespace dandelionstall::coordination {

namespace {

constexpr std::chrono::milliseconds ChunkTimeout{300};
constexpr std::chrono::seconds HeldFetchInterval{5}; // for an older table while the only one known is held back
constexpr std::uint32_t MaxAttempts = 6;             // then another node is tried
constexpr std::uint32_t MaxFirstAttempts = 1;        // of a node that has not sent a single chunk: it may not hear this one
constexpr std::size_t ChunksUnderWay = 8;            // asked for at a time
constexpr std::uint32_t MaxTransferBytes = 64'000'000;
constexpr std::size_t OldTexts = 8;    // versions that differences are made from
constexpr std::size_t CachedBlobs = 4; // differences kept ready

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
    remember(kind, before);
    offer_result result = m_store.offer(kind, std::move(text), source);
    if (m_store.newestKnown(kind) != before) {
        if (!m_pushDue[indexOf(kind)]) {
            m_pushBase[indexOf(kind)] = before;
        }
        m_pushDue[indexOf(kind)] = true;
        remember(kind, m_store.newestKnown(kind));
        std::optional<transfer> &current = transferOf(kind);
        if (current && current->part.target.revision != 0 && current->part.target.revision <= result.version.revision) {
            current.reset();
        }
    }
    if (result.verdict != offer_verdict::unchanged) {
        m_results.push_back({kind, result, source});
    }
    return result;
}

void config_dissemination::remember(table_kind kind, const table_version &version)
{
    table_text text = m_store.text(kind, version);
    std::deque<old_text> &history = m_history[indexOf(kind)];
    const auto known = std::any_of(history.begin(), history.end(), [&](const old_text &old) { return old.version == version; });
    if (!text || known) {
        return;
    }
    history.push_back({version, std::move(text)});
    if (history.size() > OldTexts) {
        history.pop_front();
    }
}

std::array<table_hint, TableKinds.size()> config_dissemination::tableHints() const
{
    return {hintOf(m_store.newestKnown(table_kind::routes)), hintOf(m_store.newestKnown(table_kind::pools))};
}

bool config_dissemination::receivedPeerRevision() const
{
    return m_heardFromPeer;
}

bool config_dissemination::hasPendingPush() const
{
    return m_pushDue != std::array<bool, TableKinds.size()>{};
}

std::vector<offered_table> config_dissemination::consumeOfferedTables()
{
    return std::exchange(m_results, {});
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
    const table_text after = textOf(kind, target);
    if (!after) {
        return nullptr;
    }
    if (base.revision == 0) {
        cache.push_back({base, target, detail::compressBytes(*after)});
    } else {
        const table_text before = textOf(kind, base);
        const std::optional<std::string> delta = before ? makeDelta(*before, *after) : std::nullopt;
        if (!delta) {
            return nullptr;
        }
        cache.push_back({base, target, detail::compressBytes(*delta)});
    }
    if (cache.size() > CachedBlobs) {
        cache.pop_front();
    }
    return &cache.back().bytes;
}

// The difference when there is one, else the whole text.
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

// A node without any table gets the one in force first; a newer one may wait for the other table.
table_version config_dissemination::bestFor(table_kind kind, const table_version &base) const
{
    const table_version inForce = m_store.inForce(kind);
    return base.revision == 0 && inForce.revision != 0 ? inForce : m_store.newestKnown(kind);
}

gossip_message config_dissemination::fetch(const config_part &part) const
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
        if (!std::exchange(m_pushDue[indexOf(kind)], false)) {
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
                out.push_back({peer, fetch({kind, {}, {}, 0, 0, {}})});
            }
        }
    }
    return out;
}

void config_dissemination::serve(const gossip_message &message, gossip_batch &out)
{
    const config_part &asked = *message.config;
    const table_version target = asked.target.revision != 0 ? asked.target : bestFor(asked.kind, asked.base);
    gossip_message answer;
    if (target.revision > asked.base.revision) {
        answer.config = chunkOf(asked.kind, asked.base, target, asked.offset);
    }
    if (answer.config) {
        answer.kind = gossip_kind::config_chunk;
    }
    out.push_back({message.sender.address, std::move(answer)}); // without a chunk it still tells the revisions known here
}

// ---- Receiving ----

gossip_batch config_dissemination::receive(const gossip_message &message, state::time_point now)
{
    gossip_batch out;
    if (message.kind == gossip_kind::config_fetch && message.config) {
        serve(message, out);
    } else if (message.kind == gossip_kind::config_chunk && message.config) {
        takeChunk(message, now, out);
    }
    noteHints(message, now, out);
    return out;
}

void config_dissemination::noteHints(const gossip_message &message, state::time_point now, gossip_batch &out)
{
    for (const table_kind kind : TableKinds) {
        const table_hint &theirs = message.tables[indexOf(kind)];
        const table_version own = m_store.newestKnown(kind);
        m_heardFromPeer = m_heardFromPeer || theirs.revision != 0;
        const bool conflict = theirs.revision == own.revision && own.revision != 0 && theirs.digest != hintOf(own).digest;
        if (conflict) {
            offered_table offered;
            offered.kind = kind;
            offered.result.verdict = offer_verdict::conflict;
            offered.result.version = own;
            offered.source = state::formatNodeAddress(message.sender.address);
            m_results.push_back(std::move(offered));
        }
        const bool waits = m_store.inForce(kind).revision == 0 && own.revision != 0 && m_nextHeldFetch[indexOf(kind)] <= now;
        if ((theirs.revision > own.revision || waits) && !transferOf(kind)) {
            m_nextHeldFetch[indexOf(kind)] = now + HeldFetchInterval;
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
    out.push_back({from, fetch(next.part)});
    transferOf(kind) = std::move(next);
}

void config_dissemination::takeChunk(const gossip_message &message, state::time_point now, gossip_batch &out)
{
    const config_part &part = *message.config;
    const bool usable = part.total > 0 && part.total <= MaxTransferBytes && part.offset % ConfigChunkBytes == 0 && part.offset < part.total;
    const bool wanted = part.target.revision > m_store.newestKnown(part.kind).revision
                        || (m_store.inForce(part.kind).revision == 0 && part.target != m_store.newestKnown(part.kind));
    const bool baseKnown = part.base.revision == 0 || textOf(part.kind, part.base) != nullptr;
    if (!usable || !wanted || !baseKnown) {
        return;
    }
    std::optional<transfer> &current = transferOf(part.kind);
    const bool same = current && current->part.target == part.target && current->part.base == part.base && !current->chunks.empty();
    if (!same) {
        if (part.offset != 0 || (current && !current->chunks.empty() && current->part.target.revision >= part.target.revision)) {
            return;
        }
        current = transfer{message.sender.address, part, std::vector<std::optional<std::string>>(chunkCount(part.total)), 1, 0, now + ChunkTimeout};
        current->part.bytes.clear();
    }
    const std::size_t index = part.offset / ConfigChunkBytes;
    if (index >= current->chunks.size() || current->chunks[index]) { // a repeated chunk must not put off the next try
        return;
    }
    current->chunks[index] = part.bytes;
    current->attempts = 0;
    current->retryAt = now + ChunkTimeout;
    if (std::all_of(current->chunks.begin(), current->chunks.end(), [](const auto &chunk) { return chunk.has_value(); })) {
        const transfer done = *std::exchange(current, std::nullopt);
        finish(part.kind, done, now);
    } else {
        askMore(*current, now, out);
    }
}

void config_dissemination::askMore(transfer &current, state::time_point now, gossip_batch &out)
{
    const auto arrived
        = static_cast<std::size_t>(std::count_if(current.chunks.begin(), current.chunks.end(), [](const auto &chunk) { return chunk.has_value(); }));
    const std::size_t end = std::min(current.chunks.size(), arrived + ChunksUnderWay);
    for (; current.nextChunk < end; ++current.nextChunk) {
        config_part part = current.part;
        part.offset = static_cast<std::uint32_t>(current.nextChunk * ConfigChunkBytes);
        out.push_back({current.from, fetch(part)});
    }
    current.retryAt = now + ChunkTimeout;
}

void config_dissemination::finish(table_kind kind, const transfer &done, state::time_point now)
{
    std::string bytes;
    bytes.reserve(done.part.total);
    for (const std::optional<std::string> &chunk : done.chunks) {
        bytes += *chunk;
    }
    std::optional<std::string> after = detail::decompressBytes(bytes, MaxTransferBytes);
    if (after && done.part.base.revision != 0) {
        const table_text before = textOf(kind, done.part.base);
        after = before ? applyDelta(*before, *after) : std::nullopt;
    }
    if (!after) {
        return;
    }
    bytes = *std::move(after);
    if (textDigest(bytes) == done.part.target.digest) { // else a chunk was wrong; a later message starts it again
        offer(kind, std::move(bytes), state::formatNodeAddress(done.from), now);
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
            current.reset(); // the next message from any node that is ahead starts again
            continue;
        }
        current->retryAt = now + ChunkTimeout;
        if (current->chunks.empty()) {
            out.push_back({current->from, fetch(current->part)});
            continue;
        }
        std::size_t asked = 0;
        for (std::size_t i = 0; i < current->nextChunk && asked < ChunksUnderWay; ++i) {
            if (!current->chunks[i]) {
                config_part part = current->part;
                part.offset = static_cast<std::uint32_t>(i * ConfigChunkBytes);
                out.push_back({current->from, fetch(part)});
                ++asked;
            }
        }
    }
    return out;
}

} // namespace dandelionstall::coordination
