"""Tests of nodes on a simulated network."""

import unittest
from typing import Any

from dogwoodspool_common import Address
from dogwoodspool_consensus import (
    MembershipChangeError,
    NotLeaderError,
    OutcomeUnknownError,
    ProposalRefusedError,
    Role,
)
from dogwoodspool_consensus.const import PATH_APPEND, PATH_SNAPSHOT, PATH_VOTE
from dogwoodspool_consensus.messages import (
    AppendRequest,
    EntryMessage,
    SnapshotRequest,
    VoteRequest,
)
from dogwoodspool_consensus.models import (
    Configuration,
    Entry,
    EntryKind,
    LogBase,
    Snapshot,
)

from .fakes import SETTINGS, Cluster


def header(cluster: Cluster, source: str, target: str, term: int) -> dict[str, Any]:
    """Return the fields common to all requests between two nodes."""
    return {
        "source": source,
        "source_incarnation": cluster.nodes[source].diagnostics().incarnation,
        "target": target,
        "target_incarnation": cluster.nodes[target].diagnostics().incarnation,
        "term": term,
    }


class ClusterCase(unittest.TestCase):
    """Base class with three voters and a leader."""

    def setUp(self) -> None:
        self.cluster = Cluster(3)
        self.leader = self.cluster.leader()
        self.followers = sorted(set(self.cluster.nodes) - {self.leader})

    def commit(self, text: str) -> int:
        proposal = self.cluster.nodes[self.cluster.leader()].submit({"id": text})
        self.cluster.run(0.1)
        return int(proposal.result()["index"])

    def elect_alone(self, cluster: Cluster, name: str, peers: list[str]) -> None:
        """Run only one node until it is elected."""
        node = cluster.nodes[name]
        for _ in range(100):
            cluster.advance(0.05)
            node.tick()
            for peer in peers:
                node.step_peer(peer)
            if node.diagnostics().role is Role.LEADER:
                return
        self.fail(f"{name} was not elected")

    def assert_same_everywhere(self) -> None:
        self.cluster.run(3.0)
        for name, machine in self.cluster.machines.items():
            if name in self.cluster.nodes:
                self.assertEqual(machine.applied, self.cluster.committed, name)


