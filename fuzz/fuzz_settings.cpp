// Fuzz target: any text is parsed as valid settings or refused with an error that names the location.
#include "text_input.h"

#include <dandelionstall/state/settings.h>

using namespace dandelionstall;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) // NOLINT(readability-identifier-naming): name given by libFuzzer
{
    const absl::StatusOr<state::settings> settings = state::parseSettings(fuzz::asText(data, size), fuzz::Source);
    fuzz::requireLocation(settings.status());
    if (settings.ok() && (settings->listenAddress.port == 0 || settings->listenAddress == settings->callersAddress)) {
        std::abort();
    }
    return 0;
}
