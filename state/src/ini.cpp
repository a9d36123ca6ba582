#include <dandelionstall/state/ini.h>

#include <dandelionstall/state/text.h>

#include <fmt/format.h>
#include <ini.h>

#include <algorithm>
#include <cstring>
#include <string_view>
#include <unordered_set>

namespace dandelionstall::state {

namespace {

// State of one parse, shared by the two callbacks of inih: readLine() passes one line at a time to inih and starts new
// sections; addEntry() receives the key and value of the line read last.
struct parse_state {
    std::string_view rest; // text that is not read yet
    std::uint32_t line = 0;
    ini_document document;
    std::unordered_set<std::string> sectionNames;
    std::unordered_set<std::string> keys; // keys of the current section, to find duplicates
    absl::Status error;
};

void fail(parse_state &state, std::string_view reason)
{
    if (state.error.ok()) {
        state.error = makeIniError(state_error::malformed, state.document.source, state.line, reason);
    }
}

std::string_view nextLine(parse_state &state)
{
    const std::size_t end = state.rest.find('\n');
    const std::string_view line = state.rest.substr(0, end);
    state.rest.remove_prefix(end == std::string_view::npos ? state.rest.size() : end + 1);
    state.line++;
    return trimBlanks(line);
}

bool isControl(char c)
{
    return static_cast<unsigned char>(c) < 0x20 && c != '\t';
}

void beginSection(parse_state &state, std::string_view line)
{
    const std::size_t end = line.find(']');
    if (end == std::string_view::npos) {
        return fail(state, "section header has no closing \"]\"");
    }
    const std::string_view trailing = trimBlanks(line.substr(end + 1));
    if (!trailing.empty() && trailing.front() != ';') {
        return fail(state, fmt::format("unexpected text \"{}\" after the section header", trailing));
    }
    const std::string name(trimBlanks(line.substr(1, end - 1)));
    if (!state.sectionNames.insert(name).second) {
        return fail(state, fmt::format("duplicate section [{}]", name));
    }
    state.document.sections.push_back({name, state.line, {}});
    state.keys.clear();
}

char *readLine(char *buffer, int size, void *stream)
{
    auto &state = *static_cast<parse_state *>(stream);
    if (state.rest.empty() || !state.error.ok()) {
        return nullptr;
    }
    const std::string_view line = nextLine(state);
    if (line.size() > MaxIniLineBytes || line.size() + 2 > static_cast<std::size_t>(size)) {
        fail(state, fmt::format("line is {} bytes long, expected at most {}", line.size(), MaxIniLineBytes));
    } else if (std::any_of(line.begin(), line.end(), isControl)) {
        fail(state, "line contains a control character");
    } else if (line.starts_with('[')) {
        beginSection(state, line);
    }
    if (!state.error.ok()) {
        return nullptr;
    }
    std::memcpy(buffer, line.data(), line.size());
    buffer[line.size()] = '\n';
    buffer[line.size() + 1] = '\0';
    return buffer;
}

int addEntry(void *user, const char * /*section*/, const char *name, const char *value)
{
    auto &state = *static_cast<parse_state *>(user);
    if (state.document.sections.empty()) {
        fail(state, fmt::format("key \"{}\" before the first section header", name));
        return 1;
    }
    ini_section &section = state.document.sections.back();
    if (!state.keys.insert(name).second) {
        fail(state, fmt::format("duplicate key \"{}\" in [{}]", name, section.name));
        return 1;
    }
    section.entries.push_back({name, value, state.line});
    return 1;
}

} // namespace

absl::StatusOr<ini_document> parseIni(std::string_view text, std::string_view source)
{
    constexpr std::string_view ByteOrderMark = "\xEF\xBB\xBF";
    if (text.starts_with(ByteOrderMark)) {
        text.remove_prefix(ByteOrderMark.size());
    }
    parse_state state;
    state.rest = text;
    state.document.source = source;
    const int errorLine = ini_parse_stream(readLine, &state, addEntry, &state);
    if (errorLine > 0) { // number of the first line that is neither section header, key nor comment
        return makeIniError(state_error::malformed, source, static_cast<std::uint32_t>(errorLine), "expected \"<key> = <value>\"");
    }
    if (!state.error.ok()) {
        return state.error;
    }
    return std::move(state.document);
}

absl::Status makeIniError(state_error code, std::string_view source, std::uint32_t line, std::string_view reason)
{
    return makeError(code, fmt::format("{}:{}: {}", source, line, reason));
}

} // namespace dandelionstall::state
