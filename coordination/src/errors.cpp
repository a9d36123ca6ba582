#include <dandelionstall/coordination/errors.h>

#include <dandelionstall/state/text.h>

#include <absl/strings/cord.h>
#include <fmt/format.h>

namespace dandelionstall::coordination {

namespace {

std::string_view errorName(coordination_error code)
{
    switch (code) {
    case coordination_error::configuration:
        return "configuration";
    case coordination_error::unknown_policy:
        return "unknown_policy";
    case coordination_error::no_capacity:
        return "no_capacity";
    }
    return "configuration";
}

} // namespace

absl::Status makeError(coordination_error code, std::string_view reason)
{
    absl::Status status(absl::StatusCode::kFailedPrecondition, fmt::format("coordination: {}", reason));
    status.SetPayload("dandelionstall/coordination", absl::Cord(state::toAbsl(errorName(code))));
    return status;
}

absl::Status wrapStateError(const absl::Status &status)
{
    return status.ok() ? status : makeError(coordination_error::configuration, state::messageOf(status));
}

} // namespace dandelionstall::coordination
