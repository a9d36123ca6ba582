// Frames on a stream between nodes: one byte for the type, four bytes for the payload length (big endian), the payload.
//
// Usage:
//   frame_decoder decoder;
//   decoder.feed(bytes);
//   while (true) {
//       auto frame = decoder.next();        // error: the stream must be reset
//       if (!frame.ok() || !frame->has_value()) break;
//       ...
//   }
#pragma once

#include <dandelionstall/protocol/errors.h>

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dandelionstall::protocol {

enum class frame_type : std::uint8_t {
    attempt_head = 1,
    body = 2,
    attempt_end = 3,
    answer_head = 4,
    answer_end = 5,
    query = 6,
    acknowledge = 7,
    clock_request = 8,
    clock_reply = 9,
    withdraw = 10,
};

struct frame {
    frame_type type = frame_type::body; // one of the enumerators; the decoder refuses other values
    std::string payload;                // payload of at most MaxFrameBytes
};

inline constexpr std::size_t MaxFrameBytes = 262'144;  // largest payload of one frame, in bytes
inline constexpr std::size_t BodyFrameBytes = 131'072; // payload of the body frames that a longer body is divided into, in bytes

void appendFrame(std::string &out, frame_type type, std::string_view payload); // appends an encoded frame; the payload must not exceed MaxFrameBytes
std::string makeFrame(frame_type type, std::string_view payload);              // returns an encoded frame

class frame_decoder
{
public:
    void feed(std::string_view bytes);           // adds received bytes, in the order of the stream
    absl::StatusOr<std::optional<frame>> next(); // nullopt while the next frame is incomplete; error: oversized or malformed_message
    bool atBoundary() const;                     // whether the buffer contains no incomplete frame

private:
    std::string m_buffer;
    std::size_t m_offset = 0;
};

} // namespace dandelionstall::protocol
