#include <dandelionstall/coordination/admission/memory_budget.h>

#include <algorithm>
#include <utility>

namespace dandelionstall::coordination {

namespace {

constexpr std::size_t Mebibyte = 1'048'576;
constexpr std::size_t BodyShare = 2;                      // one in this many bytes of the process is for bodies
constexpr std::size_t KeptAnswerShare = 8;                // one in this many bytes of the process is for kept answers
constexpr std::size_t MaxKeptAnswerBytes = 64 * Mebibyte; // kept answers of any process together

} // namespace

// [SECTION] Budget

std::size_t bodyMemoryOf(std::uint32_t memoryMb)
{
    return memoryMb * Mebibyte / BodyShare;
}

std::size_t keptAnswerMemoryOf(std::uint32_t memoryMb)
{
    return std::min(MaxKeptAnswerBytes, memoryMb * Mebibyte / KeptAnswerShare);
}

memory_budget::memory_budget(std::size_t capacityBytes)
    : m_capacityBytes(capacityBytes)
{ }

std::size_t memory_budget::usedBytes() const
{
    return m_usedBytes;
}

std::size_t memory_budget::capacityBytes() const
{
    return m_capacityBytes;
}

bool memory_budget::replace(std::size_t granted, std::size_t wanted)
{
    const std::size_t limit = wanted <= SmallBodyBytes ? m_capacityBytes : m_capacityBytes - m_capacityBytes / SmallBodyShare;
    std::size_t used = m_usedBytes;
    while (true) {
        const std::size_t others = used - granted;
        const bool hasRoom = wanted <= limit && others <= limit - wanted;
        if (wanted > granted && !hasRoom) {
            return false;
        }
        if (m_usedBytes.compare_exchange_weak(used, others + wanted)) {
            return true;
        }
    }
}

// [SECTION] Grant

memory_grant::memory_grant(memory_budget &budget)
    : m_budget(&budget)
{ }

memory_grant::memory_grant(memory_grant &&other) noexcept
    : m_budget(std::exchange(other.m_budget, nullptr))
    , m_bytes(std::exchange(other.m_bytes, 0))
{ }

memory_grant &memory_grant::operator=(memory_grant &&other) noexcept
{
    std::swap(m_budget, other.m_budget);
    std::swap(m_bytes, other.m_bytes);
    return *this;
}

memory_grant::~memory_grant()
{
    resize(0);
}

bool memory_grant::resize(std::size_t bytes)
{
    if (bytes == m_bytes) {
        return true;
    }
    if (m_budget == nullptr || !m_budget->replace(m_bytes, bytes)) {
        return false;
    }
    m_bytes = bytes;
    return true;
}

std::size_t memory_grant::bytes() const
{
    return m_bytes;
}

} // namespace dandelionstall::coordination
