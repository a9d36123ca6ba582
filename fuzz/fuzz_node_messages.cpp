// Fuzz target: bytes from another node are frames with messages or are refused. The first byte picks the entry: the
// stream of frames, gossip, or what the platform's service returns.
#include "text_input.h"

#include <dandelionstall/protocol/frame.h>
#include <dandelionstall/protocol/gossip_codec.h>
#include <dandelionstall/protocol/messages.h>
#include <dandelionstall/protocol/platform.h>

using namespace dandelionstall;

namespace {

void decodePayload(const protocol::frame &frame)
{
    switch (frame.type) {
    case protocol::frame_type::attempt_head:
        (void)protocol::decodeAttemptHead(frame.payload);
        return;
    case protocol::frame_type::answer_head:
        (void)protocol::decodeAnswerHead(frame.payload);
        return;
    case protocol::frame_type::answer_end:
        (void)protocol::decodeAnswerEnd(frame.payload);
        return;
    case protocol::frame_type::query:
        (void)protocol::decodeAttemptQuery(frame.payload);
        return;
    case protocol::frame_type::acknowledge:
        (void)protocol::decodeAttemptAcknowledge(frame.payload);
        return;
    case protocol::frame_type::clock_request:
        (void)protocol::decodeClockRequest(frame.payload);
        return;
    case protocol::frame_type::clock_reply:
        (void)protocol::decodeClockReply(frame.payload);
        return;
    case protocol::frame_type::body:
    case protocol::frame_type::attempt_end:
        return;
    }
}

void decodeStream(std::string_view bytes)
{
    protocol::frame_decoder decoder;
    decoder.feed(bytes);
    while (true) {
        const absl::StatusOr<std::optional<protocol::frame>> next = decoder.next();
        if (!next.ok() || !next->has_value()) {
            return;
        }
        if ((*next)->payload.size() > protocol::MaxFrameBytes) {
            std::abort();
        }
        decodePayload(**next);
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size == 0) {
        return 0;
    }
    constexpr int EntryCount = 4;
    const std::string_view bytes = fuzz::asText(data + 1, size - 1);
    switch (data[0] % EntryCount) {
    case 0:
        decodeStream(bytes);
        break;
    case 1:
        (void)protocol::decodeGossip(bytes);
        break;
    case 2:
        (void)protocol::parseVmList(bytes);
        break;
    default:
        (void)protocol::parseManifest(bytes);
    }
    return 0;
}
