package ringspindle.replication;

import java.util.List;
import java.util.Random;
import ringspindle.protocol.Message;
import ringspindle.protocol.Message.Accept;
import ringspindle.protocol.Message.Accepted;
import ringspindle.protocol.Message.Call;
import ringspindle.protocol.Message.Confirm;
import ringspindle.protocol.Message.Confirmed;
import ringspindle.protocol.Message.Decided;
import ringspindle.protocol.Message.Entry;
import ringspindle.protocol.Message.Install;
import ringspindle.protocol.Message.Pledge;
import ringspindle.protocol.Message.Position;
import ringspindle.protocol.Message.Prepare;
import ringspindle.protocol.Message.Relearn;
import ringspindle.protocol.Message.Relearned;
import ringspindle.protocol.Message.Reply;
import ringspindle.protocol.Message.State;
import ringspindle.protocol.Message.Synced;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.Message.Vote;
import ringspindle.protocol.NodeId;

/**
 * Chain replication under views. A view is decided by single-decree agreement of a majority of the previous view's voters; a
 * voter that promised the next epoch refuses the entries of the old one. The head of a new view is the promiser with the
 * newest state, so that nothing acknowledged is lost. This class hands each input to the part whose job it is.
 */
final class ChainReplicatedState implements ReplicatedState {
    private static final byte[] NONE = {};
    /** A node that has promised another view may answer for the old one no longer than this. */
    private static final long FENCED_MS = 1500;

    private final Replica replica;
    private final Acceptor acceptor;
    private final Proposer proposer;
    private final Relearning relearning;
    private final Replication replication;
    private final Orders orders;
    private final ViewMonitor monitor;
    private boolean announced;

    ChainReplicatedState(
            NodeId self, List<NodeId> seeds, boolean bootstrap, List<Message> found, long randomSeed, int leastVoters) {
        replica = new Replica(self, seeds, new Random(randomSeed));
        Membership membership = new Membership(self, Math.min(Membership.VOTERS_MAX, leastVoters));
        monitor = new ViewMonitor(replica, membership, bootstrap);
        acceptor = new Acceptor(replica, this::position);
        proposer = new Proposer(replica, acceptor, new ViewPlanner(replica, membership), this::learn);
        relearning = new Relearning(replica);
        orders = new Orders(replica, () -> !monitor.founding(replica.nowMs()));
        replication = new Replication(replica, acceptor, orders);
        orders.over(replication);
        found.forEach(this::load);
        if (replica.view() == null) {
            if (bootstrap && seeds.contains(self)) {
                found(seeds);
            } else {
                replica.blank(true);
            }
        }
    }

    private Position position() {
        return replication.position();
    }

    private void load(Message record) {
        if (record instanceof Vote vote) {
            replica.view(vote.view());
            acceptor.restore(vote.promisedEpoch(), vote.promised(), vote.acceptedBallot(), vote.accepted());
        } else if (record instanceof State state) {
            replication.load(state);
        } else if (record instanceof Entry entry) {
            replication.load(entry);
        }
    }

    /** The first start of a system: its seeds are the first voters. */
    private void found(List<NodeId> seeds) {
        State first = new State(1, 0, 0, List.of(), List.of(), NONE);
        replica.view(new View(1, List.copyOf(seeds), List.copyOf(seeds), new Position(1, 0)));
        replication.load(first);
    }

    // ---- what others see

    @Override
    public View view() {
        return replica.view();
    }

    @Override
    public State committed() {
        return replication.committed();
    }

    @Override
    public boolean current(long nowMs) {
        if (replica.view() == null || !monitor.quorumProven(nowMs)) {
            return false;
        }
        if (!replica.votes()) {
            // beyond the bound a node learns: it passes calls on, and hears what is committed as facts
            return replica.view().voters().size() >= Membership.VOTERS_MAX && !replica.blank();
        }
        return committed() != null && replication.ofThisView() && replica.inChain() && !acceptor.fencedFor(FENCED_MS);
    }

    @Override
    public boolean blank() {
        return replica.blank() || replica.view() == null;
    }

    @Override
    public boolean founding(long nowMs) {
        return monitor.founding(nowMs);
    }

    @Override
    public List<Message> durable() {
        return List.of(acceptor.vote(), replication.last());
    }

    /** Where it stands, for tests and logs. */
    String standing() {
        View view = replica.view();
        return "view " + (view == null ? null : view.epoch() + " " + view.chain()) + " " + acceptor + " " + replication
                + " blank " + replica.blank() + " " + orders + " proposes " + proposer.proposing();
    }

