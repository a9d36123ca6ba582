// Assertions and load profiles shared by the tests of the promises.
#pragma once

#include "fleet.h"
#include "load_report.h"

#include <map>
#include <string>

namespace dandelionstall::testing {

using class_settings = std::map<std::string, std::string>; // keys of a load profile's class

// Text of one class of a load profile. The two functions give the classes for the fleet of threeDataCentres().
std::string classText(const std::string &name, const class_settings &settings);
std::string lookups(const class_settings &changes = {});  // idempotent, 10 ms
std::string bookings(const class_settings &changes = {}); // not idempotent, 20 ms, worth 5
std::string phase(double seconds, double rate, const std::string &name = "all");
std::string mixedLoad(double seconds, double rate, const class_settings &changes = {}); // one phase, both classes; changes for both

// Fails the test and prints violations, summary and the end of the node logs, when a rule is broken.
void expectClean(const fleet &fleet, const standins::check_input &evidence);
// Fails the test when less than this share of the requests of a class got a useful answer.
void expectUseful(const std::vector<standins::call_record> &calls, const std::string &requestClass, double share);
void expectStarted(const standins::check_input &evidence, std::size_t atLeast); // the load has reached workers at all

} // namespace dandelionstall::testing
