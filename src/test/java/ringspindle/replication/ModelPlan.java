package ringspindle.replication;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * All that a random walk depends on: seed, sizes and faults. The faults never take more than {@code lost} nodes at once; a
 * node counts from the beginning of its fault until four seconds after its end, a removed one until four seconds after its
 * successor started. Faults that hit all nodes begin and end with nobody lost, and empty at most {@code lost} disks.
 */
record ModelPlan(long seed, int size, int lost, long lengthMs, List<ModelFault> faults) {
    private static final long FIRST_FAULT_MS = 3000;
    private static final long RECOVERY_MS = 4000;
    private static final int SPARE_NODES = 3;
    private static final int NOISE_STREAM = 900;

    /** Which faults are drawn. */
    enum Mix {
        /** Processes, disks and links; what is sent over a cut link is lost. */
        LOSSES,
        /** The same; what is sent over a cut link may arrive when the cut heals, and operators may give up early. */
        HELD,
        /** Any number of processes and links at once, but no lost disk: nothing may break, though nothing need go on. */
        STORM,
        /** Losses, and nodes that join, go and are replaced. */
        MEMBERS,
        /** All of these, and messages that are dropped, held up or delivered twice. */
        ALL;

        boolean changesMembers() {
            return this == MEMBERS || this == ALL;
        }

        boolean holds() {
            return this == HELD || this == ALL;
        }
    }

    /** {@code ModelPlan.random(7, 3, 1, 60_000, Mix.ALL)}. */
    static ModelPlan random(long seed, int size, int lost, long lengthMs, Mix mix) {
        Drawer drawer = new Drawer(new ModelRandom(seed, NOISE_STREAM), size, lost, mix);
        return new ModelPlan(seed, size, lost, lengthMs, drawer.draw(lengthMs));
    }

    ModelPlan with(List<ModelFault> fewer) {
        return new ModelPlan(seed, size, lost, lengthMs, List.copyOf(fewer));
    }

    /** {@code ModelPlan.read("seed 7 size 3 lost 1 length 60000: 3000 KILL 1 0 800 0; 9000 WIPE 2 0 500 0")}. */
    static ModelPlan read(String text) {
        String[] part = text.split(":", 2);
        String[] head = part[0].trim().split(" +");
        List<ModelFault> faults = new ArrayList<>();
        for (String fault : part[1].split(";")) {
            if (!fault.isBlank()) {
                faults.add(ModelFault.read(fault));
            }
        }
        return new ModelPlan(
                Long.parseLong(head[1]),
                Integer.parseInt(head[3]),
                Integer.parseInt(head[5]),
                Long.parseLong(head[7]),
                faults);
    }

    /** True if every node that is removed for good had a spare one that joined before. */
    boolean sparesItsLosses() {
        int spare = 0;
        for (ModelFault fault : faults) {
            spare += fault.kind() == ModelFault.Kind.JOIN ? 1 : 0;
            spare -= fault.kind() == ModelFault.Kind.REMOVE ? 1 : 0;
            if (spare < 0) {
                return false;
            }
        }
        return true;
    }

    @Override
    public String toString() {
        StringBuilder text =
                new StringBuilder("seed " + seed + " size " + size + " lost " + lost + " length " + lengthMs + ":");
        for (int i = 0; i < faults.size(); i++) {
            text.append(i == 0 ? " " : "; ").append(faults.get(i));
        }
        return text.toString();
    }

    /** Draws faults one after another and leaves out those that would take too many nodes. */
    private static final class Drawer {
        private final ModelRandom random;
        private final int size;
        private final int lost;
        private final Mix mix;
        private final List<ModelFault> faults = new ArrayList<>();
        /** Until when each node counts as lost; nodes that are gone for good are not in it. */
        private final Map<Integer, Long> lostUntilMs = new TreeMap<>();

        private long goneUntilMs;
        private int nextSlot;

        Drawer(ModelRandom random, int size, int lost, Mix mix) {
            this.random = random;
            this.size = size;
            this.lost = lost;
            this.mix = mix;
            for (nextSlot = 0; nextSlot < size; nextSlot++) {
                lostUntilMs.put(nextSlot, 0L);
            }
        }

        List<ModelFault> draw(long lengthMs) {
            long atMs = FIRST_FAULT_MS;
            while (atMs < lengthMs - RECOVERY_MS) {
                drawOne(atMs);
                atMs += 100 + random.below(mix == Mix.STORM ? 900 : 2500);
            }
            drawClosing(lengthMs);
            faults.sort(Comparator.comparingLong(ModelFault::atMs));
            return List.copyOf(faults);
        }

        /** As many as may be lost stay lost while the others have to go on. */
        private void drawClosing(long atMs) {
            ModelFault.Kind[] lasting = {
                ModelFault.Kind.KILL, ModelFault.Kind.FREEZE, ModelFault.Kind.CUT, ModelFault.Kind.CUT_OUT
            };
            for (int i = 0; i < lost && mix != Mix.STORM; i++) {
                int slot = anySlot();
                if (mayLose(slot, atMs)) {
                    add(atMs, lasting[random.below(lasting.length)], slot, 0, ModelWalk.CLOSING_FAULT_MS, 0);
                }
            }
        }

