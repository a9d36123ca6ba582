#include <dandelionstall/state/key_digest.h>

#include <dandelionstall/state/ini.h>

#include <fmt/format.h>
#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <memory>
#include <new>

namespace dandelionstall::state {

namespace {

constexpr std::size_t HalfDigits = 16; // hexadecimal digits of 8 bytes
constexpr std::size_t Sha256Bytes = 32;

// Fetched once, because EVP_sha256() is looked up again for each digest.
const EVP_MD *sha256()
{
    static const std::unique_ptr<EVP_MD, decltype(&EVP_MD_free)> algorithm(EVP_MD_fetch(nullptr, "SHA256", nullptr), &EVP_MD_free);
    return algorithm.get();
}

std::uint64_t readBigEndian(const unsigned char *bytes)
{
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < sizeof(value); ++i) {
        value = (value << 8U) | bytes[i];
    }
    return value;
}

bool parseHalf(std::string_view digits, std::uint64_t &half)
{
    const auto parsed = std::from_chars(digits.begin(), digits.end(), half, 16);
    return parsed.ec == std::errc() && parsed.ptr == digits.end();
}

} // namespace

key_digest digestOfKey(std::string_view key)
{
    constexpr std::string_view Blanks = " \t";
    const std::size_t begin = std::min(key.find_first_not_of(Blanks), key.size());
    key = key.substr(begin, key.find_last_not_of(Blanks) + 1 - begin);
    std::array<unsigned char, Sha256Bytes> bytes{};
    if (EVP_Digest(key.data(), key.size(), bytes.data(), nullptr, sha256(), nullptr) != 1) {
        throw std::bad_alloc(); // SHA-256 fails only without memory
    }
    return {readBigEndian(bytes.data()), readBigEndian(bytes.data() + sizeof(std::uint64_t))};
}

std::string formatKeyDigest(const key_digest &digest)
{
    return fmt::format("{:016x}{:016x}", digest.high, digest.low);
}

absl::StatusOr<key_digest> parseKeyDigest(std::string_view text)
{
    key_digest digest;
    const bool isDigest = text.size() == 2 * HalfDigits && parseHalf(text.substr(0, HalfDigits), digest.high) && parseHalf(text.substr(HalfDigits), digest.low);
    if (!isDigest) {
        return makeError(state_error::malformed, "expected digests of 32 hexadecimal digits, as \"dandelionctl key-digest\" prints them");
    }
    return digest;
}

} // namespace dandelionstall::state
