#include <dandelionstall/protocol/consul_api.h>

#include <dandelionstall/protocol/errors.h>
#include <dandelionstall/state/tables.h>

#include <boost/json.hpp>
#include <fmt/format.h>
#include <xxhash.h>

#include <charconv>

namespace dandelionstall::protocol {

namespace {

constexpr std::uint64_t FirstIndex = 1; // lowest index with which the service blocks a query
constexpr std::size_t MaxParts = 64;    // largest number of parts of one table

std::string blockingQuery(std::uint64_t index, std::chrono::seconds wait)
{
    return index == 0 ? std::string() : fmt::format("index={}&wait={}s", index, wait.count());
}

std::string_view trim(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t\r");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t\r") - first + 1);
}

std::string_view nextLine(std::string_view &text)
{
    const auto end = text.find('\n');
    const std::string_view line = trim(text.substr(0, end));
    text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    return line;
}

bool isBlank(std::string_view line)
{
    return line.empty() || line.front() == ';' || line.front() == '#';
}

template<typename number>
bool parseNumber(std::string_view text, number &value, int base)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
    return error == std::errc() && end == text.data() + text.size();
}

bool parsePart(std::string_view value, manifest_part &part)
{
    const auto space = value.find_first_of(" \t");
    if (space == std::string_view::npos) {
        return false;
    }
    part.key = value.substr(0, space);
    return parseNumber(trim(value.substr(space)), part.digest, 16);
}

// Returns false when the line is not a valid entry of a manifest.
bool parseEntry(std::string_view line, manifest &out)
{
    const auto equals = line.find('=');
    if (equals == std::string_view::npos) {
        return false;
    }
    const std::string_view key = trim(line.substr(0, equals));
    const std::string_view value = trim(line.substr(equals + 1));
    if (key == "revision") {
        return out.revision == 0 && parseNumber(value, out.revision, 10) && out.revision > 0;
    }
    if (key != "part" || out.parts.size() >= MaxParts) {
        return false;
    }
    return parsePart(value, out.parts.emplace_back());
}

std::string_view textOf(const boost::json::object &object, std::string_view key)
{
    const boost::json::value *value = object.if_contains(key);
    const boost::json::string *text = value != nullptr ? value->if_string() : nullptr;
    return text != nullptr ? std::string_view(text->data(), text->size()) : std::string_view();
}

std::optional<coordination::vm_record> readVm(const boost::json::value &row)
{
    const boost::json::object *object = row.if_object();
    const boost::json::value *meta = object != nullptr ? object->if_contains("Meta") : nullptr;
    if (meta == nullptr || !meta->is_object()) {
        return std::nullopt;
    }
    const std::string_view ip = textOf(*object, "Address");
    const bool bracketed = ip.find(':') != std::string_view::npos;
    const std::string text = fmt::format(fmt::runtime(bracketed ? "[{}]:{}" : "{}:{}"), ip, textOf(meta->get_object(), "port"));
    const absl::StatusOr<state::node_address> address = state::parseNodeAddress(text);
    if (!address.ok()) {
        return std::nullopt;
    }
    return coordination::vm_record{*address, std::string(textOf(*object, "Datacenter")), textOf(meta->get_object(), "state") == "leaving"};
}

} // namespace

std::string tableTarget(std::string_view key, std::uint64_t index, std::chrono::seconds wait)
{
    const std::string query = blockingQuery(index, wait);
    return fmt::format("/v1/kv/{}?raw{}{}", key, query.empty() ? "" : "&", query);
}

std::string vmListTarget(std::uint64_t index, std::chrono::seconds wait)
{
    const std::string query = blockingQuery(index, wait);
    return fmt::format("/v1/catalog/nodes{}{}", query.empty() ? "" : "?", query);
}

std::string leavingVmsTarget(std::uint64_t index, std::chrono::seconds wait)
{
    const std::string query = blockingQuery(index, wait);
    return fmt::format("/v1/catalog/nodes?filter=Meta.state%20%3D%3D%20%22leaving%22{}{}", query.empty() ? "" : "&", query);
}

std::uint64_t nextIndex(std::uint64_t queryIndex, std::uint64_t answerIndex)
{
    return answerIndex < queryIndex ? 0 : std::max(answerIndex, FirstIndex);
}

bool isManifest(std::string_view text)
{
    while (!text.empty()) {
        const std::string_view line = nextLine(text);
        if (!isBlank(line)) {
            return line == "[manifest]";
        }
    }
    return false;
}

absl::StatusOr<manifest> parseManifest(std::string_view text)
{
    manifest result;
    std::size_t number = 0;
    bool inSection = false;
    while (!text.empty()) {
        const std::string_view line = nextLine(text);
        ++number;
        if (isBlank(line)) {
            continue;
        }
        const bool valid = inSection ? parseEntry(line, result) : line == "[manifest]";
        if (!valid) {
            return makeError(
                protocol_error::malformed_message,
                fmt::format("manifest:{}: expected \"[manifest]\" first, then \"revision = <number>\" once and at most 64 times \"part = <key> <digest>\"",
                            number));
        }
        inSection = true;
    }
    if (result.revision == 0 || result.parts.empty()) {
        return makeError(protocol_error::malformed_message, "manifest: expected one \"revision\" and at least one \"part\"");
    }
    return result;
}

absl::Status checkPart(const manifest_part &part, std::string_view text)
{
    if (XXH3_64bits(text.data(), text.size()) == part.digest) {
        return absl::OkStatus();
    }
    return makeError(protocol_error::mismatched, fmt::format("digest of part {} differs from the one in the manifest", part.key));
}

absl::StatusOr<std::vector<coordination::vm_record>> parseVmList(std::string_view json)
{
    boost::system::error_code error;
    const boost::json::value root = boost::json::parse(json, error);
    const boost::json::array *rows = error ? nullptr : root.if_array();
    if (rows == nullptr) {
        return makeError(protocol_error::malformed_message, "the list of VMs is not a JSON array");
    }
    std::vector<coordination::vm_record> result;
    result.reserve(rows->size());
    for (const boost::json::value &row : *rows) {
        if (std::optional<coordination::vm_record> vm = readVm(row)) {
            result.push_back(*std::move(vm));
        }
    }
    return result;
}

} // namespace dandelionstall::protocol
