// Assertions and load profiles shared by the integration tests.
#pragma once

#include "fleet.h"
#include "load_report.h"

#include <map>
#include <string>

namespace dandelionstall::testing {

using class_settings = std::map<std::string, std::string>; // keys of a class section in a load profile

// Text of one class section of a load profile. lookups() and bookings() return the classes for threeDataCentres().
std::string classText(const std::string &name, const class_settings &settings);
std::string lookups(const class_settings &changes = {});  // idempotent, 10 ms
std::string bookings(const class_settings &changes = {}); // non-idempotent, 20 ms, worth 5
std::string phase(double seconds, double rate, const std::string &name = "all");
std::string mixedLoad(double seconds, double rate, const class_settings &changes = {}); // one phase with both classes; changes apply to both

// Fails the test when a rule is violated, and prints the violations, a summary and the end of the node logs.
void expectClean(const fleet &fleet, const standins::check_input &evidence);
// Fails the test when less than the given share of the requests of a class received a useful answer.
void expectUseful(const std::vector<standins::call_record> &calls, const std::string &requestClass, double share);
void expectStarted(const standins::check_input &evidence, std::size_t atLeast); // fails the test when workers have started fewer runs

} // namespace dandelionstall::testing
