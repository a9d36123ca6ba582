// Fuzz target: any bytes from another node or from the platform's service are decoded or refused. The first byte selects
// the decoder: a stream of frames, a gossip datagram, the list of VMs or a manifest.
#include "text_input.h"

#include <dandelionstall/protocol/consul_api.h>
#include <dandelionstall/protocol/frame.h>
#include <dandelionstall/protocol/gossip_codec.h>
#include <dandelionstall/protocol/messages.h>

#include <tuple>

using namespace dandelionstall;

namespace {

void decodePayload(const protocol::frame &frame)
{
    switch (frame.type) {
    case protocol::frame_type::attempt_head:
        std::ignore = protocol::decodeAttemptHead(frame.payload);
        return;
    case protocol::frame_type::answer_head:
        std::ignore = protocol::decodeAnswerHead(frame.payload);
        return;
    case protocol::frame_type::answer_end:
        std::ignore = protocol::decodeAnswerEnd(frame.payload);
        return;
    case protocol::frame_type::query:
        std::ignore = protocol::decodeAttemptQuery(frame.payload);
        return;
    case protocol::frame_type::acknowledge:
        std::ignore = protocol::decodeAttemptAcknowledge(frame.payload);
        return;
    case protocol::frame_type::withdraw:
        std::ignore = protocol::decodeAttemptWithdrawal(frame.payload);
        return;
    case protocol::frame_type::clock_request:
        std::ignore = protocol::decodeClockRequest(frame.payload);
        return;
    case protocol::frame_type::clock_reply:
        std::ignore = protocol::decodeClockReply(frame.payload);
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

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) // NOLINT(readability-identifier-naming): name given by libFuzzer
{
    if (size == 0) {
        return 0;
    }
    constexpr int DecoderCount = 4;
    const std::string_view bytes = fuzz::asText(data + 1, size - 1);
    switch (data[0] % DecoderCount) {
    case 0:
        decodeStream(bytes);
        break;
    case 1:
        std::ignore = protocol::decodeGossip(bytes);
        break;
    case 2:
        std::ignore = protocol::parseVmList(bytes);
        break;
    default:
        std::ignore = protocol::parseManifest(bytes);
    }
    return 0;
}