class ReplicationTests(ClusterCase):
    """An acknowledged command is on a quorum and is not lost."""

    def test_proposals_share_one_sync(self) -> None:
        node, syncs = self.cluster.nodes[self.leader], []
        self.cluster.storages[self.leader].on_sync = lambda: syncs.append(1)
        proposals = [node.submit({"id": str(i)}) for i in range(SETTINGS.max_batch)]
        self.cluster.run(0.2)
        self.assertTrue(all(proposal.is_done for proposal in proposals))
        self.assertEqual(len(syncs), 1)

    def test_leader_counts_itself_only_after_its_sync(self) -> None:
        # The leader sends an entry while its own disk still syncs. One follower has it,
        # the third node is partitioned, and the leader loses power. If the leader had
        # acknowledged the entry, it and the partitioned node could lose it.
        cluster, leader = self.cluster, self.leader
        cluster.cut_off(self.followers[1])
        node = cluster.nodes[leader]
        proposal = node.submit({"id": "x"})
        seen: list[bool] = []

        def while_syncing() -> None:
            cluster.advance(SETTINGS.heartbeat_interval)
            node.step_peer(self.followers[0])
            node.apply_committed()
            seen.append(proposal.is_done)

        cluster.storages[leader].on_sync = while_syncing
        node.write_pending()
        node.apply_committed()
        self.assertEqual(seen, [False])
        self.assertTrue(proposal.is_done)

    def test_follower_acknowledges_only_synced_entries(self) -> None:
        # The leader and one follower acknowledge a change. The leader is lost, and the
        # follower restarts after a power loss without its unsynced entries.
        cluster, follower = self.cluster, self.followers[0]
        cluster.cut_off(self.followers[1])
        self.commit("x")
        cluster.crash(self.leader)
        cluster.crash(follower)
        cluster.cut_links.clear()
        cluster.start(follower)
        self.commit("y")
        applied = cluster.machines[follower].applied.values()
        self.assertEqual(list(applied), ["x", "y"])

    def test_entry_of_a_lost_leadership_is_synced_before_its_response(self) -> None:
        # The leader's disk is slow and another node, which already has the entry, leads
        # next. It would count the old leader's response although that node has not
        # synced the entry, which a power loss would then destroy.
        cluster, node = self.cluster, self.cluster.nodes[self.leader]
        storage, last = cluster.storages[self.leader], node.diagnostics().last_index
        entry = EntryMessage(term=1, kind=EntryKind.COMMAND, data='{"id":"x"}')
        request = AppendRequest(
            **header(cluster, self.followers[0], self.leader, 2),
            leader_address="10.0.0.1:1",
            prev_index=last,
            prev_term=1,
            entries=[entry],
            commit_index=last,
        )
        durable: list[bool] = []

        def while_syncing() -> None:
            storage.on_sync = lambda: None
            node.handle(PATH_APPEND, request.model_dump(mode="json"))
            durable.append(storage.stored.entries[-1].data == entry.data)

        node.submit({"id": "x"})
        storage.on_sync = while_syncing
        node.write_pending()
        self.assertEqual(durable, [True])

    def test_entry_of_an_older_term_is_not_committed_by_counting(self) -> None:
        # Figure 8 of the Raft paper: a new leader replicates an entry of an old term to
        # a quorum, but not yet an entry of its own term. A node with a newer last entry
        # may still replace it, so it must not be committed.
        cluster, node = self.cluster, self.cluster.nodes[self.leader]
        self.commit("first")
        cluster.cut_off(self.leader)
        for number in range(SETTINGS.max_batch):
            node.submit({"id": str(number)})
        node.write_pending()
        for follower in self.followers:
            cluster.crash(follower)
        cluster.crash(self.leader)
        cluster.heal()
        node, follower = cluster.nodes[self.leader], self.followers[0]
        self.elect_alone(cluster, self.leader, [follower])
        node.write_pending()
        for _ in range(20):
            node.step_peer(follower)
            lag = {item.node_id: item.lag for item in node.diagnostics().members}
            # Only one entry is missing: the first of the leader's own term.
            if lag[follower] == 1:
                break
        self.assertEqual(lag[follower], 1)
        for _ in range(5):
            node.apply_committed()
        self.assertEqual(list(cluster.committed.values()), ["first"])

    def test_response_to_an_earlier_leadership_is_ignored(self) -> None:
        # A follower appends a leader's entries, its response is delayed, and another
        # leader replaces the entries on both. The first one leads again when the
        # response arrives. If counted then, it would commit what no quorum holds.
        cluster = Cluster(5)
        leader = cluster.leader()
        node, follower = cluster.nodes[leader], min({"n0", "n1"} - {leader})
        others = sorted(set(cluster.nodes) - {leader, follower})

        def lose_and_lead_again() -> None:
            cluster.cut_off(leader)
            cluster.cut_off(follower)
            cluster.run(3.0)
            cluster.cut_links.clear()
            cluster.run(1.0)
            cluster.frozen.add(cluster.leader())
            self.elect_alone(cluster, leader, [follower, *others])

        cluster.cut_links |= {frozenset({leader, name}) for name in others}
        for number in range(SETTINGS.max_batch):
            node.submit({"id": str(number)})
        node.write_pending()
        cluster.advance(SETTINGS.heartbeat_interval)
        cluster.on_answer = lose_and_lead_again
        node.step_peer(follower)
        seen = node.diagnostics()
        lag = {item.node_id: item.lag for item in seen.members}[follower]
        held = cluster.nodes[follower].diagnostics().last_index
        self.assertLessEqual(0 if lag is None else seen.last_index - lag, held)
        self.assertIs(seen.role, Role.LEADER)

    def test_cut_off_leader_replaces_its_uncommitted_entries(self) -> None:
        # A partitioned leader accepted proposals that no quorum has. Once it reconnects
        # its callers learn that they were not run, and its log is corrected.
        cluster, old = self.cluster, self.cluster.nodes[self.leader]
        cluster.cut_off(self.leader)
        lost = [old.submit({"id": f"lost{i}"}) for i in range(3)]
        old.write_pending()
        cluster.run(3.0)
        self.commit("kept")
        cluster.cut_links.clear()
        self.assert_same_everywhere()
        for proposal in lost:
            with self.assertRaises(NotLeaderError):
                proposal.result()

    def test_node_that_missed_hundreds_of_entries_gets_a_snapshot(self) -> None:
        cluster, late = self.cluster, self.followers[0]
        cluster.crash(late)
        for number in range(300):
            self.commit(str(number))
        cluster.start(late)
        self.assert_same_everywhere()
        self.assertGreater(cluster.nodes[late].diagnostics().snapshot_index, 250)
        self.assertLess(len(cluster.storages[late].stored.entries), 50)

    def test_impossible_commands_are_refused(self) -> None:
        node = self.cluster.nodes[self.leader]
        large = "x" * SETTINGS.max_command_bytes
        for command in ({"id": large}, {"id": object()}):
            with self.assertRaises(ProposalRefusedError):
                node.submit(command)

    def test_oversized_snapshot_is_not_taken(self) -> None:
        node = self.cluster.nodes[self.followers[0]]
        chunk = SnapshotRequest(
            **header(self.cluster, self.leader, self.followers[0], term=9),
            leader_address="10.0.0.1:1",
            index=50,
            offset=0,
            data="x" * (SETTINGS.max_snapshot_bytes + 1),
            is_last=False,
        )
        answer = node.handle(PATH_SNAPSHOT, chunk.model_dump(mode="json"))
        self.assertEqual(answer["next_offset"], 0)

    def test_log_that_does_not_follow_the_snapshot_is_dropped(self) -> None:
        # A node whose entries were superseded receives a snapshot. It loses power after
        # saving the snapshot and before replacing its log.
        storage = self.cluster.storages[self.followers[0]]
        self.cluster.crash(self.followers[0])
        entries = [Entry(i, 1, EntryKind.NOOP) for i in range(1, 9)]
        storage.rewrite(LogBase(), entries)
        storage.save_snapshot(Snapshot(5, 3, Configuration(), "{}"))
        self.cluster.start(self.followers[0])
        seen = self.cluster.nodes[self.followers[0]].diagnostics()
        self.assertEqual(seen.last_index, 5)

    def test_unload_refuses_pending_proposals(self) -> None:
        node = self.cluster.nodes[self.leader]
        proposal = node.submit({"id": "x"})
        node.unload()
        with self.assertRaises(NotLeaderError):
            proposal.result()

    def test_unload_ends_proposals_that_were_appended(self) -> None:
        """Guard against callers that wait until the process is gone."""
        node = self.cluster.nodes[self.leader]
        self.cluster.cut_off(self.leader)
        proposal = node.submit({"id": "x"})
        node.write_pending()
        self.assertFalse(proposal.is_done)
        node.unload()
        self.assertTrue(proposal.is_done)
        with self.assertRaises(OutcomeUnknownError):
            proposal.result()

    def test_failed_disk_excludes_the_node(self) -> None:
        # fsync fails on the leader. It must neither respond nor vote, and the others
        # must continue without it.
        cluster, node = self.cluster, self.cluster.nodes[self.leader]
        proposal = node.submit({"id": "x"})
        cluster.storages[self.leader].has_failing_disk = True
        node.write_pending()
        self.assertIsNone(node.leadership())
        self.assertFalse(proposal.is_done)
        cluster.storages[self.leader].has_failing_disk = False
        self.commit("y")
        self.assertTrue(node.diagnostics().has_failed)
        self.assertNotIn("y", cluster.machines[self.leader].applied.values())


