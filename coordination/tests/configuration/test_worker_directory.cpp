// Tests of coordination/configuration/worker_directory.h, worker_dissemination.h, pool_choice.h and path_backoff.h.
#include <dandelionstall/coordination/balancing/path_backoff.h>
#include <dandelionstall/coordination/balancing/pool_choice.h>
#include <dandelionstall/coordination/configuration/worker_dissemination.h>

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <rapidcheck.h>

#include <algorithm>
#include <limits>
#include <set>

using namespace dandelionstall;
using namespace dandelionstall::coordination;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const state::time_point Start = state::time_point{} + std::chrono::hours(1);

discovered_worker makeWorker(const std::string &id, std::uint64_t revision, worker_phase phase = worker_phase::ready, std::uint64_t era = 0)
{
    discovered_worker worker;
    worker.id = id;
    worker.pool = "catalogue";
    worker.dataCentre = "thika";
    worker.node = {"10.0.0.1", 7400};
    worker.address = {"10.0.0.1", static_cast<std::uint16_t>(8000 + id.size())};
    worker.slots = 3;
    worker.phase = phase;
    worker.revision = {era, revision};
    return worker;
}

// The worker's n-th write of one lifetime, which the store took at this revision.
discovered_worker makeWritten(std::uint64_t sequence, std::uint64_t revision, worker_phase phase)
{
    discovered_worker worker = makeWorker("a", revision, phase);
    worker.startedAtMs = 1000;
    worker.sequence = sequence;
    return worker;
}

worker_phase phaseOf(const worker_directory &directory, const std::string &id)
{
    return directory.entries().at(id).phase;
}

state::pool_table discoveredTable()
{
    state::pool pool;
    pool.name = "catalogue";
    pool.hasDiscoveredWorkers = true;
    state::pool_table table;
    table.pools.push_back(pool);
    return table;
}

} // namespace

// ---- Digests ----

// A node that has missed two changes would else seem to know what the others know.
Test(worker_directory, the_differences_that_two_changes_make_in_the_digest_do_not_cancel_each_other)
{
    constexpr std::uint64_t Workers = 100;
    worker_directory directory;
    std::set<std::uint32_t> differences;
    for (std::uint64_t i = 0; i < Workers; ++i) {
        const std::string id = "i-" + std::to_string(i);
        directory.offer(makeWorker(id, 1), Start);
        const std::uint32_t before = directory.digest();
        directory.offer(makeWorker(id, 2, worker_phase::leaving), Start);
        differences.insert(before ^ directory.digest());
    }
    cr_assert(differences.size() == Workers, "%zu different ones", differences.size());
}

// ---- Order of entries ----

Test(worker_directory, reaches_the_same_content_in_any_order_of_entries)
{
    cr_assert(rc::check("the highest revision of each entry wins", [] {
        const auto revisions = *rc::gen::nonEmpty(rc::gen::container<std::vector<std::uint8_t>>(rc::gen::inRange<std::uint8_t>(1, 40)));
        std::vector<discovered_worker> entries;
        for (const std::uint8_t revision : revisions) {
            const auto phase = static_cast<worker_phase>(revision % 3);
            entries.push_back(makeWorker(revision % 2 == 0 ? "a" : "bb", revision, phase));
        }
        std::vector<discovered_worker> shuffled = entries;
        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
        for (std::size_t i = shuffled.size(); i > 1; --i) {
            std::swap(shuffled[i - 1], shuffled[(seed / i) % i]);
        }
        worker_directory first;
        worker_directory second;
        for (const discovered_worker &entry : entries) {
            first.offer(entry, Start);
        }
        for (const discovered_worker &entry : shuffled) {
            second.offer(entry, Start);
        }
        RC_ASSERT(first.digest() == second.digest());
        for (const auto &[id, entry] : first.entries()) {
            RC_ASSERT(second.entries().at(id).revision == entry.revision || entry.phase == worker_phase::removed);
            RC_ASSERT(second.entries().at(id).phase == entry.phase);
        }
    }));
}

