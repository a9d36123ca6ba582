// Converts worker reports between their typed form and their wire form; shared by answers and gossip.
#pragma once

#include <dandelionstall/coordination/pool_view.h>

#include <node.pb.h>

namespace dandelionstall::protocol {

void writeReport(const coordination::worker_report &report, wire::WorkerReport &out);
absl::StatusOr<coordination::worker_report> readReport(const wire::WorkerReport &in); // malformed_message when the node address is bad

} // namespace dandelionstall::protocol