class VoteTests(ClusterCase):
    """A voter votes once per term, and only for a log that is not behind its own."""

    def ask(self, source: str, term: int, last_index: int = 99) -> bool:
        """Request the vote of the first follower after its leader contact expired."""
        target = self.followers[0]
        self.cluster.advance(SETTINGS.election_timeout_min * 1.1)
        request = VoteRequest(
            **header(self.cluster, source, target, term),
            last_index=last_index,
            last_term=1,
            is_pre_vote=False,
        )
        body = request.model_dump(mode="json")
        return bool(self.cluster.nodes[target].handle(PATH_VOTE, body)["is_granted"])

    def test_second_candidate_of_a_term_is_refused_also_after_a_restart(self) -> None:
        # A node votes, loses power, and another candidate of the same term requests its
        # vote. A second vote could elect two leaders in one term.
        self.assertTrue(self.ask(self.leader, 5))
        self.assertFalse(self.ask(self.followers[1], 5))
        self.cluster.crash(self.followers[0])
        self.cluster.start(self.followers[0])
        self.assertFalse(self.ask(self.followers[1], 5))
        self.assertFalse(self.ask(self.followers[1], 4))
        self.assertTrue(self.ask(self.leader, 5))

    def test_candidate_with_a_shorter_log_is_refused(self) -> None:
        last = self.cluster.nodes[self.followers[0]].diagnostics().last_index
        self.assertFalse(self.ask(self.leader, 5, last - 1))
        self.assertTrue(self.ask(self.leader, 6, last))

    def test_message_of_an_older_term_is_refused(self) -> None:
        # A message of a replaced leader arrives late. It must neither change the log
        # nor count as contact with the current leader.
        self.assertTrue(self.ask(self.followers[1], 5))
        node = self.cluster.nodes[self.followers[0]]
        last = node.diagnostics().last_index
        request = AppendRequest(
            **header(self.cluster, self.leader, self.followers[0], 4),
            leader_address="10.0.0.1:1",
            prev_index=last,
            prev_term=1,
            entries=[EntryMessage(term=4, kind=EntryKind.NOOP, data="{}")],
            commit_index=last + 1,
        )
        answer = node.handle(PATH_APPEND, request.model_dump(mode="json"))
        self.assertEqual((answer["is_success"], answer["term"]), (False, 5))
        self.assertEqual(node.diagnostics().last_index, last)