Test(worker_directory, ignores_entries_with_a_lower_revision)
{
    worker_directory directory;
    cr_assert(directory.offer(makeWorker("a", 5, worker_phase::leaving), Start));
    cr_assert(not(directory.offer(makeWorker("a", 4), Start)));
    cr_assert(phaseOf(directory, "a") == worker_phase::leaving);
    directory.offerRemoval("a", {0, 6}, Start);
    cr_assert(not(directory.offer(makeWorker("a", 5, worker_phase::leaving), Start)));
    cr_assert(phaseOf(directory, "a") == worker_phase::removed);
    cr_assert(directory.offer(makeWorker("a", 7), Start)); // the worker has announced itself after the removal
    cr_assert(phaseOf(directory, "a") == worker_phase::ready);
}

Test(worker_directory, reports_only_changes_of_content)
{
    worker_directory directory;
    directory.offer(makeWorker("a", 1), Start);
    cr_assert(directory.consumeChanges().size() == 1u);
    const std::uint64_t version = directory.version();
    cr_assert(not(directory.offer(makeWorker("a", 2), Start))); // a heartbeat changes only the revision
    cr_assert(directory.consumeChanges().empty());
    cr_assert(directory.version() == version);
    cr_assert(not(directory.offer(makeWorker("a", 1, worker_phase::leaving), Start))); // lower revision than the heartbeat
}

Test(worker_directory, removes_entries_that_a_complete_list_lacks)
{
    worker_directory directory;
    directory.offer(makeWorker("a", 1), Start);
    directory.offer(makeWorker("bb", 9), Start);
    directory.replaceAll({{makeWorker("ccc", 3)}, {}}, {0, 5}, Start);
    cr_assert(phaseOf(directory, "a") == worker_phase::removed);
    cr_assert(phaseOf(directory, "bb") == worker_phase::ready); // higher revision than the list
    cr_assert(phaseOf(directory, "ccc") == worker_phase::ready);
}

// Guards against workers that are taken out of use by a read of the whole list, since another writer made their entry unreadable.
Test(worker_directory, an_entry_that_cannot_be_read_keeps_its_worker)
{
    worker_directory directory;
    directory.offer(makeWorker("a", 1), Start);
    directory.offer(makeWorker("bb", 2), Start);
    directory.replaceAll({{}, {"a", "unknown"}}, {0, 9}, Start);
    cr_assert(phaseOf(directory, "a") == worker_phase::ready);
    cr_assert(phaseOf(directory, "bb") == worker_phase::removed);
    cr_assert(not(directory.entries().contains("unknown")));
    directory.offerRemoval("a", {0, 10}, Start);
    cr_assert(phaseOf(directory, "a") == worker_phase::removed);
}

// ---- Removals during a disruption of the service ----

Test(worker_directory, keeps_removals_pending_until_some_time_after_the_service_recovers)
{
    worker_directory directory;
    directory.offer(makeWorker("a", 1), Start);
    directory.offer(makeWorker("bb", 2), Start);
    directory.recordServiceFailure(Start);
    directory.recordServiceRecovery(Start + seconds(5));
    directory.offerRemoval("a", {0, 10}, Start + seconds(5));
    directory.offerRemoval("bb", {0, 11}, Start + seconds(5));
    cr_assert(phaseOf(directory, "a") == worker_phase::ready);
    directory.offer(makeWorker("a", 12), Start + seconds(6)); // the worker is running and has announced itself
    directory.tick(Start + seconds(10));
    cr_assert(phaseOf(directory, "a") == worker_phase::ready);
    cr_assert(phaseOf(directory, "bb") == worker_phase::removed);
}

Test(worker_directory, applies_removals_at_once_while_the_service_is_available)
{
    worker_directory directory;
    directory.offer(makeWorker("a", 1), Start);
    directory.offerRemoval("a", {0, 2}, Start);
    cr_assert(phaseOf(directory, "a") == worker_phase::removed);
}

