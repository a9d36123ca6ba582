#include <dandelionstall/state/types.h>

#include <dandelionstall/state/text.h>

#include <absl/strings/cord.h>
#include <absl/strings/numbers.h>
#include <fmt/format.h>

#include <arpa/inet.h>

namespace dandelionstall::state {

namespace {

bool isIpAddress(const std::string &text)
{
    unsigned char buffer[sizeof(in6_addr)];
    return inet_pton(AF_INET, text.c_str(), buffer) == 1 || inet_pton(AF_INET6, text.c_str(), buffer) == 1;
}

} // namespace

absl::StatusOr<node_address> parseNodeAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return makeError(state_error::malformed, fmt::format("expected <IP address>:<port>, got \"{}\"", text));
    }
    std::string_view ip = text.substr(0, colon);
    if (ip.size() >= 2 && ip.front() == '[' && ip.back() == ']') {
        ip = ip.substr(1, ip.size() - 2);
    }
    std::uint32_t port = 0;
    if (!absl::SimpleAtoi(toAbsl(text.substr(colon + 1)), &port) || port == 0 || port > 65'535) {
        return makeError(state_error::out_of_range, fmt::format("expected a port from 1 to 65535 in \"{}\"", text));
    }
    node_address address{std::string(ip), static_cast<std::uint16_t>(port)};
    if (!isIpAddress(address.ip)) {
        return makeError(state_error::malformed, fmt::format("expected a numeric IP address, not a host name, in \"{}\"", text));
    }
    return address;
}

bool isUnicast(const node_address &address)
{
    constexpr std::uint32_t FirstMulticast = 224; // first octet; reserved addresses follow
    constexpr unsigned char MulticastV6 = 0xFF;   // first octet
    in_addr v4{};
    if (inet_pton(AF_INET, address.ip.c_str(), &v4) == 1) {
        const std::uint32_t firstOctet = ntohl(v4.s_addr) >> 24U;
        return firstOctet != 0 && firstOctet < FirstMulticast;
    }
    in6_addr v6{};
    return inet_pton(AF_INET6, address.ip.c_str(), &v6) == 1 && !IN6_IS_ADDR_UNSPECIFIED(&v6) && v6.s6_addr[0] != MulticastV6;
}

std::string formatNodeAddress(const node_address &address)
{
    if (address.ip.find(':') != std::string::npos) {
        return fmt::format("[{}]:{}", address.ip, address.port);
    }
    return fmt::format("{}:{}", address.ip, address.port);
}

std::string formatAttemptId(const attempt_id &id)
{
    return fmt::format("{:x}-{:x}", id.origin, id.sequence);
}

std::string_view errorName(state_error code)
{
    switch (code) {
    case state_error::malformed:
        return "malformed";
    case state_error::unknown_key:
        return "unknown_key";
    case state_error::out_of_range:
        return "out_of_range";
    case state_error::unresolved:
        return "unresolved";
    case state_error::stale:
        return "stale";
    case state_error::conflict:
        return "conflict";
    }
    return "malformed";
}

absl::Status makeError(state_error code, std::string_view reason)
{
    absl::Status status(absl::StatusCode::kInvalidArgument, fmt::format("state: {}", reason));
    status.SetPayload("dandelionstall/state", absl::Cord(toAbsl(errorName(code))));
    return status;
}

} // namespace dandelionstall::state
