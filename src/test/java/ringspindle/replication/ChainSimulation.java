package ringspindle.replication;

import java.util.List;
import java.util.Set;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.NodeId;

/** A simulated core over the real chain machines: delays, cuts, freezes, power loss, lost disks. All from one seed. */
final class ChainSimulation {
    private final String name;
    private final SimulationHistory history = new SimulationHistory();
    private final SimulatedCluster cluster;
    private final SimulatedFaults faults;
    private final SimulatedOperators operators;

    ChainSimulation(long seed, int size) {
        this(seed, size, size, 1);
    }

    /** Of {@code size} nodes the first {@code known} are seeds, the others join; {@code lost} may lose their disks at once. */
    ChainSimulation(long seed, int size, int known, int lost) {
        name = seed + " " + size + " of which seeds " + known + " lost at once " + lost;
        cluster = new SimulatedCluster(seed, size, known, lost, history);
        faults = new SimulatedFaults(cluster);
        operators = new SimulatedOperators(cluster, history);
    }

    /** What it takes to run this simulation again. */
    String name() {
        return name;
    }

    // ---- what is to happen

    /** Something to be done at a given time of the run. */
    void script(long atMs, Runnable step) {
        cluster.in(atMs, step);
    }

    /** Something to be done, once, in the moment in which the first configuration after that time is acknowledged. */
    void scriptOnAcknowledgement(long afterMs, Runnable step) {
        cluster.in(afterMs, () -> operators.onNextAcknowledgement(step));
    }

    /** Runs that many faults over that time, then waits until all is calm and reads back. */
    SimulationHistory run(int faultCount, long forMs) {
        cluster.startTicking();
        operators.start();
        for (int i = 0; i < faultCount; i++) {
            long atMs = 2000 + (long) (cluster.random.nextDouble() * forMs);
            cluster.in(atMs, this::fault);
        }
        cluster.until(forMs + 3000);
        operators.stop();
        cluster.healAll();
        goOn(6000);
        operators.readBack();
        goOn(4000);
        return history;
    }

    private void fault() {
        if (operators.active()) {
            faults.any();
        }
    }

    void goOn(long forMs) {
        cluster.until(cluster.nowMs() + forMs);
    }

    void replacePlanned(int index) {
        faults.replacePlanned(cluster.nodes.get(index));
    }

    void replaceLost(int index) {
        faults.replaceLost(cluster.nodes.get(index));
    }

    void freezeAndJoin(int index, long forMs) {
        faults.freezeAndJoin(cluster.nodes.get(index), forMs);
    }

    void loseForGood(NodeId id) {
        cluster.removeForGood(cluster.node(id));
    }

    void loseDisk(int index, long forMs) {
        cluster.crash(cluster.nodes.get(index), true, forMs);
    }

    void losePower(int index, long forMs) {
        cluster.crash(cluster.nodes.get(index), false, forMs);
    }

    /** As a closing fault does it: some lose their disks, all others their power. */
    void loseDisksAndPower(Set<Integer> indexes) {
        for (int i = 0; i < cluster.nodes.size(); i++) {
            cluster.crash(cluster.nodes.get(i), indexes.contains(i), 500 + cluster.random.nextInt(900));
        }
    }

    void leaveHead() {
        cluster.node(newestView().head()).leaving = true;
    }

    // ---- what is checked

    /** Notes it as a problem if another number of nodes votes now. */
    void checkVoters(int expected) {
        if (voters() != expected) {
            history.wrong.add(voters() + " vote at " + cluster.nowMs() + ", expected " + expected);
        }
    }

    long acknowledgedAfter(long atMs) {
        return history.acked.stream().filter(order -> order.atMs() >= atMs).count();
    }

    private View newestView() {
        return cluster.newestView().orElseThrow();
    }

    long epoch() {
        return newestView().epoch();
    }

    /** True if a member of the newest view's chain says that it ends. */
    boolean headLeaves() {
        return newestView().chain().stream().anyMatch(id -> cluster.node(id).leaving);
    }

    List<NodeId> votersOfNewest() {
        return newestView().voters();
    }

    /** Voters of the newest view, 0 if no node knows any. */
    int voters() {
        return cluster.newestView().map(view -> view.voters().size()).orElse(0);
    }

    List<NodeId> running() {
        return cluster.nodes.stream().map(node -> node.id).sorted().toList();
    }

    /** Where every node stands, for whoever reads a failure. */
    String standing() {
        return cluster.standing();
    }
}