Test(worker_directory, applies_the_removal_of_a_leaving_worker_at_once)
{
    worker_directory directory;
    directory.offer(makeWorker("a", 1, worker_phase::leaving), Start);
    directory.recordServiceFailure(Start);
    directory.offerRemoval("a", {0, 2}, Start);
    cr_assert(phaseOf(directory, "a") == worker_phase::removed);
}

// Guards against requests to a worker that has left, since a watch of the service was cut just before its entry was removed.
Test(worker_directory, a_call_that_fails_between_two_answers_keeps_no_removal_pending)
{
    for (const milliseconds unanswered : {milliseconds(0), milliseconds(20), milliseconds(450), milliseconds(1100), milliseconds(2400)}) {
        worker_directory directory;
        directory.offer(makeWorker("a", 1), Start);
        directory.recordServiceFailure(Start);
        directory.recordServiceRecovery(Start + unanswered);
        directory.offerRemoval("a", {0, 2}, Start + unanswered);
        cr_assert(phaseOf(directory, "a") == worker_phase::removed, "after %lld ms", static_cast<long long>(unanswered.count()));
    }
}

// ---- Entries that a complete list lacked ----

// Guards against a removed worker that comes back on all nodes, since after a kill of all of them one node read an older list.
Test(worker_directory, an_older_entry_of_a_worker_that_a_list_lacked_is_answered_with_a_tombstone)
{
    worker_directory reader;
    reader.replaceAll({{makeWorker("a", 3)}, {}}, {0, 9}, Start);
    reader.consumeChanges();
    cr_assert(not(reader.offer(makeWorker("bb", 5), Start)));
    cr_assert(phaseOf(reader, "bb") == worker_phase::removed);
    const std::vector<discovered_worker> news = reader.consumeChanges();
    cr_assert(news.size() == 1u);
    worker_directory other; // has the older list only
    other.replaceAll({{makeWorker("a", 3), makeWorker("bb", 5)}, {}}, {0, 6}, Start);
    cr_assert(other.offer(news.front(), Start));
    cr_assert(phaseOf(other, "bb") == worker_phase::removed);
    cr_assert(other.digest() == reader.digest());
}

Test(worker_directory, a_list_says_nothing_about_later_and_unreadable_entries_and_other_eras)
{
    worker_directory directory;
    cr_assert(directory.offer(makeWorker("a", 1), Start)); // no list has been read yet
    directory.replaceAll({{makeWorker("a", 1)}, {"bb"}}, {0, 9}, Start);
    cr_assert(directory.offer(makeWorker("bb", 5), Start));
    cr_assert(directory.offer(makeWorker("ccc", 10), Start));
    cr_assert(directory.offer(makeWorker("dddd", 2, worker_phase::ready, 1), Start));
    cr_assert(not(directory.offer(makeWorker("eeeee", 9), Start)));
    cr_assert(directory.offer(makeWorker("eeeee", 11), Start)); // the worker has come back
    cr_assert(phaseOf(directory, "eeeee") == worker_phase::ready);
}

// Guards against a node that was cut off for longer than tombstones are kept, and brings a removed worker back.
Test(worker_directory, a_watch_that_goes_on_from_the_list_covers_what_tombstones_no_longer_do)
{
    worker_directory directory;
    directory.recordReadUpTo({0, 50}); // no list before: it covers nothing
    cr_assert(directory.offer(makeWorker("a", 4), Start));
    directory.replaceAll({{makeWorker("a", 4)}, {}}, {0, 9}, Start);
    directory.offer(makeWorker("bb", 20), Start);
    directory.recordUnreadable("ccc"); // written at 22
    directory.offerRemoval("bb", {0, 25}, Start);
    directory.recordReadUpTo({0, 25});
    directory.tick(Start + std::chrono::hours(1));
    cr_assert(not(directory.entries().contains("bb")));
    cr_assert(not(directory.offer(makeWorker("bb", 20), Start + std::chrono::hours(1))));
    cr_assert(phaseOf(directory, "bb") == worker_phase::removed);
    cr_assert(directory.offer(makeWorker("ccc", 21), Start));
    cr_assert(directory.offer(makeWorker("bb", 26), Start + std::chrono::hours(1)));
}

