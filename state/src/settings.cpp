#include <dandelionstall/state/settings.h>

#include <dandelionstall/state/ini_reader.h>

#include <absl/strings/match.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <set>

namespace dandelionstall::state {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view WorkerPrefix = "worker.";
constexpr std::string_view BoundPrefix = "bound.";
constexpr std::array<std::string_view, 8> SectionNames{"node", "platform", "limits", "headers", "regions", "log", "discovered_worker", WorkerPrefix};
constexpr std::array<std::string_view, 2> PlatformKinds{"consul", "keyed_store"};
constexpr std::array<std::string_view, 5> LogLevels{"trace", "debug", "info", "warn", "error"};

constexpr std::uint64_t Kibibyte = 1024;
constexpr std::uint64_t Mebibyte = 1024 * Kibibyte;
constexpr std::uint32_t MaxIngressThreads = 16;
constexpr std::uint64_t MaxHeaderLimit = Mebibyte;
constexpr std::uint64_t MaxBodyLimit = 64 * Mebibyte;
constexpr std::uint64_t MinMemoryMb = 16;
constexpr std::uint64_t MaxMemoryMb = 1'048'576;
constexpr std::uint64_t MaxCallerLimit = 100'000;
constexpr std::uint64_t MaxQueueLimit = 100'000;
constexpr std::uint64_t MaxLogLines = 1'000'000;
constexpr std::uint64_t MaxOrganisationLimit = 1'000'000;
constexpr milliseconds MinCallerTimeout{10};
constexpr milliseconds MaxCallerTimeout = std::chrono::hours(1);
constexpr milliseconds MinTicketLifetime{1000};
constexpr milliseconds MaxTicketLifetime = std::chrono::hours(24);
constexpr std::string_view DefaultAdmin = "127.0.0.1:7402";

bool isWildcard(const node_address &address)
{
    return address.ip == "0.0.0.0" || address.ip == "::";
}

void readNode(const ini_section &section, parse_errors &errors, settings &target)
{
    section_reader reader(section, errors);
    reader.requireKeys({"data_centre", "region", "listen", "callers"});
    reader.readLabel("name", target.name);
    reader.readLabel("data_centre", target.dataCentre);
    reader.readLabel("region", target.region);
    reader.readAddress("listen", target.listenAddress);
    reader.readAddress("callers", target.callersAddress);
    reader.readAddress("admin", target.adminAddress);
    reader.readAddress("ready", target.readyAddress);
    reader.readText("ready_path", target.readyPath);
    reader.readLabel("own_pool", target.localPool);
    reader.readDuration("stop_grace", target.stopGrace, milliseconds(0), MaxCallerTimeout);
    reader.readCount("ingress_threads", target.ingressThreads, 1, MaxIngressThreads);
    reader.readFlag("first_start", target.firstStart);
    if (!reader.readAddress("advertise", target.advertiseAddress)) {
        target.advertiseAddress = target.listenAddress;
    }
    reader.reportUnknownKeys();
    if (isWildcard(target.advertiseAddress)) {
        errors.add(
            state_error::out_of_range,
            section.line,
            "[node] needs \"advertise\" with an address that other nodes can reach, not 0.0.0.0 or ::; \"listen\" applies when \"advertise\" is missing");
    }
    if (target.name.empty()) {
        target.name = formatNodeAddress(target.advertiseAddress);
    }
    if (target.callersAddress == target.listenAddress || target.adminAddress == target.listenAddress || target.adminAddress == target.callersAddress) {
        errors.add(state_error::conflict, section.line, "[node] needs different addresses for \"listen\", \"callers\" and \"admin\"");
    }
}

void readSeeds(section_reader &reader, settings &target)
{
    std::vector<std::string> seeds;
    const ini_entry *entry = reader.findEntry("seeds");
    if (!reader.readList("seeds", seeds)) {
        return;
    }
    for (const std::string &seed : seeds) {
        absl::StatusOr<node_address> address = parseNodeAddress(seed);
        if (!address.ok()) {
            return reader.addError(*entry, state_error::malformed, reasonOf(address.status()));
        }
        target.seeds.push_back(std::move(*address));
    }
}

// Appends each line "bound.<name> = <value>" as "<name>=<value>".
void readBounds(const ini_section &section, settings &target)
{
    for (const ini_entry &entry : section.entries) {
        if (entry.key.starts_with(BoundPrefix)) {
            target.platformBounds += fmt::format("{}{}={}", target.platformBounds.empty() ? "" : ",", entry.key.substr(BoundPrefix.size()), entry.value);
        }
    }
}

void readPlatform(const ini_section &section, parse_errors &errors, settings &target)
{
    section_reader reader(section, errors);
    reader.requireKeys({"config_service"});
    reader.readAddress("config_service", target.configService);
    reader.readChoice("kind", target.platformKind, PlatformKinds);
    readBounds(section, target);
    if (const ini_entry *contracts = reader.findEntry("contracts")) { // empty when the platform has none in force
        target.platformContracts = contracts->value;
    }
    reader.readText("routes_key", target.routesKey);
    reader.readText("pools_key", target.poolsKey);
    if (!reader.readAddress("vm_list", target.vmList)) {
        target.vmList = target.configService;
    }
    readSeeds(reader, target);
    reader.reportUnknownKeys(BoundPrefix);
    if (target.routesKey == target.poolsKey) {
        errors.add(state_error::conflict, section.line, "[platform] needs different values for \"routes_key\" and \"pools_key\"");
    }
}

void readLimits(const ini_section &section, parse_errors &errors, settings &target)
{
    section_reader reader(section, errors);
    reader.readCount("max_header_bytes", target.maxHeaderBytes, Kibibyte, MaxHeaderLimit);
    reader.readCount("max_body_bytes", target.maxBodyBytes, 0, MaxBodyLimit);
    reader.readCount("memory_mb", target.memoryMb, MinMemoryMb, MaxMemoryMb);
    reader.readCount("max_kept_answer_bytes", target.maxKeptAnswerBytes, 0, MaxBodyLimit);
    reader.readCount("max_callers", target.maxCallers, 1, MaxCallerLimit);
    reader.readCount("max_queued_per_worker", target.maxQueuedPerWorker, 0, MaxQueueLimit);
    reader.readCount("max_organisations", target.maxOrganisations, 1, MaxOrganisationLimit);
    reader.readDuration("header_timeout", target.headerTimeout, MinCallerTimeout, MaxCallerTimeout);
    reader.readDuration("idle_timeout", target.idleTimeout, MinCallerTimeout, MaxCallerTimeout);
    reader.readDuration("ticket_lifetime", target.ticketLifetime, MinTicketLifetime, MaxTicketLifetime);
    reader.readFlag("retry_after_fractions", target.retryAfterFractions);
    reader.reportUnknownKeys();
}

// The header of keys is never passed on or logged, so that it can be no other one.
void checkKeyHeader(const ini_section &section, parse_errors &errors, const header_names &names)
{
    for (const std::string &other : {names.requestId, names.timeLeft, names.originPool, names.expectedWorker, names.organisation}) {
        if (!names.apiKey.empty() && absl::EqualsIgnoreCase(names.apiKey, other)) {
            const std::string reason = fmt::format("[headers] names \"{}\" as \"api_key\" and as another header", other);
            errors.add(state_error::conflict, section.line, reason);
        }
    }
}

void readHeaders(const ini_section &section, parse_errors &errors, header_names &target)
{
    section_reader reader(section, errors);
    reader.readName("request_id", target.requestId);
    reader.readName("time_left", target.timeLeft);
    reader.readName("origin_pool", target.originPool);
    reader.readName("expected_worker", target.expectedWorker);
    reader.readName("not_run", target.notRun);
    reader.readName("seal", target.seal);
    reader.readName("rate_limit", target.rateLimit);
    reader.readName("leaving", target.leaving);
    reader.readName("api_key", target.apiKey);
    reader.readName("organisation", target.organisation);
    reader.reportUnknownKeys();
    checkKeyHeader(section, errors, target);
}

void readDiscoveredWorker(const ini_section &section, parse_errors &errors, settings &target)
{
    section_reader reader(section, errors);
    reader.requireKeys({"pool", "address"});
    reader.readLabel("pool", target.discoveredWorkerPool);
    reader.readAddress("address", target.discoveredWorkerAddress);
    reader.reportUnknownKeys();
}

// Each line is "<data centre> = <region>".
void readRegions(const ini_section &section, parse_errors &errors, settings &target)
{
    for (const ini_entry &entry : section.entries) {
        if (!isLabel(entry.key) || !isLabel(entry.value)) {
            errors.add(state_error::malformed, entry.line, fmt::format("expected a data centre and its region, got \"{} = {}\"", entry.key, entry.value));
        }
        target.regions.emplace(entry.key, entry.value);
    }
}

void readLog(const ini_section &section, parse_errors &errors, settings &target)
{
    section_reader reader(section, errors);
    reader.readChoice("level", target.logLevel, LogLevels);
    reader.readCount("max_lines_per_second", target.maxLogLinesPerSecond, 1, MaxLogLines);
    reader.reportUnknownKeys();
}

void readWorker(const ini_section &section, parse_errors &errors, settings &target)
{
    local_worker worker;
    worker.id = section.name.substr(WorkerPrefix.size());
    if (!isName(worker.id)) {
        errors.add(state_error::malformed, section.line, fmt::format("expected a worker id of 1 to 64 letters, digits, \"-\" or \"_\" in [{}]", section.name));
    }
    section_reader reader(section, errors);
    reader.requireKeys({"pool", "address"});
    reader.readLabel("pool", worker.pool);
    reader.readAddress("address", worker.address);
    const ini_entry *healthPath = reader.findEntry("health_path");
    if (healthPath != nullptr) {
        worker.healthPath = healthPath->value; // empty disables probes
        if (!worker.healthPath.empty() && worker.healthPath.front() != '/') {
            reader.addError(
                *healthPath, state_error::malformed, fmt::format("expected a path that starts with \"/\" or nothing, got \"{}\"", worker.healthPath));
        }
    }
    reader.reportUnknownKeys();
    const auto sameAddress = [&](const local_worker &other) {
        return other.address == worker.address;
    };
    if (std::any_of(target.workers.begin(), target.workers.end(), sameAddress)) {
        errors.add(state_error::conflict, section.line, fmt::format("[{}] has the same \"address\" as another worker, expected a different one", section.name));
    }
    target.workers.push_back(std::move(worker));
}

void readSection(const ini_section &section, parse_errors &errors, settings &target)
{
    if (section.name == "node") {
        readNode(section, errors, target);
    } else if (section.name == "platform") {
        readPlatform(section, errors, target);
    } else if (section.name == "limits") {
        readLimits(section, errors, target);
    } else if (section.name == "headers") {
        readHeaders(section, errors, target.headers);
    } else if (section.name == "discovered_worker") {
        readDiscoveredWorker(section, errors, target);
    } else if (section.name == "regions") {
        readRegions(section, errors, target);
    } else if (section.name == "log") {
        readLog(section, errors, target);
    } else if (section.name.starts_with(WorkerPrefix)) {
        readWorker(section, errors, target);
    } else {
        const std::string expected = "expected [node], [platform], [limits], [headers], [regions], [log], [discovered_worker] or [worker.<id>]";
        const std::string hint = suggestName(section.name, SectionNames);
        errors.add(state_error::unknown_key, section.line, fmt::format("unknown section [{}], {}{}", section.name, expected, hint));
    }
}

} // namespace

std::string_view regionOf(const settings &settings, std::string_view dataCentre)
{
    const auto found = settings.regions.find(dataCentre);
    return found == settings.regions.end() ? std::string_view() : std::string_view(found->second);
}

std::size_t countRegions(const settings &settings)
{
    std::set<std::string_view> names;
    for (const auto &[dataCentre, region] : settings.regions) {
        names.insert(region);
    }
    return names.size();
}

absl::StatusOr<settings> parseSettings(std::string_view text, std::string_view source)
{
    const absl::StatusOr<ini_document> document = parseIni(text, source);
    if (!document.ok()) {
        return document.status();
    }
    parse_errors errors(source);
    settings target;
    target.adminAddress = *parseNodeAddress(DefaultAdmin);
    for (const ini_section &section : document->sections) {
        readSection(section, errors, target);
    }
    for (const std::string_view required : {"node", "platform"}) {
        const auto isRequired = [&](const ini_section &section) {
            return section.name == required;
        };
        if (std::none_of(document->sections.begin(), document->sections.end(), isRequired)) {
            errors.add(state_error::malformed, 1, fmt::format("section [{}] is missing", required));
        }
    }
    if (!errors.status().ok()) {
        return errors.status();
    }
    return target;
}

} // namespace dandelionstall::state
