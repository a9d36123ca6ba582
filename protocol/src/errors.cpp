#include <dandelionstall/protocol/errors.h>

#include <dandelionstall/state/text.h>

#include <absl/strings/cord.h>
#include <fmt/format.h>

namespace dandelionstall::protocol {

namespace {

std::string_view errorName(protocol_error code)
{
    switch (code) {
    case protocol_error::malformed_message:
        return "malformed_message";
    case protocol_error::oversized:
        return "oversized";
    case protocol_error::mismatched:
        return "mismatched";
    case protocol_error::coordination:
        return "coordination";
    }
    return "malformed_message";
}

} // namespace

absl::Status makeError(protocol_error code, std::string_view reason)
{
    absl::Status status(absl::StatusCode::kDataLoss, fmt::format("protocol: {}", reason));
    status.SetPayload("dandelionstall/protocol", absl::Cord(state::toAbsl(errorName(code))));
    return status;
}

absl::Status wrapCoordinationError(const absl::Status &status)
{
    return status.ok() ? status : makeError(protocol_error::coordination, state::messageOf(status));
}

} // namespace dandelionstall::protocol
