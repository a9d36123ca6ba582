// Fuzz target: any text is parsed as a pool table within its limits or refused with an error that names the location.
#include "text_input.h"

#include <dandelionstall/state/tables.h>

using namespace dandelionstall;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) // NOLINT(readability-identifier-naming): name given by libFuzzer
{
    const absl::StatusOr<state::pool_table> table = state::parsePoolTable(fuzz::asText(data, size), fuzz::Source);
    fuzz::requireLocation(table.status());
    if (!table.ok()) {
        return 0;
    }
    for (const state::pool &row : table->pools) {
        if (row.workers.empty() || row.slots == 0 || !(row.floor >= 0 && row.floor <= 1)) {
            std::abort();
        }
    }
    return 0;
}