// Guards against running workers that are out of use after an outage, since a node that has just started read a list without their
// entries and called them gone.
Test(worker_directory, a_node_that_adopts_a_hold_keeps_workers_that_its_list_lacked)
{
    worker_directory directory;
    directory.adoptRemovalHold(Start + seconds(2));
    directory.offer(makeWorker("a", 3), Start);
    directory.replaceAll({{}, {}}, {0, 9}, Start);
    cr_assert(directory.offer(makeWorker("bb", 5), Start));
    cr_assert(phaseOf(directory, "a") == worker_phase::ready);
    cr_assert(directory.removalHold(Start) == milliseconds(0)); // an adopted hold is not passed on
    directory.offer(makeWorker("a", 10), Start + seconds(1));
    directory.tick(Start + seconds(2));
    cr_assert(phaseOf(directory, "a") == worker_phase::ready);
    cr_assert(phaseOf(directory, "bb") == worker_phase::removed);
}

// ---- Writes of a worker that reach the store late ----

// Guards against a leaving worker that becomes ready again by a heartbeat that was held up on its way to the store.
Test(worker_directory, a_late_write_of_a_lifetime_changes_nothing)
{
    discovered_worker leaving = makeWritten(7, 12, worker_phase::leaving);
    discovered_worker late = makeWritten(6, 15, worker_phase::ready);
    late.slots = 9;
    worker_directory directory;
    directory.offer(makeWritten(5, 10, worker_phase::ready), Start);
    directory.offer(leaving, Start);
    cr_assert(not(directory.offer(late, Start)));
    cr_assert(phaseOf(directory, "a") == worker_phase::leaving && directory.entries().at("a").slots == 3);
    directory.replaceAll({{late}, {}}, {0, 16}, Start);
    cr_assert(phaseOf(directory, "a") == worker_phase::leaving);
    worker_directory other; // reads the late one first
    other.replaceAll({{late}, {}}, {0, 16}, Start);
    cr_assert(other.offer(leaving, Start));
    cr_assert(other.digest() == directory.digest());
    cr_assert(not(other.offer(late, Start)));
    discovered_worker again = makeWritten(1, 17, worker_phase::ready); // a new lifetime counts from the start
    ++again.startedAtMs;
    cr_assert(directory.offer(again, Start) && phaseOf(directory, "a") == worker_phase::ready);
}

Test(worker_directory, a_late_write_brings_no_removed_worker_back)
{
    worker_directory directory;
    directory.offer(makeWritten(7, 12, worker_phase::ready), Start);
    directory.offerRemoval("a", {0, 14}, Start);
    cr_assert(not(directory.offer(makeWritten(6, 15, worker_phase::ready), Start)));
    cr_assert(phaseOf(directory, "a") == worker_phase::removed);
    worker_directory other;
    other.offer(makeWritten(6, 15, worker_phase::ready), Start);
    cr_assert(other.offer(directory.entries().at("a"), Start)); // the tombstone says how far the worker had written
    cr_assert(phaseOf(other, "a") == worker_phase::removed);
    cr_assert(directory.offer(makeWritten(8, 16, worker_phase::ready), Start)); // the worker is running
}

// Guards against a removed worker that comes back at nodes that have read a late write before they hear of the one before its removal.
Test(worker_directory, a_removal_between_a_write_and_a_late_one_holds)
{
    worker_directory directory;
    directory.replaceAll({{makeWritten(6, 15, worker_phase::ready)}, {}}, {0, 16}, Start);
    cr_assert(directory.offer(makeWritten(7, 12, worker_phase::leaving), Start));
    discovered_worker tombstone = makeWritten(7, 14, worker_phase::removed);
    cr_assert(directory.offer(tombstone, Start));
    cr_assert(phaseOf(directory, "a") == worker_phase::removed);
}

