#include <dandelionstall/coordination/configuration/reader_choice.h>

#include <algorithm>
#include <tuple>
#include <utility>
#include <xxhash.h>

namespace dandelionstall::coordination {

namespace {

constexpr std::uint64_t ReaderSeed = 0x72656164;
constexpr std::chrono::milliseconds PauseThreshold{500}; // a longer time between two ticks is a pause of the process

std::uint64_t rankOf(const state::node_address &address)
{
    return XXH3_64bits_withSeed(address.ip.data(), address.ip.size(), ReaderSeed + address.port);
}

template<typename members>
std::size_t firstIndexOf(const members &ranked, std::uint64_t first)
{
    const auto begin = std::find_if(ranked.begin(), ranked.end(), [first](const auto &member) { return member.rank <= first; });
    return begin == ranked.end() ? 0 : static_cast<std::size_t>(begin - ranked.begin());
}

} // namespace

// ---- Windows ----

reader_phase phaseOf(const reader_window &window)
{
    if (window.width == ReadersPerDataCentre) {
        return reader_phase::settled;
    }
    return window.width == ExhaustedSearchWidth ? reader_phase::exhausted : reader_phase::searching;
}

bool supersedes(const reader_window &a, const reader_window &b)
{
    const auto order = [](const reader_window &window) {
        return std::tuple(window.round, phaseOf(window), window.width, window.first);
    };
    return order(a) > order(b);
}

namespace {

// Number of members that the windows of a search before this one contain.
std::size_t countTried(std::uint32_t width)
{
    std::size_t tried = 0;
    for (std::uint64_t each = FirstSearchWidth; each < width; each *= SearchWidthFactor) {
        tried += each;
    }
    return tried;
}

// Number of members in the window; the last one of a search has only those that the search has left.
std::size_t sizeOf(const reader_window &window, std::size_t members)
{
    const std::size_t tried = phaseOf(window) == reader_phase::searching ? std::min(countTried(window.width), members) : 0;
    return std::min<std::size_t>(window.width, members - tried);
}

} // namespace

namespace detail {

std::vector<ranked_node> rankMembers(const std::vector<state::node_address> &live)
{
    std::vector<ranked_node> ranked;
    ranked.reserve(live.size());
    for (const state::node_address &address : live) {
        ranked.push_back({rankOf(address), address});
    }
    std::sort(
        ranked.begin(), ranked.end(), [](const ranked_node &a, const ranked_node &b) { return std::tie(a.rank, a.address) > std::tie(b.rank, b.address); });
    return ranked;
}

} // namespace detail

std::vector<state::node_address> chooseReaders(const std::vector<state::node_address> &live, const reader_window &window)
{
    const std::vector<detail::ranked_node> ranked = detail::rankMembers(live);
    std::vector<state::node_address> result;
    const std::size_t count = sizeOf(window, ranked.size());
    const std::size_t first = firstIndexOf(ranked, window.first);
    result.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        result.push_back(ranked[(first + i) % ranked.size()].address);
    }
    return result;
}

bool isReader(const state::node_address &self, const std::vector<state::node_address> &live, const reader_window &window)
{
    const std::vector<state::node_address> readers = chooseReaders(live, window);
    return std::find(readers.begin(), readers.end(), self) != readers.end();
}

// ---- Choice ----

std::string_view roleName(reader_role role)
{
    switch (role) {
    case reader_role::none:
        return "none";
    case reader_role::probing:
        return "probing";
    case reader_role::secondary:
        return "secondary";
    case reader_role::primary:
        return "primary";
    }
    return "none";
}

bool reads(reader_role role)
{
    return role == reader_role::primary || role == reader_role::secondary;
}

reader_choice::reader_choice(const state::node_address &self)
    : m_self(self)
    , m_selfRank(rankOf(self))
{ }

void reader_choice::start(state::time_point now)
{
    m_windowSince = now;
}

void reader_choice::setReadGap(std::chrono::milliseconds gap)
{
    m_readGap = gap;
}

void reader_choice::setMembers(const std::vector<state::node_address> &live)
{
    m_members = detail::rankMembers(live);
}

void reader_choice::recordRead(state::time_point now)
{
    const bool isSettled = phaseOf(m_window) == reader_phase::settled;
    if (isSettled && role() == reader_role::none) {
        return; // the nodes of the data centre don't hear what this node reads
    }
    m_lastOwnRead = now;
    m_lastRead = now;
    if (!isSettled) {
        settle(now);
    }
}

void reader_choice::recordPeerState(const reader_window &window, std::chrono::milliseconds readAge, state::time_point now)
{
    m_lastRead = std::max(m_lastRead, now - readAge);
    if (!supersedes(window, m_window)) {
        return;
    }
    const bool isReading = reads(role()) && now - m_lastOwnRead < m_readGap;
    adopt(window, now);
    if (isReading && phaseOf(window) != reader_phase::settled) {
        settle(now); // the other node has not heard of the reads of this one
    }
}

