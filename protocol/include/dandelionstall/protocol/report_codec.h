// Converts worker reports to and from their wire form, which answers and gossip messages share.
#pragma once

#include <dandelionstall/coordination/health/pool_view.h>

#include <node.pb.h>

namespace dandelionstall::protocol {

void writeReport(const coordination::worker_report &report, wire::WorkerReport &out);
absl::StatusOr<coordination::worker_report> readReport(const wire::WorkerReport &in); // error: malformed_message when the node address is invalid

} // namespace dandelionstall::protocol
