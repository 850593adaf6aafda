package ringspindle.consensus;

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
    private static final long ASK_EVERY_MS = 300;
    private static final long ASK_AS_LEARNER_EVERY_MS = 2000;

    private final Replica replica;
    private final Effects effects;
    private final Random random;
    private final Map<NodeId, Relearned> answers = new TreeMap<>();
    private long nextAskMs;

    Relearning(Replica replica, Effects effects, Random random) {
        this.replica = replica;
        this.effects = effects;
        this.random = random;
    }

    void ask(NodeId peer) {
        effects.send(peer, new Relearn(effects.nextId()));
    }

    /** While blank: asks all that may know. */
    void askAll() {
        if (replica.nowMs() < nextAskMs) {
            return;
        }
        nextAskMs = replica.nowMs() + ASK_EVERY_MS;
        Set<NodeId> peers = new TreeSet<>(replica.seeds());
        peers.addAll(replica.connectivity().live());
        if (replica.view() != null) {
            peers.addAll(replica.view().voters());
        }
        peers.remove(replica.self());
        peers.forEach(this::ask);
    }

    /** A node that does not vote may have missed a view: it asks one that may know better. */
    void askOne() {
        if (replica.votes()
                || replica.nowMs() < nextAskMs
                || replica.connectivity().live().isEmpty()) {
            return;
        }
        nextAskMs = replica.nowMs() + ASK_AS_LEARNER_EVERY_MS;
        NodeId[] live = replica.connectivity().live().toArray(new NodeId[0]);
        ask(live[random.nextInt(live.length)]);
    }

    /** Takes an answer; true once a majority of the newest view's voters has answered and the acceptor is restored. */
    boolean onRelearned(NodeId from, Relearned answer, Acceptor acceptor) {
        answers.put(from, answer);
        View newest = newestView();
        replica.view(newest);
        long told = answers.keySet().stream().filter(newest.voters()::contains).count();
        if (told < newest.majority()) {
            return false;
        }
        restore(acceptor, newest);
        answers.clear();
        return true;
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

    private void restore(Acceptor acceptor, View newest) {
        long epoch = newest.epoch();
        long ballot = 0;
        for (Map.Entry<NodeId, Relearned> entry : answers.entrySet()) {
            Relearned answer = entry.getValue();
            boolean higher =
                    answer.promisedEpoch() > epoch || answer.promisedEpoch() == epoch && answer.promised() > ballot;
            if (newest.voters().contains(entry.getKey()) && higher) {
                epoch = answer.promisedEpoch();
                ballot = answer.promised();
            }
        }
        long acceptedBallot = 0;
        View accepted = null;
        for (Map.Entry<NodeId, Relearned> entry : answers.entrySet()) {
            Relearned answer = entry.getValue();
            if (newest.voters().contains(entry.getKey())
                    && answer.promisedEpoch() == epoch
                    && epoch > newest.epoch()
                    && answer.acceptedBallot() > acceptedBallot) {
                acceptedBallot = answer.acceptedBallot();
                accepted = answer.accepted();
            }
        }
        acceptor.restore(epoch, ballot, acceptedBallot, accepted);
    }
}
