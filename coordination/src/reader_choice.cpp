#include <dandelionstall/coordination/reader_choice.h>

#include <algorithm>
#include <xxhash.h>

namespace dandelionstall::coordination {

namespace {

constexpr std::uint64_t ReaderSeed = 0x72656164;

std::uint64_t rankOf(const state::node_address &address)
{
    return XXH3_64bits_withSeed(address.ip.data(), address.ip.size(), ReaderSeed + address.port);
}

} // namespace

std::vector<state::node_address> chooseReaders(const std::vector<state::node_address> &live, std::uint32_t round)
{
    std::vector<std::pair<std::uint64_t, const state::node_address *>> ranks;
    ranks.reserve(live.size());
    for (const state::node_address &address : live) {
        ranks.emplace_back(rankOf(address), &address);
    }
    std::sort(ranks.begin(), ranks.end(), [](const auto &left, const auto &right) { return left.first > right.first; });
    std::vector<state::node_address> result;
    const std::size_t count = std::min(ReadersPerDataCentre, ranks.size());
    result.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        result.push_back(*ranks[(std::size_t{round} * ReadersPerDataCentre + i) % ranks.size()].second);
    }
    return result;
}

bool isReader(const state::node_address &self, const std::vector<state::node_address> &live, std::uint32_t round)
{
    const std::vector<state::node_address> readers = chooseReaders(live, round);
    return std::find(readers.begin(), readers.end(), self) != readers.end();
}

void reader_choice::start(state::time_point now)
{
    recordRead(now);
}

void reader_choice::recordRead(state::time_point now)
{
    m_lastRead = now;
    m_handOverAt = now + ReaderHandOverTimeout;
}

void reader_choice::recordPeerState(std::uint32_t round, std::chrono::seconds readAge, state::time_point now)
{
    m_lastRead = std::max(m_lastRead, now - readAge);
    m_handOverAt = std::max(m_handOverAt, m_lastRead + ReaderHandOverTimeout);
    if (round > m_round) {
        m_round = round;
        m_handOverAt = now + ReaderHandOverTimeout;
    }
}

void reader_choice::tick(state::time_point now)
{
    if (m_handOverAt <= now) {
        ++m_round;
        m_handOverAt = now + ReaderHandOverTimeout;
    }
}

std::uint32_t reader_choice::round() const
{
    return m_round;
}

std::chrono::seconds reader_choice::serviceReadAge(state::time_point now) const
{
    return std::chrono::ceil<std::chrono::seconds>(now - m_lastRead);
}

} // namespace dandelionstall::coordination