    // ---- inputs

    @Override
    public List<Out> on(NodeId from, Message message, long nowMs) {
        replica.at(nowMs);
        announce();
        take(from, message);
        return finish();
    }

    @Override
    public List<Out> stored(long token, long nowMs) {
        replica.at(nowMs);
        replica.stored(token);
        return finish();
    }

    @Override
    public List<Out> opened(NodeId peer, long nowMs) {
        replica.at(nowMs);
        announce();
        if (replica.blank()) {
            relearning.ask(peer);
        } else if (replica.view() != null) {
            // whichever of the two missed a view learns it
            replica.send(peer, new Decided(replica.view()));
        }
        replication.onOpened(peer);
        orders.onOpened(peer);
        return finish();
    }

    @Override
    public List<Out> call(Call call, long nowMs) {
        replica.at(nowMs);
        announce();
        orders.take(call);
        return finish();
    }

    @Override
    public List<Out> beat(long nowMs, Reach reach) {
        if (replica.tick(nowMs, reach)) {
            monitor.onPause();
        }
        announce();
        monitor.tick();
        orders.tick();
        if (replica.blank()) {
            relearning.askAll();
        } else if (replica.view() != null) {
            relearning.askOne();
            orders.goOn();
            replication.tick();
            judge();
        }
        return finish();
    }

    private void judge() {
        if (proposer.proposing()) {
            proposer.tick();
        } else if (monitor.proposalDue(replication, acceptor) && proposer.mayPropose()) {
            proposer.propose();
        }
    }

    private List<Out> finish() {
        for (Message message = replica.pollSelf(); message != null; message = replica.pollSelf()) {
            take(replica.self, message);
        }
        return replica.takeOutputs();
    }

    /** The first view and state go to disk before anything else is said or written. */
    private void announce() {
        if (announced || replica.view() == null || replica.blank()) {
            return;
        }
        announced = true;
        replica.emit(new Out.Viewed(replica.view()));
        replication.writeFirst();
    }

    private void take(NodeId from, Message message) {
        if (message instanceof Prepare prepare) {
            learn(prepare.view());
            acceptor.onPrepare(from, prepare);
        } else if (message instanceof Pledge pledge) {
            learn(pledge.view());
            proposer.onPledge(from, pledge);
        } else if (message instanceof Accept accept) {
            acceptor.onAccept(from, accept);
        } else if (message instanceof Accepted accepted) {
            proposer.onAccepted(from, accepted);
        } else if (message instanceof Decided decided) {
            learn(decided.view());
        } else if (message instanceof Relearn relearn) {
            acceptor.onRelearn(from, relearn);
        } else if (message instanceof Relearned relearned) {
            onRelearned(from, relearned);
        } else if (message instanceof Install install) {
            replication.onInstall(from, install);
        } else if (message instanceof Entry entry) {
            replication.onEntry(from, entry);
        } else if (message instanceof Synced synced) {
            replication.onSynced(from, synced);
        } else if (message instanceof Confirm confirm) {
            replica.send(from, new Confirmed(confirm.epoch(), confirm.id(), confirms(confirm.epoch())));
        } else if (message instanceof Confirmed confirmed) {
            orders.onConfirmed(from, confirmed);
        } else if (message instanceof Call call) {
            orders.onCall(from, call);
        } else if (message instanceof Reply reply) {
            orders.onReply(reply);
        }
    }

    /** True while this node knows of no newer view, decided or promised. */
    private boolean confirms(long epoch) {
        return replica.view() != null && replica.epoch() == epoch && !acceptor.fenced() && !replica.blank();
    }

    // ---- views

    private void learn(View view) {
        if (view == null || replica.view() != null && view.epoch() <= replica.epoch()) {
            return;
        }
        replica.view(view);
        if (replica.blank()) {
            // a node without memory must not act in any view before it has relearned
            return;
        }
        acceptor.settled(view);
        proposer.startView();
        monitor.startView();
        replica.emit(new Out.Viewed(view));
        replication.startView();
        orders.startView();
    }

    private void onRelearned(NodeId from, Relearned relearned) {
        if (!replica.blank() || relearned.view() == null) {
            learn(relearned.view());
        } else if (relearning.onRelearned(from, relearned, acceptor)) {
            replica.blank(false);
            replica.emit(new Out.Viewed(replica.view()));
            replication.reset();
        }
    }
}
