// The rates of organisations: between the counts of the ingresses, this node's coordinator and the other nodes.
#include "control_detail.h"

#include <dandelionstall/transport/events.h>

#include <fmt/format.h>

#include <cmath>

namespace dandelionstall {

using coordination::member;
using coordination::member_state;
using coordination::rate_client;
using transport::event;
using transport::logEvent;

namespace {

constexpr double LoggedShareChange = 0.1;
constexpr std::chrono::seconds ShareLinePeriod{1};

} // namespace

void control::detail::tickRates(state::time_point now)
{
    followFleet(now);
    double answeringShare = 1.0;
    std::vector<coordination::outgoing_rates> reports = m_rateClient.access([&](rate_client &client) {
        answeringShare = client.answeringShare(now);
        return client.makeReports(m_rates.ring(), now);
    });
    applyRates(m_rates.tick(std::move(reports), [this](const std::string &organisation) { return limitOf(organisation); }, answeringShare, now), now);
    const double share = m_rates.share();
    if (now >= m_nextRateShareLine && std::abs(share - m_loggedRateShare) >= LoggedShareChange) {
        m_nextRateShareLine = now + ShareLinePeriod;
        m_loggedRateShare = share;
        m_metrics.setGauge("rate_share", share);
        logEvent(event::rate_scaled,
                 {{"share", fmt::format("{:.2f}", share)},
                  {"nodes", fmt::to_string(m_rates.ring().nodes().size())},
                  {"answering", fmt::format("{:.2f}", answeringShare)}});
    }
}

void control::detail::receiveRates(const coordination::gossip_message &message, state::time_point now)
{
    const auto limits = [this](const std::string &organisation) {
        return limitOf(organisation);
    };
    applyRates(m_rates.receive(message.sender.address, message.rates, limits, now), now);
}

// Nodes that are lost may still let requests through, on the other side of a partition; those that have left don't. A suspected node counts
// as in contact until it is declared dead: most suspicions are refuted, and each change moves organisations to other coordinators.
void control::detail::followFleet(state::time_point now)
{
    const coordination::membership &members = m_gossipNode.members();
    const bool isAlone = members.isIsolated(now);
    if (m_ratesMembers == members.version() + 1 && m_ratesAlone == isAlone) {
        return;
    }
    m_ratesMembers = members.version() + 1;
    m_ratesAlone = isAlone;
    std::vector<state::node_address> inContact;
    std::size_t known = 1;
    if (!members.isLeaving()) {
        inContact.push_back(members.self().address);
    }
    for (const member &other : members.members()) {
        known += other.leaving && other.state == member_state::dead ? 0 : 1;
        const bool inTouch = other.state == member_state::alive || other.state == member_state::suspect;
        if (inTouch && !other.leaving) {
            inContact.push_back(other.address);
        }
    }
    m_rateClient.access([&](rate_client &client) { client.setFleet(known, isAlone); });
    m_rates.setFleet(std::move(inContact), known, isAlone, now);
}

void control::detail::applyRates(const coordination::rate_step &step, state::time_point now)
{
    if (!step.answers.empty()) {
        m_rateClient.access([&](rate_client &client) {
            for (const coordination::rate_answer &answer : step.answers) {
                client.receive(answer.from, answer.grant, now);
            }
        });
    }
    coordination::gossip_batch batch;
    for (const coordination::outgoing_rates &out : step.out) {
        m_metrics.incrementCounter(out.message.reports.empty() ? "rate_grants" : "rate_reports");
        coordination::gossip_message message;
        message.kind = coordination::gossip_kind::rates;
        message.sender.address = m_settings.advertiseAddress;
        message.rates = out.message;
        batch.push_back({out.to, std::move(message)});
    }
    send(batch);
}

coordination::organisation_limit control::detail::limitOf(const std::string &organisation) const
{
    const coordination::fleet_snapshot_ptr snapshot = current();
    const state::organisation *row = snapshot->organisations ? snapshot->organisations->findByName(organisation) : nullptr;
    return row == nullptr ? coordination::organisation_limit{} : coordination::limitOf(*row, snapshot->routes->organisationRules);
}

} // namespace dandelionstall