Test(worker_directory, a_late_write_ends_no_pending_removal)
{
    worker_directory directory;
    directory.offer(makeWritten(7, 12, worker_phase::ready), Start);
    directory.recordServiceFailure(Start);
    directory.recordServiceRecovery(Start + seconds(5));
    directory.offerRemoval("a", {0, 14}, Start + seconds(5));
    directory.offer(makeWritten(6, 15, worker_phase::ready), Start + seconds(6));
    directory.tick(Start + seconds(9));
    cr_assert(phaseOf(directory, "a") == worker_phase::removed);
}

// Nodes of an earlier version of the program state no sequence, and some workers no start: the revision decides.
Test(worker_directory, without_a_sequence_or_a_start_the_revision_decides)
{
    worker_directory directory;
    directory.offer(makeWritten(7, 12, worker_phase::leaving), Start);
    cr_assert(directory.offer(makeWritten(0, 15, worker_phase::ready), Start));
    cr_assert(not(directory.offer(makeWritten(6, 16, worker_phase::leaving), Start)), "the sequence is remembered");
    discovered_worker first = makeWritten(7, 20, worker_phase::ready);
    discovered_worker second = makeWritten(1, 21, worker_phase::leaving);
    first.id = second.id = "bb";
    first.startedAtMs = second.startedAtMs = 0;
    directory.offer(first, Start);
    cr_assert(directory.offer(second, Start));
}

// A copy of the store may hold an earlier write: it says that the worker is there, not how it is.
Test(worker_directory, a_copy_of_the_store_with_an_earlier_write_changes_nothing)
{
    worker_directory directory;
    discovered_worker known = makeWritten(7, 12, worker_phase::ready);
    known.slots = 9;
    directory.offer(known, Start);
    discovered_worker copied = makeWritten(5, 4, worker_phase::ready);
    copied.revision.era = 1;
    directory.replaceAll({{copied}, {}}, {1, 5}, Start);
    cr_assert(directory.entries().at("a").slots == 9);
    directory.offerRemoval("a", {1, 6}, Start);
    cr_assert(phaseOf(directory, "a") == worker_phase::removed, "in the era that holds the worker, its removal is one");
}

// ---- Merging into the pool table ----

Test(worker_directory, merges_only_the_worker_started_last_at_an_address)
{
    worker_directory directory;
    discovered_worker earlier = makeWorker("old", 7);
    earlier.startedAtMs = 100;
    discovered_worker later = makeWorker("new", 5);
    later.startedAtMs = 200;
    directory.offer(earlier, Start);
    directory.offer(later, Start);
    const state::pool_table table = mergeDiscoveredWorkers(discoveredTable(), directory);
    cr_assert(table.pools.front().workers.size() == 1u);
    cr_assert(table.pools.front().workers.front().id == "new");
}

Test(worker_directory, merges_no_worker_of_an_unknown_pool_and_marks_leaving_workers)
{
    worker_directory directory;
    discovered_worker unlisted = makeWorker("stray", 1);
    unlisted.pool = "elsewhere";
    directory.offer(unlisted, Start);
    directory.offer(makeWorker("b", 2, worker_phase::leaving), Start);
    const state::pool_table table = mergeDiscoveredWorkers(discoveredTable(), directory);
    cr_assert(table.pools.front().workers.size() == 1u);
    cr_assert(table.pools.front().workers.front().leaving);
}

// ---- Dissemination ----

