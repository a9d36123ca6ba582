#include "load_profile.h"

#include "key_values.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <random>

namespace dandelionstall::standins {

namespace {

void readLoad(key_values &values, load_profile &profile)
{
    profile.seed = values.consume("seed", profile.seed);
    const auto nodes = values.consume<std::string>("nodes", "");
    boost::split(profile.nodes, nodes, boost::is_any_of(", "), boost::token_compress_on);
    profile.source = values.consume("source", profile.source);
    profile.idPrefix = values.consume("id_prefix", profile.idPrefix);
    profile.maxOpen = values.consume("max_open", profile.maxOpen);
    profile.idHeader = values.consume("id_header", profile.idHeader);
    profile.timeLeftHeader = values.consume("time_left_header", profile.timeLeftHeader);
}

load_phase readPhase(const std::string &name, key_values &values)
{
    load_phase phase;
    phase.name = name;
    phase.length = std::chrono::milliseconds(static_cast<std::int64_t>(values.consume("seconds", 1.0) * 1000));
    phase.rate = values.consume("rate", phase.rate);
    return phase;
}

request_class readClass(const std::string &name, key_values &values)
{
    request_class each;
    each.name = name;
    each.share = values.consume("share", each.share);
    each.path = values.consume("path", each.path);
    each.method = values.consume("method", each.method);
    each.host = values.consume("host", each.host);
    each.idempotent = values.consumeFlag("idempotent");
    each.ticket = values.consumeFlag("ticket");
    each.cost = values.consumeMillis("cost_ms", each.cost);
    each.costSigma = values.consume("cost_sigma", each.costSigma);
    each.stragglerShare = values.consume("straggler_share", each.stragglerShare);
    each.stragglerFactor = values.consume("straggler_factor", each.stragglerFactor);
    each.bytes = values.consume("bytes", each.bytes);
    each.worth = values.consume("worth", each.worth);
    each.deadline = values.consumeMillis("deadline_ms", each.deadline);
    each.organisations = values.consume("organisations", each.organisations);
    each.retries = values.consume("retries", each.retries);
    each.calls = values.consume("calls", each.calls);
    each.callsShare = values.consume("calls_share", each.callsShare);
    each.leaveShare = values.consume("leave_share", each.leaveShare);
    each.leaveAfter = values.consumeMillis("leave_ms", each.leaveAfter);
    each.again = values.consume("again", each.again);
    each.againShare = values.consume("again_share", each.againShare);
    return each;
}

// Draws only for classes with the feature, so that the plans of other profiles stay the same.
bool drawIf(bool hasFeature, double share, std::mt19937_64 &random)
{
    return hasFeature && std::bernoulli_distribution(share)(random);
}

std::chrono::milliseconds drawCost(const request_class &each, std::mt19937_64 &random)
{
    double cost = static_cast<double>(each.cost.count());
    if (each.costSigma > 0) {
        cost *= std::lognormal_distribution<double>(0.0, each.costSigma)(random);
    }
    if (std::bernoulli_distribution(each.stragglerShare)(random)) {
        cost *= each.stragglerFactor;
    }
    return std::chrono::milliseconds(static_cast<std::int64_t>(cost + 0.5));
}

} // namespace

load_profile readLoadProfile(const std::string &path)
{
    load_profile profile;
    for (auto &[name, values] : readSections(path)) {
        if (name == "load") {
            readLoad(values, profile);
        } else if (name.starts_with("phase.")) {
            profile.phases.push_back(readPhase(name.substr(6), values));
        } else if (name.starts_with("class.")) {
            profile.classes.push_back(readClass(name.substr(6), values));
        } else {
            throw std::invalid_argument("unknown section " + name);
        }
        values.expectAllConsumed();
    }
    if (profile.nodes.empty() || profile.phases.empty() || profile.classes.empty()) {
        throw std::invalid_argument("a load profile needs at least one node, one phase and one class");
    }
    return profile;
}

std::vector<planned_request> planLoad(const load_profile &profile)
{
    std::mt19937_64 random(profile.seed);
    std::vector<double> shares;
    for (const request_class &each : profile.classes) {
        shares.push_back(each.share);
    }
    std::discrete_distribution<std::size_t> drawClass(shares.begin(), shares.end());
    std::uniform_int_distribution<std::size_t> drawNode(0, profile.nodes.size() - 1);
    std::vector<planned_request> plan;
    std::chrono::microseconds start{0};
    for (std::size_t phase = 0; phase < profile.phases.size(); ++phase) {
        const load_phase &current = profile.phases[phase];
        const std::chrono::microseconds end = start + current.length;
        std::exponential_distribution<double> drawGap(current.rate);
        const auto nextGap = [&] {
            return std::chrono::microseconds(static_cast<std::int64_t>(drawGap(random) * 1e6));
        };
        for (std::chrono::microseconds due = start + nextGap(); due < end; due += nextGap()) {
            planned_request request;
            request.id = fmt::format("{}{}-{}", profile.idPrefix, profile.seed, plan.size());
            request.due = due;
            request.phase = phase;
            request.requestClass = drawClass(random);
            request.node = drawNode(random);
            const request_class &kind = profile.classes[request.requestClass];
            request.cost = drawCost(kind, random);
            const std::uint32_t last = std::max(kind.organisations, 1U) - 1;
            request.organisation = fmt::format("outlet-{}", std::uniform_int_distribution<std::uint32_t>(0, last)(random));
            request.calls = drawIf(kind.calls > 0, kind.callsShare, random) ? kind.calls : 0;
            request.leaves = drawIf(kind.leaveShare > 0.0, kind.leaveShare, random);
            request.comesAgain = drawIf(kind.again > 0, kind.againShare, random);
            plan.push_back(std::move(request));
        }
        start = end;
    }
    return plan;
}

} // namespace dandelionstall::standins
