// Frames on a stream between nodes: one byte of type, four bytes of length (big endian), payload.
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
};

struct frame {
    frame_type type = frame_type::body; // known types only
    std::string payload;                // at most MaxFrameBytes
};

inline constexpr std::size_t MaxFrameBytes = 262'144; // payload of one frame

void appendFrame(std::string &out, frame_type type, std::string_view payload); // payload must fit MaxFrameBytes
std::string makeFrame(frame_type type, std::string_view payload);              // one frame

class frame_decoder
{
public:
    void feed(std::string_view bytes);           // bytes in stream order
    absl::StatusOr<std::optional<frame>> next(); // nothing when a frame is incomplete; oversized or malformed_message
    bool atBoundary() const;                     // no incomplete frame is held

private:
    std::string m_buffer;
    std::size_t m_offset = 0;
};

} // namespace dandelionstall::protocol
