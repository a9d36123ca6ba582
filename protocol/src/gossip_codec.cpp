#include <dandelionstall/protocol/gossip_codec.h>

#include <dandelionstall/protocol/errors.h>
#include <dandelionstall/protocol/report_codec.h>

#include <gossip.pb.h>

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <limits>

namespace dandelionstall::protocol {

namespace {

using coordination::gossip_kind;
using coordination::gossip_message;
using coordination::member;
using coordination::member_state;
using coordination::table_kind;
using coordination::table_version;

constexpr auto LastKind = static_cast<std::uint32_t>(gossip_kind::rates);
constexpr auto LastMemberState = static_cast<std::uint32_t>(member_state::dead);
constexpr auto LastWorkerPhase = static_cast<std::uint32_t>(coordination::worker_phase::removed);
constexpr std::uint32_t MaxPort = std::numeric_limits<std::uint16_t>::max();

absl::Status malformed(std::string_view reason)
{
    return makeError(protocol_error::malformed_message, reason);
}

void writeAddress(const state::node_address &address, wire::GossipAddress &out)
{
    out.set_port(address.port);
    in_addr v4{};
    in6_addr v6{};
    if (inet_pton(AF_INET, address.ip.c_str(), &v4) == 1) {
        out.set_ipv4(ntohl(v4.s_addr));
    } else if (inet_pton(AF_INET6, address.ip.c_str(), &v6) == 1) {
        out.set_ipv6(&v6, sizeof(v6));
    }
}

absl::StatusOr<state::node_address> readAddress(const wire::GossipAddress &in)
{
    std::array<char, INET6_ADDRSTRLEN> text{};
    const in_addr v4{htonl(in.ipv4())};
    const bool isV6 = in.ipv6().size() == sizeof(in6_addr);
    const char *ip = isV6 ? inet_ntop(AF_INET6, in.ipv6().data(), text.data(), text.size()) : inet_ntop(AF_INET, &v4, text.data(), text.size());
    if (ip == nullptr || in.port() == 0 || in.port() > MaxPort || (!isV6 && in.ipv4() == 0)) {
        return malformed("gossip message with an invalid address, expected an IP address and a port from 1 to 65535");
    }
    return state::node_address{ip, static_cast<std::uint16_t>(in.port())};
}

void writeMember(const member &value, wire::GossipMember &out)
{
    writeAddress(value.address, *out.mutable_address());
    out.set_incarnation(value.incarnation);
    out.set_refutations(value.refutations);
    out.set_state(static_cast<std::uint32_t>(value.state));
    out.set_leaving(value.leaving);
    out.set_data_centre(value.dataCentre);
}

absl::StatusOr<member> readMember(const wire::GossipMember &in)
{
    absl::StatusOr<state::node_address> address = readAddress(in.address());
    if (!address.ok()) {
        return address.status();
    }
    if (in.state() > LastMemberState) {
        return malformed("gossip message with an unknown member state");
    }
    return member{*std::move(address), in.data_centre(), in.incarnation(), in.refutations(), static_cast<member_state>(in.state()), in.leaving()};
}

void writeHint(const coordination::table_hint &hint, wire::TableHint &out)
{
    out.set_revision(hint.revision);
    out.set_digest(hint.digest);
}

void writeVersion(const table_version &version, wire::TableVersion &out)
{
    out.set_revision(version.revision);
    out.set_digest(version.digest);
}

void writeConfig(const coordination::config_part &part, wire::ConfigPart &out)
{
    out.set_kind(static_cast<std::uint32_t>(part.kind));
    if (part.base.revision != 0) {
        writeVersion(part.base, *out.mutable_base());
    }
    if (part.target.revision != 0) {
        writeVersion(part.target, *out.mutable_target());
    }
    out.set_offset(part.offset);
    out.set_total(part.total);
    out.set_bytes(part.bytes);
}

absl::StatusOr<coordination::config_part> readConfig(const wire::ConfigPart &in)
{
    if (in.kind() >= coordination::TableKinds.size()) {
        return malformed("gossip message with an unknown table kind");
    }
    coordination::config_part part;
    part.kind = coordination::TableKinds.at(in.kind());
    part.base = {in.base().revision(), in.base().digest()};
    part.target = {in.target().revision(), in.target().digest()};
    part.offset = in.offset();
    part.total = in.total();
    part.bytes = in.bytes();
    return part;
}

void writeWorker(const coordination::worker_update &update, wire::DiscoveredWorker &out)
{
    const coordination::discovered_worker &entry = update.entry;
    out.set_id(entry.id);
    out.set_pool(entry.pool);
    out.set_data_centre(entry.dataCentre);
    if (entry.node.port != 0) { // the tombstone of an unknown worker has no addresses
        writeAddress(entry.node, *out.mutable_node());
        writeAddress(entry.address, *out.mutable_address());
    }
    out.set_slots(entry.slots);
    out.set_phase(static_cast<std::uint32_t>(entry.phase));
    out.set_version(entry.version);
    out.set_started_ms(entry.startedAtMs);
    out.set_cold_left_ms(static_cast<std::uint32_t>(update.coldRemaining.count()));
    out.set_revision(entry.revision.revision);
    out.set_era(entry.revision.era);
    out.set_sequence(entry.sequence);
}

absl::StatusOr<coordination::worker_update> readWorker(const wire::DiscoveredWorker &in)
{
    if (in.id().empty() || in.phase() > LastWorkerPhase) {
        return malformed("gossip message with an invalid worker entry, expected an id and a known phase");
    }
    coordination::worker_update update;
    coordination::discovered_worker &entry = update.entry;
    entry.id = in.id();
    entry.pool = in.pool();
    entry.dataCentre = in.data_centre();
    entry.slots = in.slots();
    entry.phase = static_cast<coordination::worker_phase>(in.phase());
    entry.version = in.version();
    entry.startedAtMs = in.started_ms();
    entry.revision = {in.era(), in.revision()};
    entry.sequence = in.sequence();
    update.coldRemaining = std::chrono::milliseconds(in.cold_left_ms());
    if (!in.has_node() && entry.phase == coordination::worker_phase::removed) {
        return update;
    }
    absl::StatusOr<state::node_address> node = readAddress(in.node());
    absl::StatusOr<state::node_address> address = readAddress(in.address());
    if (!node.ok() || !address.ok()) {
        return node.ok() ? address.status() : node.status();
    }
    entry.node = *std::move(node);
    entry.address = *std::move(address);
    return update;
}

absl::Status readSender(const wire::GossipMember &in, coordination::gossip_sender &out)
{
    absl::StatusOr<member> sender = readMember(in);
    if (!sender.ok()) {
        return sender.status();
    }
    out = {sender->address, sender->dataCentre, sender->incarnation, sender->refutations, sender->leaving};
    return absl::OkStatus();
}

// Leaves out rows that cannot be used: the others of the message hold.
template<typename rows, typename reader, typename values>
void readRows(const rows &in, const reader &read, values &out, std::size_t &unusable)
{
    for (const auto &row : in) {
        auto value = read(row);
        if (value.ok()) {
            out.push_back(*std::move(value));
        } else {
            ++unusable;
        }
    }
}

bool isPart(float value)
{
    return value >= 0.0F && value <= 1.0F; // false for what is no number
}

absl::StatusOr<coordination::rate_report> readRateReport(const wire::RateReport &in)
{
    if (in.organisation().empty() || in.session() == 0 || in.admitted() > in.offered() || in.unanswered() > in.admitted() || !isPart(in.share())) {
        return malformed("gossip message with an invalid report of an organisation's requests");
    }
    return coordination::rate_report{in.organisation(), in.session(), in.offered(), in.admitted(), in.returned(), in.unanswered(), in.share()};
}

absl::StatusOr<coordination::rate_grant> readRateGrant(const wire::RateGrant &in)
{
    if (in.organisation().empty() || !isPart(in.fraction()) || !isPart(in.share())) {
        return malformed("gossip message with an invalid answer about an organisation's requests");
    }
    return coordination::rate_grant{in.organisation(), in.session(), in.admitted(), in.fraction(), in.share(), in.young()};
}

void readUpdates(const wire::Gossip &in, gossip_message &out)
{
    readRows(in.updates(), readMember, out.updates, out.unusableRows);
    readRows(in.reports(), readReport, out.reports, out.unusableRows);
    readRows(in.workers(), readWorker, out.workers, out.unusableRows);
    readRows(in.rate_reports(), readRateReport, out.rates.reports, out.unusableRows);
    readRows(in.rate_grants(), readRateGrant, out.rates.grants, out.unusableRows);
    out.rates.relayGroups = in.rate_relay_groups();
}

absl::Status readOptionalFields(const wire::Gossip &in, gossip_message &out)
{
    if (in.has_heard_you_ms()) {
        out.receiverContactAge = std::chrono::milliseconds(in.heard_you_ms());
    }
    if (in.has_subject()) {
        absl::StatusOr<state::node_address> subject = readAddress(in.subject());
        if (!subject.ok()) {
            return subject.status();
        }
        out.subject = *std::move(subject);
    }
    if (in.workers_buckets_size() > 0) {
        coordination::bucket_digests &buckets = out.workersBuckets.emplace();
        if (static_cast<std::size_t>(in.workers_buckets_size()) != buckets.size()) {
            return malformed("gossip message with an unknown number of digests of workers");
        }
        std::copy(in.workers_buckets().begin(), in.workers_buckets().end(), buckets.begin());
    }
    if (in.has_config()) {
        absl::StatusOr<coordination::config_part> part = readConfig(in.config());
        if (!part.ok()) {
            return part.status();
        }
        out.config = *std::move(part);
    }
    return absl::OkStatus();
}

// Without the fields of membership and configuration: these messages are many.
std::string encodeRates(const gossip_message &message)
{
    wire::Gossip out;
    out.set_kind(static_cast<std::uint32_t>(message.kind));
    writeAddress(message.sender.address, *out.mutable_sender()->mutable_address());
    out.set_rate_relay_groups(message.rates.relayGroups);
    for (const coordination::rate_report &report : message.rates.reports) {
        wire::RateReport &row = *out.add_rate_reports();
        row.set_organisation(report.organisation);
        row.set_session(report.session);
        row.set_offered(report.offered);
        row.set_admitted(report.admitted);
        row.set_returned(report.returned);
        row.set_unanswered(report.unanswered);
        row.set_share(report.share);
    }
    for (const coordination::rate_grant &grant : message.rates.grants) {
        wire::RateGrant &row = *out.add_rate_grants();
        row.set_organisation(grant.organisation);
        row.set_session(grant.session);
        row.set_admitted(grant.admitted);
        row.set_fraction(grant.fraction);
        row.set_share(grant.share);
        row.set_young(grant.isYoung);
    }
    return out.SerializeAsString();
}

} // namespace

std::string encodeGossip(const gossip_message &message)
{
    if (message.kind == gossip_kind::rates) {
        return encodeRates(message);
    }
    wire::Gossip out;
    out.set_kind(static_cast<std::uint32_t>(message.kind));
    out.set_sequence(message.sequence);
    const coordination::gossip_sender &sender = message.sender;
    writeMember({sender.address, sender.dataCentre, sender.incarnation, sender.refutations, member_state::alive, sender.leaving}, *out.mutable_sender());
    writeHint(message.tables[0], *out.mutable_routes());
    writeHint(message.tables[1], *out.mutable_pools());
    out.set_read_age_ms(static_cast<std::uint32_t>(message.serviceReadAge.count()));
    out.set_removal_hold_ms(static_cast<std::uint32_t>(message.removalHold.count()));
    out.set_reader_round(message.readers.round);
    out.set_reader_first(message.readers.first);
    out.set_reader_width(message.readers.width);
    if (message.receiverContactAge) {
        out.set_heard_you_ms(static_cast<std::uint32_t>(message.receiverContactAge->count()));
    }
    if (message.subject) {
        writeAddress(*message.subject, *out.mutable_subject());
    }
    for (const member &update : message.updates) {
        writeMember(update, *out.add_updates());
    }
    for (const coordination::worker_report &report : message.reports) {
        writeReport(report, *out.add_reports());
    }
    out.set_workers_digest(message.workersDigest);
    out.set_workers_cursor(message.workersCursor);
    out.set_store_era(message.storeEra);
    if (message.workersBuckets) {
        out.mutable_workers_buckets()->Add(message.workersBuckets->begin(), message.workersBuckets->end());
    }
    for (const coordination::worker_update &update : message.workers) {
        writeWorker(update, *out.add_workers());
    }
    if (message.config) {
        writeConfig(*message.config, *out.mutable_config());
    }
    return out.SerializeAsString();
}

absl::StatusOr<gossip_message> decodeGossip(std::string_view datagram)
{
    wire::Gossip in;
    if (!in.ParseFromArray(datagram.data(), static_cast<int>(datagram.size())) || in.kind() > LastKind) {
        return malformed("datagram is not a gossip message");
    }
    gossip_message message;
    message.kind = static_cast<gossip_kind>(in.kind());
    message.sequence = in.sequence();
    message.tables
        = {coordination::table_hint{in.routes().revision(), in.routes().digest()}, coordination::table_hint{in.pools().revision(), in.pools().digest()}};
    if (in.reader_width() != 0) {
        message.readers = {in.reader_round(), in.reader_first(), in.reader_width()};
    }
    message.serviceReadAge = in.has_read_age_ms() ? std::chrono::milliseconds(in.read_age_ms()) : std::chrono::milliseconds(coordination::MaxReadAge);
    message.removalHold = std::chrono::milliseconds(in.removal_hold_ms());
    message.workersDigest = in.workers_digest();
    message.workersCursor = in.workers_cursor();
    message.storeEra = in.store_era();
    for (const absl::Status &status : {readSender(in.sender(), message.sender), readOptionalFields(in, message)}) {
        if (!status.ok()) {
            return status;
        }
    }
    readUpdates(in, message);
    return message;
}

} // namespace dandelionstall::protocol
