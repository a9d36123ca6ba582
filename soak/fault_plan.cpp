#include "fault_plan.h"

#include <absl/strings/numbers.h>
#include <fmt/format.h>
#include <pcg_random.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <sstream>
#include <tuple>

namespace dandelionstall::soak {

namespace {

using std::chrono::milliseconds;

struct kind_row {
    fault_kind kind;
    std::string_view name;
    bool hasDuration = true; // false: the fault has no duration and is not undone
};

constexpr std::array Kinds{
    kind_row{fault_kind::node_kill, "node_kill"},       kind_row{fault_kind::node_pause, "node_pause"},
    kind_row{fault_kind::node_stop, "node_stop"},       kind_row{fault_kind::worker_kill, "worker_kill"},
    kind_row{fault_kind::worker_pause, "worker_pause"}, kind_row{fault_kind::worker_fail, "worker_fail"},
    kind_row{fault_kind::worker_hang, "worker_hang"},   kind_row{fault_kind::worker_slow, "worker_slow"},
    kind_row{fault_kind::worker_shed, "worker_shed"},   kind_row{fault_kind::worker_reset, "worker_reset"},
    kind_row{fault_kind::path_cut, "path_cut"},         kind_row{fault_kind::path_one_way, "path_one_way"},
    kind_row{fault_kind::path_slow, "path_slow"},       kind_row{fault_kind::path_lossy, "path_lossy"},
    kind_row{fault_kind::path_reset, "path_reset"},     kind_row{fault_kind::path_silent, "path_silent", false},
    kind_row{fault_kind::store_closed, "store_closed"}, kind_row{fault_kind::store_silent, "store_silent"},
    kind_row{fault_kind::store_stale, "store_stale"},   kind_row{fault_kind::table_change, "table_change", false},
    kind_row{fault_kind::worker_limit, "worker_limit"}, kind_row{fault_kind::worker_leave, "worker_leave"},
};
constexpr std::size_t UsualKinds = 20; // the first ones; kinds after them are drawn on request only, since seeds in use would change their meaning

constexpr double MaxPathShare = 0.1; // maximum share of lost or reset segments; maximum delay in seconds
constexpr double SeriesShare = 0.3;  // share of the generated steps that are repeated
constexpr std::uint32_t MaxSeries = 3;
constexpr std::uint32_t MinLengthMs = 200;
constexpr std::uint32_t MaxLengthMs = 4000;
constexpr std::array HerdKinds{fault_kind::node_kill, fault_kind::node_pause, fault_kind::worker_kill, fault_kind::worker_pause};
constexpr double MinHerdShare = 0.2; // of the nodes or workers
constexpr double MaxHerdShare = 0.55;

const kind_row &rowOf(fault_kind kind)
{
    return *std::find_if(Kinds.begin(), Kinds.end(), [kind](const kind_row &row) { return row.kind == kind; });
}

bool isPath(fault_kind kind)
{
    return rowOf(kind).name.starts_with("path_");
}

fault_step generateStep(const plan_options &options, pcg64 &random)
{
    fault_step step;
    step.kind = options.kinds.empty() ? Kinds.at(random(UsualKinds)).kind : options.kinds.at(random(static_cast<std::uint32_t>(options.kinds.size())));
    step.target = random(options.nodes);
    step.peer = (step.target + 1 + random(options.nodes - 1)) % options.nodes;
    step.strength = std::uniform_real_distribution<double>(0.1, 1.0)(random) * (isPath(step.kind) ? MaxPathShare : 1.0);
    const auto latest = static_cast<std::uint32_t>(options.length.count() * 3 / 4);
    step.at = milliseconds(random(latest));
    if (rowOf(step.kind).hasDuration) {
        step.duration = std::min(milliseconds(MinLengthMs + random(MaxLengthMs - MinLengthMs)), options.length - step.at);
    }
    return step;
}

// Many nodes or workers with the same fault from the same moment on.
void appendHerd(const plan_options &options, pcg64 &random, std::vector<fault_step> &steps)
{
    fault_step step = generateStep(options, random);
    step.kind = HerdKinds.at(random(HerdKinds.size()));
    step.duration = std::min(milliseconds(MinLengthMs + random(MaxLengthMs - MinLengthMs)), options.length - step.at);
    const double share = std::uniform_real_distribution<double>(MinHerdShare, MaxHerdShare)(random);
    for (step.target = 0; step.target < options.nodes; ++step.target) {
        if (std::bernoulli_distribution(share)(random)) {
            step.peer = (step.target + 1) % options.nodes;
            steps.push_back(step);
        }
    }
}

using text_fields = std::map<std::string, std::string, std::less<>>;

text_fields fieldsOf(const std::string &line)
{
    text_fields fields;
    std::istringstream words(line);
    for (std::string word; words >> word;) {
        const std::size_t equals = std::min(word.find('='), word.size());
        fields.emplace(word.substr(0, equals), word.substr(std::min(equals + 1, word.size())));
    }
    return fields;
}

template<typename number>
bool readNumber(const text_fields &fields, std::string_view name, number &value)
{
    const auto found = fields.find(name);
    if (found == fields.end()) {
        return false;
    }
    if constexpr (std::is_floating_point_v<number>) {
        return absl::SimpleAtod(found->second, &value);
    } else {
        return absl::SimpleAtoi(found->second, &value);
    }
}

bool readSpan(const text_fields &fields, std::string_view name, milliseconds &value)
{
    std::int64_t count = 0;
    const bool read = readNumber(fields, name, count) && count >= 0;
    value = milliseconds(count);
    return read;
}

bool readStep(const text_fields &fields, std::size_t nodes, fault_step &step)
{
    const auto kind = fields.find("kind");
    const auto known = std::find_if(Kinds.begin(), Kinds.end(), [&](const kind_row &row) { return kind != fields.end() && row.name == kind->second; });
    if (known == Kinds.end()) {
        return false;
    }
    step.kind = known->kind;
    return readSpan(fields, "at_ms", step.at) && readSpan(fields, "lasts_ms", step.duration) && readNumber(fields, "target", step.target)
           && readNumber(fields, "peer", step.peer) && readNumber(fields, "strength", step.strength) && step.target < nodes && step.peer < nodes;
}

} // namespace

std::string_view kindName(fault_kind kind)
{
    return rowOf(kind).name;
}

absl::StatusOr<fault_kind> parseKind(std::string_view name)
{
    const auto found = std::find_if(Kinds.begin(), Kinds.end(), [name](const kind_row &row) { return row.name == name; });
    if (found == Kinds.end()) {
        return absl::InvalidArgumentError(fmt::format("unknown kind of fault \"{}\"", name));
    }
    return found->kind;
}

fault_plan generatePlan(const plan_options &options)
{
    pcg64 random(options.seed);
    fault_plan plan{options.seed, options.nodes, options.length, {}};
    const auto wanted = static_cast<std::size_t>(std::chrono::duration<double>(options.length).count() * options.stepsPerSecond);
    while (plan.steps.size() < wanted) {
        fault_step step = generateStep(options, random);
        const std::uint32_t times = std::bernoulli_distribution(SeriesShare)(random) ? 2 + random(MaxSeries - 1) : 1;
        for (std::uint32_t i = 0; i < times && step.at + step.duration <= options.length; ++i) {
            plan.steps.push_back(step);
            step.at += step.duration + milliseconds(MinLengthMs);
        }
    }
    for (std::size_t i = 0; i < options.herds; ++i) {
        appendHerd(options, random, plan.steps);
    }
    const auto orderOf = [](const fault_step &step) {
        return std::tuple(step.at, step.kind, step.target, step.peer, step.duration);
    };
    std::sort(plan.steps.begin(), plan.steps.end(), [&](const fault_step &a, const fault_step &b) { return orderOf(a) < orderOf(b); });
    return plan;
}

std::string formatStep(const fault_step &step)
{
    return fmt::format("kind={} at_ms={} lasts_ms={} target={} peer={} strength={:.3f}",
                       kindName(step.kind),
                       step.at.count(),
                       step.duration.count(),
                       step.target,
                       step.peer,
                       step.strength);
}

std::string formatPlan(const fault_plan &plan)
{
    std::string text = fmt::format("plan seed={} nodes={} length_ms={}\n", plan.seed, plan.nodes, plan.length.count());
    for (const fault_step &step : plan.steps) {
        text += formatStep(step) + "\n";
    }
    return text;
}

absl::StatusOr<fault_plan> parsePlan(std::string_view text)
{
    fault_plan plan;
    std::size_t number = 0;
    bool hasHead = false;
    std::istringstream lines{std::string(text)};
    for (std::string line; std::getline(lines, line);) {
        ++number;
        if (line.empty() || line.starts_with('#')) {
            continue;
        }
        const text_fields fields = fieldsOf(line);
        bool read = false;
        if (!hasHead) {
            read = fields.contains("plan") && readNumber(fields, "seed", plan.seed) && readNumber(fields, "nodes", plan.nodes)
                   && readSpan(fields, "length_ms", plan.length) && plan.nodes > 1;
            hasHead = true;
        } else {
            fault_step step;
            read = readStep(fields, plan.nodes, step);
            plan.steps.push_back(step);
        }
        if (!read) {
            return absl::InvalidArgumentError(fmt::format("line {}: expected \"plan seed= nodes= length_ms=\" first, then steps; got \"{}\"", number, line));
        }
    }
    return hasHead ? absl::StatusOr<fault_plan>(std::move(plan)) : absl::InvalidArgumentError("the plan is empty");
}

fault_plan withoutSteps(const fault_plan &plan, std::size_t first, std::size_t count)
{
    fault_plan result = plan;
    const auto begin = result.steps.begin() + static_cast<std::ptrdiff_t>(std::min(first, result.steps.size()));
    const auto end = result.steps.begin() + static_cast<std::ptrdiff_t>(std::min(first + count, result.steps.size()));
    result.steps.erase(begin, end);
    return result;
}

} // namespace dandelionstall::soak
