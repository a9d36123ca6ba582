#include <dandelionstall/coordination/configuration/config_store.h>

#include <dandelionstall/coordination/errors.h>

#include <fmt/format.h>

#include <utility>

namespace dandelionstall::coordination {

namespace {

template<typename table>
table_version versionOf(const std::shared_ptr<const table> &parsed)
{
    return parsed ? table_version{parsed->revision, parsed->digest} : table_version{};
}

absl::Status refusal(state::state_error code, std::string_view reason)
{
    return wrapStateError(state::makeError(code, reason));
}

} // namespace

std::string_view tableKindName(table_kind kind)
{
    return kind == table_kind::routes ? "routes" : "pools";
}

std::string_view offerVerdictName(offer_verdict verdict)
{
    switch (verdict) {
    case offer_verdict::accepted:
        return "accepted";
    case offer_verdict::held:
        return "held";
    case offer_verdict::unchanged:
        return "unchanged";
    case offer_verdict::stale:
        return "stale";
    case offer_verdict::conflict:
        return "conflict";
    case offer_verdict::broken:
        return "broken";
    }
    return "broken";
}

offer_result config_store::offer(table_kind kind, std::string text, std::string_view source)
{
    const std::string location = fmt::format("{}@{}", tableKindName(kind), source);
    if (kind == table_kind::routes) {
        absl::StatusOr<state::route_table> parsed = state::parseRouteTable(text, location);
        return handleParsed(m_routes, kind, std::move(parsed), std::move(text));
    }
    absl::StatusOr<state::pool_table> parsed = state::parsePoolTable(text, location);
    return handleParsed(m_pools, kind, std::move(parsed), std::move(text));
}

template<typename table>
offer_result config_store::handleParsed(table_slots<table> &tables, table_kind kind, absl::StatusOr<table> parsed, std::string text)
{
    if (!parsed.ok()) {
        return {offer_verdict::broken, {}, wrapStateError(parsed.status())};
    }
    const table_version version{parsed->revision, parsed->digest};
    const table_version best = versionOf(tables.pending.parsed ? tables.pending.parsed : tables.inForce.parsed);
    if (version == best || version == versionOf(tables.inForce.parsed)) {
        return {offer_verdict::unchanged, version, absl::OkStatus()};
    }
    if (version.revision == best.revision || version.revision == inForce(kind).revision) {
        return {offer_verdict::conflict,
                version,
                refusal(state::state_error::conflict, fmt::format("revision {} is already known with different content", version.revision))};
    }
    if (version.revision < best.revision) {
        if (version.revision > inForce(kind).revision && acceptIntermediate(tables, *parsed, text)) {
            return {offer_verdict::accepted, version, absl::OkStatus()};
        }
        return {offer_verdict::stale,
                version,
                refusal(state::state_error::stale, fmt::format("revision {} is older than the newest known revision {}", version.revision, best.revision))};
    }
    tables.pending.parsed = std::make_shared<const table>(*std::move(parsed));
    tables.pending.text = std::make_shared<const std::string>(std::move(text));
    const absl::Status reason = applyNewestPair();
    const bool isInForce = versionOf(tables.inForce.parsed) == version;
    return {isInForce ? offer_verdict::accepted : offer_verdict::held, version, isInForce ? absl::OkStatus() : reason};
}

// Accepts a table that is older than the pending one but newer than the one in force, if it matches the other table in force.
template<typename table>
bool config_store::acceptIntermediate(table_slots<table> &tables, const table &parsed, const std::string &text)
{
    const slot<table> before = tables.inForce;
    tables.inForce = {std::make_shared<const table>(parsed), std::make_shared<const std::string>(text)};
    absl::Status reason;
    if (tryInForce(m_routes.inForce, m_pools.inForce, reason)) {
        return true;
    }
    tables.inForce = before;
    return false;
}

// Puts the newest valid pair in force: first tries both pending tables together, then each of them with the table in force.
absl::Status config_store::applyNewestPair()
{
    const auto newest = [](const auto &tables) {
        return tables.pending.parsed ? tables.pending : tables.inForce;
    };
    absl::Status reason;
    if (tryInForce(newest(m_routes), newest(m_pools), reason)) {
        return absl::OkStatus();
    }
    absl::Status ignored;
    if (!tryInForce(m_routes.inForce, newest(m_pools), ignored)) {
        tryInForce(newest(m_routes), m_pools.inForce, ignored);
    }
    return reason;
}

bool config_store::tryInForce(const slot<state::route_table> &routes, const slot<state::pool_table> &pools, absl::Status &reason)
{
    if (routes.parsed) {
        reason = pools.parsed ? wrapStateError(state::checkPoolReferences(*routes.parsed, *pools.parsed))
                              : refusal(state::state_error::unresolved, "no pool table received yet");
    }
    if (!reason.ok()) {
        return false;
    }
    const auto putInForce = [](auto &tables, auto chosen) { // by value, because the argument may be the slot that is cleared
        if (chosen.parsed == tables.pending.parsed) {
            tables.pending = {};
        }
        tables.inForce = std::move(chosen);
    };
    putInForce(m_routes, routes);
    putInForce(m_pools, pools);
    return true;
}

std::shared_ptr<const state::route_table> config_store::routes() const
{
    return m_routes.inForce.parsed;
}

std::shared_ptr<const state::pool_table> config_store::pools() const
{
    return m_pools.inForce.parsed;
}

table_version config_store::inForce(table_kind kind) const
{
    return kind == table_kind::routes ? versionOf(m_routes.inForce.parsed) : versionOf(m_pools.inForce.parsed);
}

table_version config_store::newestKnown(table_kind kind) const
{
    if (kind == table_kind::routes) {
        return versionOf(m_routes.pending.parsed ? m_routes.pending.parsed : m_routes.inForce.parsed);
    }
    return versionOf(m_pools.pending.parsed ? m_pools.pending.parsed : m_pools.inForce.parsed);
}

table_text config_store::text(table_kind kind, const table_version &version) const
{
    const auto find = [&version](const auto &tables) -> table_text {
        if (versionOf(tables.inForce.parsed) == version) {
            return tables.inForce.text;
        }
        return versionOf(tables.pending.parsed) == version ? tables.pending.text : nullptr;
    };
    return kind == table_kind::routes ? find(m_routes) : find(m_pools);
}

} // namespace dandelionstall::coordination