        private void drawOne(long atMs) {
            ModelFault.Kind[] kinds = ModelFault.Kind.values();
            ModelFault.Kind kind = kinds[random.below(kinds.length)];
            long forMs = 200L + random.below(random.oneIn(4) ? 6000 : 1800);
            int slot = anySlot();
            int other = anySlot();
            switch (kind) {
                case NOISE:
                    if (mix == Mix.ALL) {
                        faults.add(new ModelFault(atMs, kind, 0, 0, forMs, 3 + random.below(30)));
                    }
                    break;
                case IMPATIENT:
                    if (mix.holds()) {
                        faults.add(new ModelFault(atMs, kind, 0, 0, forMs, 0));
                    }
                    break;
                case VOTE_CRASH:
                    if (mix == Mix.STORM) {
                        faults.add(new ModelFault(atMs, kind, 0, 0, 2000 + forMs, 0));
                    }
                    break;
                case JOIN:
                    if (mix.changesMembers() && lostUntilMs.size() < size + SPARE_NODES) {
                        faults.add(new ModelFault(atMs, kind, nextSlot, 0, 0, 0));
                        lostUntilMs.put(nextSlot++, atMs + RECOVERY_MS);
                    }
                    break;
                case REMOVE:
                    if (mix.changesMembers() && lostUntilMs.size() > size && mayLose(slot, atMs)) {
                        faults.add(new ModelFault(atMs, kind, slot, 0, 0, 0));
                        lostUntilMs.remove(slot);
                        goneUntilMs = atMs + RECOVERY_MS;
                    }
                    break;
                case REPLACE:
                case LOSE_AND_REPLACE:
                    drawReplacement(atMs, kind, slot);
                    break;
                case KILL_ALL:
                case POWER_ALL:
                case WIPE_ACKED:
                    drawOnAll(atMs, kind, forMs);
                    break;
                case CUT_HELD:
                    if (mix.holds() && mayLose(slot, atMs)) {
                        add(atMs, kind, slot, 0, forMs, 0);
                    }
                    break;
                case LINK:
                    if (slot != other && mayLose(slot, atMs)) {
                        add(atMs, kind, slot, other, forMs, mix.holds() ? random.below(2) : 0);
                    }
                    break;
                default:
                    if (mayLose(slot, atMs) && mayWipe(kind)) {
                        add(atMs, kind, slot, 0, forMs, random.below(16));
                    }
                    break;
            }
        }

        private void drawReplacement(long atMs, ModelFault.Kind kind, int slot) {
            if (mix.changesMembers() && mayLose(slot, atMs)) {
                faults.add(new ModelFault(atMs, kind, slot, nextSlot, 0, 0));
                lostUntilMs.remove(slot);
                long changeMs =
                        kind == ModelFault.Kind.REPLACE ? ModelWalk.REPLACEMENT_ENDS_MS : ModelWalk.SUCCESSOR_MS;
                long untilMs = atMs + changeMs + RECOVERY_MS;
                goneUntilMs = untilMs;
                lostUntilMs.put(nextSlot++, untilMs);
            }
        }

        private void drawOnAll(long atMs, ModelFault.Kind kind, long forMs) {
            if (lostAt(atMs) > 0 || mix == Mix.STORM) {
                return;
            }
            int wiped = 0;
            if (kind == ModelFault.Kind.WIPE_ACKED) {
                List<Integer> slots = new ArrayList<>(lostUntilMs.keySet());
                for (int i = 0; i < lost; i++) {
                    wiped |= 1 << slots.remove(random.below(slots.size()));
                }
            }
            faults.add(new ModelFault(
                    atMs,
                    kind,
                    0,
                    random.below(2),
                    forMs,
                    kind == ModelFault.Kind.POWER_ALL ? random.below(16) : wiped));
            long untilMs =
                    atMs + forMs + RECOVERY_MS + (kind == ModelFault.Kind.WIPE_ACKED ? ModelWalk.WAIT_FOR_ACK_MS : 0);
            lostUntilMs.replaceAll((s, old) -> untilMs);
        }

        private void add(long atMs, ModelFault.Kind kind, int slot, int other, long forMs, int detail) {
            faults.add(new ModelFault(atMs, kind, slot, other, forMs, detail));
            lostUntilMs.put(slot, atMs + forMs + (mix == Mix.STORM ? 0 : RECOVERY_MS));
        }

        private int anySlot() {
            List<Integer> slots = new ArrayList<>(lostUntilMs.keySet());
            return slots.get(random.below(slots.size()));
        }

        private int lostAt(long atMs) {
            int count = goneUntilMs > atMs ? 1 : 0;
            for (long untilMs : lostUntilMs.values()) {
                count += untilMs > atMs ? 1 : 0;
            }
            return count;
        }

        private boolean mayWipe(ModelFault.Kind kind) {
            return mix != Mix.STORM || kind != ModelFault.Kind.WIPE;
        }

        private boolean mayLose(int slot, long atMs) {
            return lostUntilMs.get(slot) <= atMs && (mix == Mix.STORM || lostAt(atMs) < lost);
        }
    }
}
