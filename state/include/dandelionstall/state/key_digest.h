// Digest of an API key: the first 16 bytes of its SHA-256. Tables, logs and messages between nodes contain digests only,
// never keys.
//
// Usage:
//   organisation_index index(table);
//   const organisation *caller = index.find(digestOfKey(headerValue));
#pragma once

#include <dandelionstall/state/types.h>

namespace dandelionstall::state {

struct key_digest {
    std::uint64_t high = 0; // bytes 0 to 7, most significant first
    std::uint64_t low = 0;  // bytes 8 to 15, most significant first

    friend auto operator<=>(const key_digest &, const key_digest &) = default;
};

key_digest digestOfKey(std::string_view key);                     // blanks and tabs at both ends do not count, since HTTP removes them from a header value
std::string formatKeyDigest(const key_digest &digest);            // 32 hexadecimal digits in lower case
absl::StatusOr<key_digest> parseKeyDigest(std::string_view text); // 32 hexadecimal digits in any case; the error does not quote the text, which may be a key

} // namespace dandelionstall::state