// Guards against an entry of another writer, with a service that isn't configured and a later start, that takes the place of a worker.
Test(worker_directory, an_entry_of_an_unknown_pool_takes_no_address_from_a_worker)
{
    worker_directory directory;
    discovered_worker worker = makeWorker("a", 1);
    worker.startedAtMs = 1000;
    directory.offer(worker, Start);
    discovered_worker odd = makeWorker("odd", 2);
    odd.pool = "nobody";
    odd.address = worker.address;
    odd.startedAtMs = std::numeric_limits<std::uint64_t>::max();
    directory.offer(odd, Start);
    const state::pool_table merged = mergeDiscoveredWorkers(discoveredTable(), directory);
    cr_assert(merged.pools[0].workers.size() == 1u);
    cr_assert(merged.pools[0].workers[0].id == "a");
}

// Guards against entries that never reach some nodes: a third of the messages is lost, and a node that missed a push must
// catch up by a pull.
Test(worker_dissemination, reaches_every_node_despite_lost_messages)
{
    cr_assert(rc::check("all directories become equal", [] {
        constexpr std::size_t Nodes = 12;
        auto random = *rc::gen::arbitrary<std::uint64_t>();
        const auto draw = [&random](std::size_t limit) {
            random = random * 6364136223846793005ULL + 1442695040888963407ULL;
            return static_cast<std::size_t>(random >> 33U) % limit;
        };
        std::vector<worker_directory> directories(Nodes);
        std::vector<worker_dissemination> disseminations;
        std::vector<state::node_address> addresses;
        for (std::size_t i = 0; i < Nodes; ++i) {
            disseminations.emplace_back(directories[i]);
            addresses.push_back({"10.0.0." + std::to_string(i + 1), 7400});
        }
        for (int i = 0; i < 20; ++i) {
            directories[0].offer(makeWorker(std::string(static_cast<std::size_t>(i) + 1, 'w'), static_cast<std::uint64_t>(i) + 1), Start);
        }
        state::time_point now = Start;
        std::vector<std::pair<std::size_t, outgoing_gossip>> inFlight; // sender and message
        const auto sendBatch = [&](std::size_t from, gossip_batch batch) {
            for (outgoing_gossip &out : batch) {
                out.message.sender.address = addresses[from];
                out.message.workersDigest = directories[from].digest();
                if (draw(3) != 0) {
                    inFlight.emplace_back(from, std::move(out));
                }
            }
        };
        for (int round = 0; round < 200; ++round) {
            now += milliseconds(50);
            for (std::size_t i = 0; i < Nodes; ++i) {
                disseminations[i].collectChanges(change_source::service, now);
                for (const change_source source : {change_source::service, change_source::peer}) {
                    sendBatch(i, disseminations[i].push(source, {addresses[draw(Nodes)], addresses[draw(Nodes)]}, now));
                }
                sendBatch(i, {{addresses[draw(Nodes)], gossip_message{}}}); // regular pings, which carry the digest
            }
            for (auto &[from, out] : std::exchange(inFlight, {})) {
                const auto to = static_cast<std::size_t>(std::find(addresses.begin(), addresses.end(), out.to) - addresses.begin());
                sendBatch(to, disseminations[to].receive(out.message, now));
            }
        }
        for (const worker_directory &directory : directories) {
            RC_ASSERT(directory.digest() == directories[0].digest());
            RC_ASSERT(directory.entries().size() == 20u);
        }
    }));
}

// ---- Selection of a pool ----

Test(pool_choice, follows_the_weights)
{
    state::route route;
    route.pool = "a";
    cr_assert(choosePool(route, 12345) == "a");
    route.poolShares = {{"a", 90}, {"b", 10}};
    std::size_t toB = 0;
    for (std::uint64_t random = 0; random < 1000; ++random) {
        toB += choosePool(route, random * 7919) == "b" ? 1 : 0;
    }
    cr_assert(toB == 100u);
    route.poolShares = {{"a", 0}, {"b", 5}};
    cr_assert(choosePool(route, 3) == "b");
}

// ---- Path backoff ----