class IdentityTests(ClusterCase):
    """A voter that lost its files must not vote under its old identity."""

    def lose_leader_and_files_of(self, name: str, *, bootstrap: bool) -> None:
        self.commit("x")
        self.cluster.crash(self.leader)
        self.cluster.crash(name)
        self.cluster.storages[name].wipe()
        self.cluster.start(name, bootstrap=bootstrap)
        self.cluster.run(5.0)

    def test_wiped_voter_does_not_vote(self) -> None:
        # Right after one machine got a new disk, a second one is lost. Of the two
        # running nodes one has lost its state; if its vote counted, a node that lacks
        # acknowledged changes could be elected.
        for bootstrap in (False, True):
            with self.subTest(bootstrap=bootstrap):
                self.setUp()
                self.lose_leader_and_files_of(self.followers[0], bootstrap=bootstrap)
                self.assertEqual(self.cluster.leaders(), [])
                # The lost machine returns, which restores the quorum.
                self.cluster.start(self.leader)
                self.assertIn(self.cluster.leader(), (self.leader, self.followers[1]))

    def test_wiped_voter_counts_for_no_commit(self) -> None:
        name = self.followers[0]
        self.commit("x")
        self.cluster.crash(name)
        self.cluster.storages[name].wipe()
        self.cluster.start(name, bootstrap=True)
        self.cluster.cut_off(self.followers[1])
        proposal = self.cluster.nodes[self.leader].submit({"id": "y"})
        self.cluster.run(0.5)
        self.assertFalse(proposal.is_done)
        self.assertEqual(self.cluster.machines[name].applied, {})

    def test_two_wiped_voters_do_not_begin_a_new_cluster_beside_the_third(
        self,
    ) -> None:
        # An operator starts two wiped voters with the bootstrap flag. They are a
        # majority of the initial voters, but the third one refuses their identities.
        self.commit("x")
        for name in self.followers:
            self.cluster.crash(name)
            self.cluster.storages[name].wipe()
            self.cluster.start(name, bootstrap=True)
        self.cluster.run(6.0)
        self.assertEqual(self.cluster.leaders(), [])

    def test_empty_node_without_bootstrap_waits(self) -> None:
        cluster = Cluster(3)
        for name in list(cluster.nodes):
            cluster.crash(name)
            cluster.storages[name].wipe()
            cluster.start(name)
        cluster.run(5.0)
        self.assertEqual(cluster.leaders(), [])


class MembershipTests(ClusterCase):
    """Voters are replaced one at a time."""

    def test_wiped_voter_is_replaced_under_a_new_id(self) -> None:
        cluster, wiped = self.cluster, self.followers[0]
        for number in range(30):
            self.commit(str(number))
        cluster.crash(wiped)
        cluster.start("n3")
        node = cluster.nodes[self.leader]
        node.add_voter("n3", cluster.addresses["n3"], 5.0)
        node.remove_voter(wiped, 5.0)
        # A second machine is lost right after the replacement: no entry is lost.
        cluster.crash(self.leader)
        self.commit("after")
        self.assert_same_everywhere()
        self.assertEqual(len(cluster.committed), 31)

    def test_learner_that_cannot_be_reached_does_not_become_a_voter(self) -> None:
        # The process of an added voter does not run. As a voter it would raise the
        # quorum, and the loss of one more machine would block all changes.
        node = self.cluster.nodes[self.leader]
        self.cluster.addresses["n3"] = address = list(self.cluster.voters.values())[0]
        with self.assertRaises(MembershipChangeError):
            node.add_voter("n3", address, 0.5)
        members = {item.node_id: item for item in node.diagnostics().members}
        self.assertFalse(members["n3"].is_voter)

    def test_uncommitted_change_is_undone(self) -> None:
        # A partitioned leader appends a new member, which takes effect there at once.
        # When the entry is truncated, the previous configuration must be restored.
        cluster, node = self.cluster, self.cluster.nodes[self.leader]
        cluster.cut_off(self.leader)
        with self.assertRaises(OutcomeUnknownError):
            node.add_voter("n3", Address("10.0.0.1", 9), 0.2)
        cluster.run(3.0)
        cluster.cut_links.clear()
        self.commit("x")
        cluster.run(1.0)
        self.assertEqual(len(node.diagnostics().members), 3)

    def test_removed_leader_leads_until_the_change_is_committed(self) -> None:
        node = self.cluster.nodes[self.leader]
        node.remove_voter(self.leader, 5.0)
        self.cluster.run(3.0)
        self.assertNotEqual(self.cluster.leader(), self.leader)
        new = self.cluster.nodes[self.cluster.leader()]
        with self.assertRaisesRegex(MembershipChangeError, "new id"):
            new.add_voter(self.leader, self.cluster.addresses[self.leader], 1.0)
