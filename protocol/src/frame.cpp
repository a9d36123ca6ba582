#include <dandelionstall/protocol/frame.h>

#include <cassert>

namespace dandelionstall::protocol {

namespace {

constexpr std::size_t PrefixBytes = 5; // bytes before the payload: type and length

bool isKnown(std::uint8_t type)
{
    return type >= static_cast<std::uint8_t>(frame_type::attempt_head) && type <= static_cast<std::uint8_t>(frame_type::withdraw);
}

std::uint32_t readLength(std::string_view bytes)
{
    std::uint32_t length = 0;
    for (const char byte : bytes) {
        length = (length << 8U) | static_cast<std::uint8_t>(byte);
    }
    return length;
}

} // namespace

void appendFrame(std::string &out, frame_type type, std::string_view payload)
{
    assert(payload.size() <= MaxFrameBytes && "appendFrame() accepts payloads up to MaxFrameBytes; split a longer body");
    const auto length = static_cast<std::uint32_t>(payload.size());
    out.push_back(static_cast<char>(type));
    for (unsigned shift = 32; shift > 0; shift -= 8) {
        out.push_back(static_cast<char>((length >> (shift - 8)) & 0xFFU));
    }
    out.append(payload);
}

std::string makeFrame(frame_type type, std::string_view payload)
{
    std::string out;
    out.reserve(PrefixBytes + payload.size());
    appendFrame(out, type, payload);
    return out;
}

void frame_decoder::feed(std::string_view bytes)
{
    if (m_offset > 0) {
        m_buffer.erase(0, m_offset);
        m_offset = 0;
    }
    m_buffer.append(bytes);
}

absl::StatusOr<std::optional<frame>> frame_decoder::next()
{
    const std::string_view remaining = std::string_view(m_buffer).substr(m_offset);
    if (remaining.size() < PrefixBytes) {
        return std::optional<frame>();
    }
    const auto type = static_cast<std::uint8_t>(remaining.front());
    const std::uint32_t length = readLength(remaining.substr(1, PrefixBytes - 1));
    if (!isKnown(type)) {
        return makeError(protocol_error::malformed_message, "unknown frame type");
    }
    if (length > MaxFrameBytes) {
        return makeError(protocol_error::oversized, "frame exceeds the payload limit");
    }
    if (remaining.size() < PrefixBytes + length) {
        return std::optional<frame>();
    }
    m_offset += PrefixBytes + length;
    return std::optional<frame>(frame{static_cast<frame_type>(type), std::string(remaining.substr(PrefixBytes, length))});
}

bool frame_decoder::atBoundary() const
{
    return m_offset == m_buffer.size();
}

} // namespace dandelionstall::protocol