Test(path_backoff, increases_the_backoff_of_a_path_with_each_failure)
{
    const std::string node = "10.0.0.1:7400";
    path_backoff paths;
    cr_assert(not(paths.isAvoided(node, Start)));
    paths.recordFailure(node, Start);
    paths.recordFailure(node, Start + milliseconds(1)); // a concurrent attempt on the same path counts as one failure
    cr_assert(paths.isAvoided(node, Start + milliseconds(499)));
    cr_assert(not(paths.isAvoided(node, Start + milliseconds(501))));
    paths.recordFailure(node, Start + milliseconds(600));
    cr_assert(paths.isAvoided(node, Start + milliseconds(1500)));
    paths.recordSuccess(node);
    cr_assert(not(paths.isAvoided(node, Start + milliseconds(1500))));
}

// ---- A store that comes back from an older copy ----

Test(worker_directory, a_higher_era_is_newer_whatever_the_revisions_are)
{
    worker_directory directory;
    directory.offer(makeWorker("a", 90, worker_phase::ready, 1), Start);
    cr_assert(directory.offer(makeWorker("a", 7, worker_phase::leaving, 2), Start));
    cr_assert(not(directory.offer(makeWorker("a", 95, worker_phase::ready, 1), Start))); // late, from a reader that is cut off
    cr_assert(phaseOf(directory, "a") == worker_phase::leaving);
    cr_assert(directory.era() == 2);
    directory.offerRemoval("a", {1, 99}, Start);
    cr_assert(phaseOf(directory, "a") == worker_phase::leaving);
    directory.offerRemoval("a", {2, 8}, Start);
    cr_assert(phaseOf(directory, "a") == worker_phase::removed);
}

Test(worker_directory, a_leaving_worker_does_not_become_ready_by_an_older_copy)
{
    worker_directory directory;
    directory.offer(makeWorker("a", 90, worker_phase::leaving, 1), Start);
    directory.replaceAll({{makeWorker("a", 5, worker_phase::ready, 2)}, {}}, {2, 6}, Start);
    cr_assert(phaseOf(directory, "a") == worker_phase::leaving);
    discovered_worker again = makeWorker("a", 9, worker_phase::ready, 2);
    again.startedAtMs += 1;
    cr_assert(directory.offer(again, Start)); // a new lifetime
    cr_assert(phaseOf(directory, "a") == worker_phase::ready);
}

Test(worker_directory, a_removed_worker_returns_when_the_new_era_states_it_twice)
{
    worker_directory directory;
    directory.offer(makeWorker("a", 80, worker_phase::ready, 1), Start);
    directory.offerRemoval("a", {1, 90}, Start);
    for (int i = 0; i < 3; ++i) { // read again and again, but not written again
        cr_assert(not(directory.offer(makeWorker("a", 5, worker_phase::ready, 2), Start)));
    }
    cr_assert(phaseOf(directory, "a") == worker_phase::removed);
    cr_assert(not(directory.offer(makeWorker("a", 4, worker_phase::ready, 3), Start))); // another copy
    cr_assert(directory.offer(makeWorker("a", 6, worker_phase::ready, 3), Start));
    cr_assert(phaseOf(directory, "a") == worker_phase::ready);
}

Test(worker_directory, workers_that_the_copy_lacks_stay_until_they_could_have_announced_themselves)
{
    worker_directory directory;
    directory.offer(makeWorker("a", 80, worker_phase::ready, 1), Start);
    directory.offer(makeWorker("bb", 81, worker_phase::ready, 1), Start);
    directory.offer(makeWorker("ccc", 82, worker_phase::leaving, 1), Start);
    directory.replaceAll({}, {2, 20}, Start);
    cr_assert(phaseOf(directory, "a") == worker_phase::ready);
    cr_assert(phaseOf(directory, "ccc") == worker_phase::removed);
    directory.offer(makeWorker("a", 22, worker_phase::ready, 2), Start + seconds(1));
    directory.tick(Start + seconds(2));
    cr_assert(phaseOf(directory, "bb") == worker_phase::ready);
    directory.tick(Start + seconds(3));
    cr_assert(phaseOf(directory, "a") == worker_phase::ready);
    cr_assert(phaseOf(directory, "bb") == worker_phase::removed);
}

