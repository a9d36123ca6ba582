// Memory of one node for the bodies that it holds: those of requests being read, waiting and sent, and answers that are checked before
// they are sent. The ingresses and the sidecar share one budget; all functions may be called from any thread.
//
// Load pattern: many callers upload large bodies at once. Each body is granted memory before it is read, and one without room is
// refused at once. Small bodies find room beside large ones, which may not use the last part of the budget.
//
// Usage:
//   memory_budget budget(bodyMemoryOf(settings.memoryMb));
//   memory_grant grant(budget);
//   if (!grant.resize(bodyBytes)) ...   // no room; the grant keeps its earlier size, which its destructor returns
//
// Index:
//   [SECTION] Budget
//   [SECTION] Grant
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>

namespace dandelionstall::coordination {

// [SECTION] Budget

inline constexpr std::size_t SmallBodyBytes = 65'536; // larger bodies leave the last part of the budget to those up to this size
inline constexpr std::size_t SmallBodyShare = 8;      // that part is one in this many

std::size_t bodyMemoryOf(std::uint32_t memoryMb);       // bytes for bodies of a process that may use this many MiB; the rest is for everything else
std::size_t keptAnswerMemoryOf(std::uint32_t memoryMb); // bytes for answers that the sidecar keeps until they are acknowledged

class memory_budget
{
public:
    explicit memory_budget(std::size_t capacityBytes);
    memory_budget(const memory_budget &) = delete;
    memory_budget &operator=(const memory_budget &) = delete;

    std::size_t usedBytes() const;
    std::size_t capacityBytes() const;

private:
    friend class memory_grant;

    bool replace(std::size_t granted, std::size_t wanted); // false when the larger grant has no room

    const std::size_t m_capacityBytes;
    std::atomic<std::size_t> m_usedBytes{0};
};

// [SECTION] Grant

class memory_grant
{
public:
    memory_grant() = default; // holds nothing and has no budget; resize() to more than 0 fails
    explicit memory_grant(memory_budget &budget);
    memory_grant(memory_grant &&other) noexcept;
    memory_grant &operator=(memory_grant &&other) noexcept;
    memory_grant(const memory_grant &) = delete;
    memory_grant &operator=(const memory_grant &) = delete;
    ~memory_grant();

    bool resize(std::size_t bytes); // grows or shrinks the grant; false, and unchanged, when the budget has no room
    std::size_t bytes() const;

private:
    memory_budget *m_budget = nullptr;
    std::size_t m_bytes = 0;
};

} // namespace dandelionstall::coordination
