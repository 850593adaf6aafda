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
 * How a node without memory, new or with a lost disk, becomes fit to vote. It may have promised something before it lost its
 * disk. Any majority that such a promise was part of meets each majority of the others, so the highest that a majority tells
 * is at least as high as what was forgotten.
 */
final class Relearning {
    private static final long RELEARN_INTERVAL_MS = 300;
    private static final long LEARNER_POLL_INTERVAL_MS = 2000;

    private final ReplicaContext replica;
    private final Effects effects;
    private final Random random;
    private final Map<NodeId, Relearned> answers = new TreeMap<>();
    private long nextRequestMs;

    /**
     * @param random chooses whom a learner asks
     */
    Relearning(ReplicaContext replica, Effects effects, Random random) {
        this.replica = replica;
        this.effects = effects;
        this.random = random;
    }

    void sendRelearn(NodeId peer) {
        effects.send(peer, new Relearn(effects.nextId()));
    }

    /** While this node relearns: asks all that may know. */
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

    /** A node that does not vote may have missed a view: it asks one that may know better. */
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

    /** Takes an answer; what was promised, once a majority of the newest view's voters has answered, else null. */
    VoterState onRelearned(NodeId from, Relearned answer) {
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

    /** The highest promise for an epoch from the decided one on, and what was accepted under the highest ballot for it. */
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
