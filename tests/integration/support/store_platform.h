// Texts of a fleet on a platform with a key-value store: the settings that the platform makes from the deploy template. No side effects.
//
// Usage:
//   fleet_plan plan;
//   plan.store = store_plan{readDeployTemplate(), {{"retryBudgetSlack", "62"}}, documentOf};
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <string>

namespace dandelionstall::testing {

// The platform of a fleet whose workers announce themselves in the platform's store.
struct store_plan {
    std::string settingsTemplate;                          // text of the deploy template
    std::map<std::string, std::string> bounds;             // figures that the platform states
    std::function<std::string(std::uint64_t)> document;    // configuration document of a version
    std::chrono::milliseconds lapseAfter{4500};            // entries of workers that are not written for this long are removed
    bool keepsFirstSettings = false;                       // a node that is started again gets the settings of its first start
    std::map<std::string, std::string> settingsLines = {}; // lines to be replaced, by their beginning, e.g. "admin ="
    std::map<std::string, std::string> regions = {};       // region of each data centre; all are in one region without an entry
    std::string contracts = {};                            // names of the contracts that the platform has in force, separated by commas
};

std::string readDeployTemplate(); // the one of this project; throws std::runtime_error when it cannot be read

// Values of the template for one process, by the names of its placeholders. An empty value counts as none.
using template_values = std::map<std::string, std::string>;
using template_tables = std::map<std::string, std::map<std::string, std::string>>; // tables by name, e.g. "bounds"

// Fills in a template: {{name}}, sections {{#name}}...{{/name}} for a name with a value and {{^name}}...{{/name}} for one without. The section
// of a table is repeated for each entry, with {{@}} for its name and {{.}} for its value. Throws std::invalid_argument for a section without
// end.
std::string fillTemplate(std::string text, const template_values &values, const template_tables &tables);

std::string replaceLines(const std::string &text, const std::map<std::string, std::string> &lines); // lines that begin with a key become its value

} // namespace dandelionstall::testing