void reader_choice::tick(state::time_point now)
{
    if (m_lastTick != state::time_point{} && now - m_lastTick > PauseThreshold) {
        m_windowSince = now; // other nodes may have read in the meantime
    }
    m_lastTick = now;
    if (moveDueAt() <= now) {
        moveOn(now);
    }
}

state::time_point reader_choice::moveDueAt() const
{
    const std::optional<std::size_t> own = place();
    if (!own) {
        return state::time_point::max();
    }
    switch (phaseOf(m_window)) {
    case reader_phase::exhausted:
        return m_windowSince + SearchPause;
    case reader_phase::searching:
        return m_windowSince + SearchStep;
    case reader_phase::settled:
        break;
    }
    const state::time_point due = std::max(m_lastRead, m_windowSince) + m_readGap;
    if (*own < ReadersPerDataCentre) {
        return due;
    }
    return due + (*own < ReadersPerDataCentre + StandbysPerDataCentre ? state::duration(StandbyDelay) : state::duration(OtherNodesDelay));
}

void reader_choice::moveOn(state::time_point now)
{
    reader_window next{m_window.round + 1, m_window.first, FirstSearchWidth};
    const std::size_t size = sizeOf(m_window, m_members.size());
    const bool isSearchOver = countTried(m_window.width) + size >= m_members.size();
    switch (phaseOf(m_window)) {
    case reader_phase::exhausted:
        break;
    case reader_phase::searching:
        next.width = isSearchOver ? ExhaustedSearchWidth : m_window.width * SearchWidthFactor;
        [[fallthrough]];
    case reader_phase::settled:
        next.first = m_members[(firstIndex() + size) % m_members.size()].rank;
        break;
    }
    m_searchStarted = m_searchStarted || phaseOf(m_window) == reader_phase::settled;
    adopt(next, now);
}

// Makes this node a reader; beside the other one, when it was a reader already.
void reader_choice::settle(state::time_point now)
{
    reader_window next = m_settled;
    next.round = m_window.round + 1;
    const std::size_t first = firstIndexOf(m_members, next.first);
    bool wasReader = false;
    for (std::size_t i = 0; i < std::min(ReadersPerDataCentre, m_members.size()); ++i) {
        wasReader = wasReader || m_members[(first + i) % m_members.size()].address == m_self;
    }
    next.first = wasReader ? next.first : m_selfRank;
    adopt(next, now);
}

void reader_choice::adopt(const reader_window &window, state::time_point now)
{
    m_window = window;
    m_windowSince = now;
    if (phaseOf(window) == reader_phase::settled) {
        m_settled = window;
    }
}

// ---- Views ----

bool reader_choice::consumeSearchStarted()
{
    return std::exchange(m_searchStarted, false);
}

std::size_t reader_choice::firstIndex() const
{
    return firstIndexOf(m_members, m_window.first);
}

std::optional<std::size_t> reader_choice::place() const
{
    const auto own = std::find_if(m_members.begin(), m_members.end(), [this](const auto &member) { return member.address == m_self; });
    if (own == m_members.end()) {
        return std::nullopt;
    }
    const auto index = static_cast<std::size_t>(own - m_members.begin());
    return (index + m_members.size() - firstIndex()) % m_members.size();
}

reader_role reader_choice::role() const
{
    const std::optional<std::size_t> own = place();
    if (!own || *own >= sizeOf(m_window, m_members.size())) {
        return reader_role::none;
    }
    if (phaseOf(m_window) != reader_phase::settled) {
        return reader_role::probing;
    }
    return *own == 0 ? reader_role::primary : reader_role::secondary;
}

const reader_window &reader_choice::window() const
{
    return m_window;
}

std::vector<state::node_address> reader_choice::nextInOrder() const
{
    std::vector<state::node_address> result;
    const std::size_t count = std::min(sizeOf(m_window, m_members.size()) + StandbysPerDataCentre, m_members.size());
    for (std::size_t i = 0; i < count; ++i) {
        const state::node_address &address = m_members[(firstIndex() + i) % m_members.size()].address;
        if (address != m_self) {
            result.push_back(address);
        }
    }
    return result;
}

std::chrono::milliseconds reader_choice::serviceReadAge(state::time_point now) const
{
    if (m_lastRead == state::time_point{}) {
        return MaxReadAge; // the clock may count from the start of the VM, which may be less
    }
    return std::min<std::chrono::milliseconds>(std::chrono::ceil<std::chrono::milliseconds>(now - m_lastRead), MaxReadAge);
}

} // namespace dandelionstall::coordination
