// Fuzz target: any text is parsed as a route table or refused with an error that names the location. route_index and
// matchRoute() must return the same routes of an accepted table.
#include "text_input.h"

#include <dandelionstall/state/tables_index.h>

using namespace dandelionstall;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) // NOLINT(readability-identifier-naming): name given by libFuzzer
{
    const absl::StatusOr<state::route_table> table = state::parseRouteTable(fuzz::asText(data, size), fuzz::Source);
    fuzz::requireLocation(table.status());
    if (!table.ok()) {
        return 0;
    }
    const state::route_index index(std::make_shared<const state::route_table>(*table));
    for (const state::route &row : table->routes) {
        const state::route *plain = state::matchRoute(*table, row.host, row.pathPrefix, "GET");
        const state::route *indexed = index.match(row.host, row.pathPrefix, "GET");
        if ((plain == nullptr) != (indexed == nullptr) || (plain != nullptr && plain->name != indexed->name)) {
            std::abort();
        }
    }
    return 0;
}
