package ringspindle.consensus;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import ringspindle.protocol.Message.Relearn;
import ringspindle.protocol.Message.Relearned;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.NodeId;

/**
 * Restores the voter state of a node that is new or lost its disk. The node may have made promises before the loss. Any
 * majority that contained such a promise intersects every majority of the other voters, so the highest promise reported
 * by a majority is at least as high as the lost one.
 */
final class Relearning {
    private static final long RELEARN_INTERVAL_MS = 300;
    private static final long LEARNER_POLL_INTERVAL_MS = 2000;

    private final ReplicaContext replica;
    private final Effects effects;
    private final Random random;
    private final Map<NodeId, Relearned> answers = new TreeMap<>();
    private final long firstId;
    private long requests;
    private long nextRequestMs;

    /**
     * @param random chooses the peer that a learner asks
     * @param firstId a random number: an answer to an earlier process may be older than promises that were lost since
     */
    Relearning(ReplicaContext replica, Effects effects, Random random, long firstId) {
        this.replica = replica;
        this.effects = effects;
        this.random = random;
        this.firstId = firstId;
    }

    void sendRelearn(NodeId peer) {
        effects.send(peer, new Relearn(firstId + requests));
        requests++;
    }

    /** Whether the answer is to a request of this process; any of them came after all promises that were lost. */
    private boolean isAnswerToThisProcess(Relearned answer) {
        long number = answer.id() - firstId;
        return number >= 0 && number < requests;
    }

    /** Asks all peers that may know the voter state; called while this node relearns. */
    void requestFromAll() {
        if (replica.nowMs() < nextRequestMs) {
            return;
        }
        nextRequestMs = replica.nowMs() + RELEARN_INTERVAL_MS;
        Set<NodeId> peers = new TreeSet<>(replica.seeds());
        peers.addAll(replica.connectivity().liveNodes());
        if (replica.view() != null) {
            peers.addAll(replica.view().voters());
        }
        peers.remove(replica.self());
        peers.forEach(this::sendRelearn);
    }

    /** Asks one random peer for the newest view, since a node without a vote may have missed one. */
    void requestFromOne() {
        if (replica.votes()
                || replica.nowMs() < nextRequestMs
                || replica.connectivity().liveNodes().isEmpty()) {
            return;
        }
        nextRequestMs = replica.nowMs() + LEARNER_POLL_INTERVAL_MS;
        NodeId[] liveNodes = replica.connectivity().liveNodes().toArray(new NodeId[0]);
        sendRelearn(liveNodes[random.nextInt(liveNodes.length)]);
    }

    /**
     * Records an answer; returns the relearned state once a majority of the newest view's voters has answered, else
     * null.
     */
    VoterState onRelearned(NodeId from, Relearned answer) {
        if (!isAnswerToThisProcess(answer)) {
            return null;
        }
        answers.put(from, answer);
        View newest = newestView();
        replica.adoptView(newest);
        List<Relearned> voterAnswers = answers.entrySet().stream()
                .filter(entry -> newest.voters().contains(entry.getKey()))
                .map(Map.Entry::getValue)
                .toList();
        if (voterAnswers.size() < newest.majority()) {
            return null;
        }
        answers.clear();
        return highestPromise(voterAnswers, newest.epoch());
    }

    private View newestView() {
        View newest = replica.view();
        for (Relearned answer : answers.values()) {
            if (newest == null || answer.view().epoch() > newest.epoch()) {
                newest = answer.view();
            }
        }
        return newest;
    }

    /** Returns the highest promise since the decided epoch, and the value accepted under the highest ballot for it. */
    private static VoterState highestPromise(List<Relearned> voterAnswers, long decidedEpoch) {
        long epoch = decidedEpoch;
        long ballot = 0;
        for (Relearned answer : voterAnswers) {
            if (answer.promisedEpoch() > epoch || answer.promisedEpoch() == epoch && answer.promised() > ballot) {
                epoch = answer.promisedEpoch();
                ballot = answer.promised();
            }
        }
        long acceptedBallot = 0;
        View accepted = null;
        for (Relearned answer : voterAnswers) {
            if (answer.promisedEpoch() == epoch && epoch > decidedEpoch && answer.acceptedBallot() > acceptedBallot) {
                acceptedBallot = answer.acceptedBallot();
                accepted = answer.accepted();
            }
        }
        return VoterState.of(epoch, ballot, acceptedBallot, accepted);
    }
}
