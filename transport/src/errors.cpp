#include <dandelionstall/transport/errors.h>

#include <dandelionstall/state/text.h>

#include <absl/strings/cord.h>
#include <fmt/format.h>

namespace dandelionstall::transport {

namespace {

constexpr const char *ErrorPayload = "dandelionstall/transport";

std::string_view errorName(transport_error code)
{
    switch (code) {
    case transport_error::connect:
        return "connect";
    case transport_error::closed:
        return "closed";
    case transport_error::silent:
        return "silent";
    case transport_error::refused:
        return "refused";
    case transport_error::protocol:
        return "protocol";
    case transport_error::overloaded:
        return "overloaded";
    case transport_error::too_large:
        return "too_large";
    }
    return "closed";
}

} // namespace

absl::Status makeError(transport_error code, std::string_view reason)
{
    absl::Status status(absl::StatusCode::kUnavailable, fmt::format("transport: {}", reason));
    status.SetPayload(ErrorPayload, absl::Cord(state::toAbsl(errorName(code))));
    return status;
}

bool isError(const absl::Status &status, transport_error code)
{
    const auto payload = status.GetPayload(ErrorPayload);
    return payload && *payload == state::toAbsl(errorName(code));
}

absl::Status wrapProtocolError(const absl::Status &status)
{
    return status.ok() ? status : makeError(transport_error::protocol, state::messageOf(status));
}

absl::Status makeSocketError(transport_error code, const boost::system::error_code &error)
{
    return error ? makeError(code, error.message()) : absl::OkStatus();
}

} // namespace dandelionstall::transport
