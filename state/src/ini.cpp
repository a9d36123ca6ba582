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

constexpr std::size_t MaxPieceBytes = 190; // the buffer of inih holds 200

// State of one parse, shared by the two callbacks of inih: readLine() passes one line at a time to inih and starts new
// sections; addEntry() receives the key and value of the line read last. A line that is longer than the buffer of inih is
// passed in pieces, in the manner of continuation lines, of which inih passes on the values one by one.
struct parse_state {
    std::string_view rest;             // text that is not read yet
    std::string_view pieces;           // rest of a line that is passed in pieces
    bool continues = false;            // the piece passed last is not the first one of its line
    std::vector<std::uint32_t> passed; // line of each text that was passed to inih
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

bool isBlank(char c)
{
    return c == ' ' || c == '\t';
}

// Removes a comment at the end of the line: " ;" and what follows.
std::string_view withoutComment(std::string_view line)
{
    for (std::size_t i = 1; i < line.size(); ++i) {
        if (line[i] == ';' && isBlank(line[i - 1])) {
            return trimBlanks(line.substr(0, i));
        }
    }
    return line;
}

// Returns the length of the next piece; 0 when the text cannot be split. No piece begins or ends with a blank, which inih would remove,
// or begins like a comment.
std::size_t pieceLength(std::string_view text)
{
    if (text.size() <= MaxPieceBytes) {
        return text.size();
    }
    std::size_t length = MaxPieceBytes;
    while (length > 0 && (isBlank(text[length - 1]) || isBlank(text[length]) || text[length] == ';' || text[length] == '#')) {
        --length;
    }
    return length;
}

// Returns the text of the next line as inih needs it.
std::string_view nextText(parse_state &state)
{
    const std::string_view line = nextLine(state);
    if (line.size() > MaxIniLineBytes) {
        fail(state, fmt::format("line is {} bytes long, expected at most {}", line.size(), MaxIniLineBytes));
    } else if (std::any_of(line.begin(), line.end(), isControl)) {
        fail(state, "line contains a control character");
    } else if (line.starts_with('[')) {
        beginSection(state, line);
        return "[section]"; // the name has been read
    } else if (line.starts_with(';') || line.starts_with('#')) {
        return {};
    }
    return line.size() > MaxPieceBytes ? withoutComment(line) : line;
}

char *readLine(char *buffer, int size, void *stream)
{
    auto &state = *static_cast<parse_state *>(stream);
    if (!state.error.ok() || (state.rest.empty() && state.pieces.empty())) {
        return nullptr;
    }
    state.continues = !state.pieces.empty();
    const std::string_view text = state.continues ? state.pieces : nextText(state);
    const std::size_t length = pieceLength(text);
    if ((length == 0 && !text.empty()) || length + 3 > static_cast<std::size_t>(size)) {
        fail(state, "the line is too long and has no place where it can be split");
    }
    if (!state.error.ok()) {
        return nullptr;
    }
    state.pieces = text.substr(length);
    state.passed.push_back(state.line);
    char *out = buffer;
    if (state.continues) {
        *out++ = ' ';
    }
    out = std::copy_n(text.begin(), length, out);
    *out++ = '\n';
    *out = '\0';
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
    if (state.continues) {
        if (!section.entries.empty()) { // otherwise the begin of the line is no entry, which inih reports
            section.entries.back().value += value;
        }
        return 1;
    }
    if (std::strlen(name) > MaxIniKeyBytes) {
        fail(state, fmt::format("the key is {} bytes long, expected at most {}", std::strlen(name), MaxIniKeyBytes));
        return 1;
    }
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
    if (errorLine > 0) { // number of the first text that is neither section header, key nor comment
        return makeIniError(state_error::malformed, source, state.passed.at(static_cast<std::size_t>(errorLine) - 1), "expected \"<key> = <value>\"");
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