// The store changes, comes back from copies, and its workers write again; several directories read it or hear from each other, in any
// order and with late answers. At the end, after each worker has written once more, all hold what the store holds.
Test(worker_directory, all_nodes_end_with_what_the_store_holds_whatever_it_came_back_from)
{
    cr_assert(rc::check("rewinds", [] {
        constexpr std::size_t Readers = 3;
        const std::vector<std::string> ids{"a", "bb", "ccc"};
        std::map<std::string, discovered_worker> store;
        std::vector<std::pair<std::uint64_t, std::map<std::string, discovered_worker>>> copies; // revision, content
        std::vector<discovered_worker> sent;                                                    // whatever was stated, to arrive late
        std::array<worker_directory, Readers> nodes;
        std::uint64_t era = 1;
        std::uint64_t revision = 1;
        state::time_point now = Start;
        const auto listOf = [&] {
            std::vector<discovered_worker> list;
            for (const auto &[id, entry] : store) {
                list.push_back(entry);
            }
            return list;
        };
        const auto write = [&](const std::string &id, worker_phase phase) {
            store[id] = makeWorker(id, ++revision, phase, era);
            sent.push_back(store[id]);
        };
        for (int step = 0; step < 60; ++step) {
            now += milliseconds(*rc::gen::inRange(0, 400));
            const std::string id = *rc::gen::elementOf(ids);
            const std::size_t node = *rc::gen::inRange<std::size_t>(0, Readers);
            switch (*rc::gen::inRange(0, 8)) {
            case 0:
            case 1:
                write(id, *rc::gen::arbitrary<bool>() ? worker_phase::ready : worker_phase::leaving);
                break;
            case 2:
                store.erase(id);
                ++revision;
                break;
            case 3:
                copies.emplace_back(revision, store);
                break;
            case 4:
                if (!copies.empty()) {
                    std::tie(revision, store) = *rc::gen::elementOf(copies);
                    ++era;
                    for (auto &[key, entry] : store) {
                        entry.revision.era = era;
                    }
                }
                break;
            case 5:
                nodes[node].replaceAll({listOf(), {}}, {era, revision}, now);
                break;
            case 6:
                if (!sent.empty()) {
                    nodes[node].offer(*rc::gen::elementOf(sent), now);
                }
                break;
            default:
                for (const discovered_worker &entry : nodes[(node + 1) % Readers].pageAfter("", 100)) {
                    nodes[node].offer(entry, now);
                }
                break;
            }
            nodes[node].tick(now);
        }
        // Running workers write again and again; the reader reads and the others hear of it, until they agree.
        for (int round = 0; round < 4; ++round) {
            for (auto &[id, entry] : store) {
                entry.revision = {era, ++revision};
            }
            for (const worker_directory &node : nodes) {
                for (const discovered_worker &entry : node.pageAfter("", 100)) {
                    nodes[0].offer(entry, now);
                }
            }
            nodes[0].replaceAll({listOf(), {}}, {era, ++revision}, now);
            now += seconds(3);
            for (worker_directory &node : nodes) {
                node.tick(now);
                for (const discovered_worker &entry : nodes[0].pageAfter("", 100)) {
                    node.offer(entry, now);
                }
            }
        }
        for (const worker_directory &node : nodes) {
            for (const std::string &id : ids) {
                const auto stored = store.find(id);
                const auto known = node.entries().find(id);
                const bool isKnown = known != node.entries().end() && known->second.phase != worker_phase::removed;
                RC_ASSERT(isKnown == (stored != store.end()));
                // Within a lifetime, a worker that a node has seen leaving may stay so although the copy says otherwise.
                RC_ASSERT(!isKnown || known->second.phase == stored->second.phase || known->second.phase == worker_phase::leaving);
            }
        }
    }));
}
