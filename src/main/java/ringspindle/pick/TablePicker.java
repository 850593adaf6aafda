package ringspindle.pick;

import com.google.common.hash.*;
import it.unimi.dsi.fastutil.objects.*;
import java.util.*;
import ringspindle.act.*;
import ringspindle.api.*;
import ringspindle.conf.*;
import ringspindle.wire.*;
import ringspindle.wire.Msg.*;

import static java.nio.charset.StandardCharsets.*;

/** Engines in a table, judged at each choice. */
final class TablePicker implements Picker {
    /** Ours: what a prompt token costs before anything was learned, in ms. */
    private static final double TOKEN_MS = 0.02;
    /** Ours: what one more running request costs the next one. */
    private static final double SLOT_MS = 4;
    /** Ours: way there and back in the zone, in the region, elsewhere. */
    private static final double[] WAY_MS = {0.5, 3, 30};
    private static final int SILENT_MS = 900;
    private static final int PROBE_MS = 400;
    private static final int PROBE_MAX_MS = 2000;
    private static final double KEEP = 0.8;
    private static final int MIN_NODES = 4;

    private static final class Row {
        String id;
        Engine said;
        NodeId address;
        String region;
        long version;
        long seenMs;
        boolean leaving;
        long coldUntilMs;
        int running;
        double tokens;
        long waitingSinceMs = -1;
        int failures;
        boolean suspect;
        long probeAtMs;
        long probeGapMs;
        double wayMs = -1;
        double coldTokens;
        long coldAtMs;
        long hash;
    }

    /** Requests and further tries of a service in seconds of steady time. */
    private static final class Budget {
        static final int SECONDS = 32;
        final int[] asked = new int[SECONDS];
        final int[] tries = new int[SECONDS];
        long second = Long.MIN_VALUE;

        void move(long nowMs) {
            long s = nowMs / 1000;
            if (second == Long.MIN_VALUE || s - second >= SECONDS) {
                Arrays.fill(asked, 0);
                Arrays.fill(tries, 0);
            } else {
                for (long i = second + 1; i <= s; i++) {
                    asked[(int) (i % SECONDS)] = 0;
                    tries[(int) (i % SECONDS)] = 0;
                }
            }
            second = Math.max(second, s);
        }

        int sum(int[] of, int windowS) {
            int n = 0;
            for (int i = 0; i < windowS; i++) {
                n += of[(int) ((second - i + SECONDS * 1000L) % SECONDS)];
            }
            return n;
        }
    }

    private final NodeConfig node;
    private final Map<String, Row> rows = new Object2ObjectOpenHashMap<>();
    private final Set<String> gone = new LinkedHashSet<>();
    private final Set<String> leavingIds = new HashSet<>();
    private final Set<String> evacuated = new HashSet<>();
    private final Map<String, Budget> budgets = new HashMap<>();
    private final Map<String, Long> zoneColdUntilMs = new HashMap<>();
    private final Map<String, Set<String>> turns = new HashMap<>();
    private FleetConfig config;
    private Licence licence;
    private long licenceUntilMs;
    private int mostNodes;
    private double tokenMs = TOKEN_MS;
    private long newestMs;

    TablePicker(NodeConfig node) {
        this.node = node;
    }

    @Override
    public synchronized void config(FleetConfig c) {
        config = c;
    }

    @Override
    public synchronized void engine(String id, Engine e, long version, long nowMs) {
        newestMs = nowMs;
        if (gone.contains(id)) {
            return;
        }
        Row r = rows.get(id);
        if (r == null) {
            r = new Row();
            r.id = id;
            r.hash = Hashing.murmur3_128().hashString(id, UTF_8).asLong();
            r.coldAtMs = nowMs;
            rows.put(id, r);
            r.leaving = leavingIds.contains(id);
        } else if (version <= r.version) {
            return;
        }
        r.said = e;
        r.address = NodeId.of(e.address());
        r.region = node.regionOf(e.zone());
        r.version = version;
        r.seenMs = nowMs;
        r.leaving |= e.draining();
        if (e.coldMs() > 0) {
            cold(r, nowMs + e.coldMs() + 300, nowMs);
        }
        Long zoneCold = zoneColdUntilMs.get(e.zone());
        if (zoneCold != null && zoneCold > nowMs) {
            cold(r, zoneCold, nowMs);
        }
    }

    private static void cold(Row r, long untilMs, long nowMs) {
        if (r.coldUntilMs <= nowMs) {
            r.coldTokens = 0;
            r.coldAtMs = nowMs;
        }
        r.coldUntilMs = Math.max(r.coldUntilMs, untilMs);
    }

    @Override
    public synchronized void leaving(String id, boolean isGone, long nowMs) {
        leavingIds.add(id);
        Row r = rows.get(id);
        if (r != null) {
            r.leaving = true;
            if (isGone && r.running == 0) {
                rows.remove(id);
            }
        }
        if (isGone && gone.add(id) && gone.size() > 1000) {
            gone.remove(gone.iterator().next());
        }
    }

    @Override
    public synchronized void evacuated(String zone, boolean on, long nowMs) {
        if (on) {
            evacuated.add(zone);
        } else if (evacuated.remove(zone)) {
            double coldS = 0;
            if (config != null) {
                for (FleetConfig.Service s : config.services()) {
                    coldS = Math.max(coldS, s.warmupS());
                }
            }
            long untilMs = nowMs + (long) (coldS * 1000) + 1000;
            zoneColdUntilMs.put(zone, untilMs);
            for (Row r : rows.values()) {
                if (r.said.zone().equals(zone)) {
                    cold(r, untilMs, nowMs);
                }
            }
        }
    }

    @Override
    public synchronized void licence(Licence l, long nowMs) {
        licence = l;
        licenceUntilMs = nowMs + l.ttlMs();
        mostNodes = Math.max(mostNodes, l.nodes());
    }

    @Override
    public synchronized void turn(String service, Set<String> ids, long nowMs) {
        Set<String> before = turns.getOrDefault(service, Set.of());
        FleetConfig.Service s = config == null ? null : config.service(service);
        for (String id : before) {
            Row r = rows.get(id);
            if (!ids.contains(id) && r != null) {
                cold(r, nowMs + (s == null ? 0 : (long) (s.warmupS() * 1000)) + 1000, nowMs);
            }
        }
        if (ids.isEmpty()) {
            turns.remove(service);
        } else {
            turns.put(service, Set.copyOf(ids));
        }
    }

    /** How many nodes share a budget, as far as is known; without a licence, more than were ever seen. */
    private int sharers(long nowMs) {
        return nowMs < licenceUntilMs ? Math.max(MIN_NODES, Math.max(licence.nodes(), mostNodes)) : Math.max(24, mostNodes * 2);
    }

    @Override
    public synchronized Choice choose(Ask ask, long nowMs) {
        FleetConfig.Service service = config == null ? null : config.service(ask.service());
        Row best = null;
        double bestCost = Double.MAX_VALUE;
        boolean any = false;
        boolean coldOnly = false;
        boolean anyFresh = false;
        List<Row> fit = new ArrayList<>(rows.size());
        Set<String> inTurn = turns.getOrDefault(ask.service(), Set.of());
        for (Row r : rows.values()) {
            if (!r.said.service().equals(ask.service()) || r.leaving || evacuated.contains(r.said.zone())
                    || !ask.homes().isEmpty() && !ask.homes().contains(r.region) || ask.tried().contains(r.id)
                    || inTurn.contains(r.id)) {
                continue;
            }
            if (ask.weights() >= 0 && r.said.weights() >= 0 && r.said.weights() != ask.weights()) {
                continue;
            }
            judge(r, nowMs);
            any = true;
            if (!r.suspect) {
                fit.add(r);
                anyFresh |= fresh(r, nowMs);
            }
        }
        Row home = null;
        if (ask.affinity() != 0) {
            // the prompt's head lives where the rendezvous hash says, unless that engine has far more than its share
            double mean = 0;
            for (Row r : fit) {
                mean += r.tokens;
            }
            mean = fit.isEmpty() ? 0 : mean / fit.size();
            List<Row> ranked = new ArrayList<>(fit);
            ranked.sort(Comparator.comparingLong((Row r) -> mix(r.hash ^ ask.affinity())));
            for (Row r : ranked) {
                if (r.tokens + ask.tokens() <= 1.5 * mean + 60_000 && (fresh(r, nowMs) || !anyFresh)) {
                    home = r;
                    break;
                }
            }
        }
        for (Row r : fit) {
            if (anyFresh && !fresh(r, nowMs)) {
                continue;
            }
            if (r.coldUntilMs > nowMs && !coldRoom(r, service, nowMs)) {
                coldOnly = true;
                continue;
            }
            double read = ask.tokens() + (r == home || home == null ? 0 : ask.sharedTokens());
            double cost = way(r) + read * tokenMs + r.running * SLOT_MS + r.tokens * tokenMs * 0.3
                    + (mix(ask.luck() ^ r.hash) >>> 54) * 0.002;
            if (r.coldUntilMs > nowMs) {
                cost += 30;
            }
            if (cost < bestCost) {
                bestCost = cost;
                best = r;
            }
        }
        if (best == null) {
            return new NoneNow(any ? Outcome.NO_ROOM : Outcome.NO_ENGINE, coldOnly ? 250 : any ? 600 : 900);
        }
        if (best.coldUntilMs > nowMs) {
            best.coldTokens -= 1;
        }
        best.running++;
        best.tokens += weight(ask);
        int wires = service == null ? 16 : Math.max(2, (int) (service.maxConnections() * 0.9 / Math.max(MIN_NODES, mostNodes)));
        return new Chosen(best.id, best.address, best.said.zone(), wires);
    }

    private static double weight(Ask ask) {
        return ask.tokens() + ask.outTokens();
    }

    private boolean fresh(Row r, long nowMs) {
        return newestMs - r.seenMs < 3.2 * node.engineBeatMs();
    }

    private double way(Row r) {
        if (r.said.zone().equals(node.zone())) {
            return WAY_MS[0];
        }
        return r.region.equals(node.region()) ? WAY_MS[1] : WAY_MS[2];
    }

    /** This node's share of what a cold engine bears. */
    private boolean coldRoom(Row r, FleetConfig.Service s, long nowMs) {
        double perS = s == null ? 1 : s.warmupPerS();
        if (perS <= 0) {
            return true;
        }
        int nodes = sharers(nowMs);
        double share = 0.9 * perS / nodes;
        double burst = Math.max(1, 0.8 * (perS * (node.warmupOverrun() - 0.9) + node.warmupSlack()) / nodes);
        r.coldTokens = Math.min(burst, r.coldTokens + share * Math.max(0, nowMs - r.coldAtMs) / 1000);
        r.coldAtMs = nowMs;
        return r.coldTokens >= 1;
    }

    /** Silence while something waits makes an engine suspect. */
    private void judge(Row r, long nowMs) {
        if (!r.suspect && r.running > 0 && r.waitingSinceMs >= 0
                && nowMs - r.waitingSinceMs > SILENT_MS + r.tokens * tokenMs * 2) {
            suspect(r, nowMs);
        }
    }

    private static void suspect(Row r, long nowMs) {
        if (!r.suspect) {
            r.suspect = true;
            r.probeGapMs = PROBE_MS;
            r.probeAtMs = nowMs;
        }
    }

    private static long mix(long z) {
        z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return (z ^ z >>> 31) & Long.MAX_VALUE;
    }

    @Override
    public synchronized void sent(String id, long nowMs) {
        Row r = rows.get(id);
        if (r != null && r.waitingSinceMs < 0) {
            r.waitingSinceMs = nowMs;
        }
    }

    @Override
    public synchronized void heard(String id, long nowMs) {
        Row r = rows.get(id);
        if (r != null) {
            r.waitingSinceMs = nowMs;
            r.failures = 0;
        }
    }

    @Override
    public synchronized void ended(String id, Ask ask, Action.End end, long firstMs, long nowMs) {
        Row r = rows.get(id);
        if (r == null) {
            return;
        }
        r.running = Math.max(0, r.running - 1);
        r.tokens = r.running == 0 ? 0 : Math.max(0, r.tokens - weight(ask));
        if (r.running == 0) {
            r.waitingSinceMs = -1;
        }
        if (gone.contains(id) && r.running == 0) {
            rows.remove(id);
            return;
        }
        if (end == Action.End.MISDIRECTED) {
            // another engine has the address, so that one is gone
            r.leaving = true;
        } else if (end == Action.End.NOT_SENT || end == Action.End.ATTEMPT_TIMEOUT) {
            suspect(r, nowMs);
        } else if (end.againstEngine()) {
            if (++r.failures >= 3) {
                suspect(r, nowMs);
            }
        } else if (end == Action.End.ANSWERED) {
            r.failures = 0;
            if (firstMs >= 0 && ask.tokens() > 4000) {
                double seen = Math.max(0.002, Math.min(0.2, (firstMs - way(r)) / ask.tokens()));
                tokenMs += (seen - tokenMs) * 0.05;
            }
        }
    }

    @Override
    public synchronized void asked(String service, long nowMs) {
        Budget b = budgets.computeIfAbsent(service, k -> new Budget());
        b.move(nowMs);
        b.asked[(int) (b.second % Budget.SECONDS)]++;
    }

    @Override
    public synchronized boolean takeRetry(String service, long nowMs) {
        Budget b = budgets.computeIfAbsent(service, k -> new Budget());
        b.move(nowMs);
        int windowS = (int) Math.ceil(node.retryWindowS());
        double slack = nowMs < licenceUntilMs ? KEEP * node.retrySlack() / sharers(nowMs) : 0;
        double earned = KEEP * node.retryRatio() * b.sum(b.asked, windowS);
        // one second more, as the seconds here are not the windows of whoever counts
        if (b.sum(b.tries, windowS + 1) + 1 > earned + slack) {
            return false;
        }
        b.tries[(int) (b.second % Budget.SECONDS)]++;
        return true;
    }

    @Override
    public synchronized List<Probe> probes(long nowMs) {
        List<Probe> out = null;
        for (Row r : rows.values()) {
            judge(r, nowMs);
            if (r.suspect && nowMs >= r.probeAtMs && !r.leaving) {
                r.probeAtMs = nowMs + r.probeGapMs;
                r.probeGapMs = Math.min(PROBE_MAX_MS, r.probeGapMs * 3 / 2);
                if (!fresh(r, nowMs) || evacuated.contains(r.said.zone())) {
                    continue;
                }
                FleetConfig.Service s = config == null ? null : config.service(r.said.service());
                out = out == null ? new ArrayList<>() : out;
                out.add(new Probe(r.id, r.address, s == null ? "/health" : s.healthPath()));
            }
        }
        rows.values().removeIf(r -> r.running == 0 && newestMs - r.seenMs > 20L * node.engineBeatMs());
        return out == null ? List.of() : out;
    }

    @Override
    public synchronized void probed(String id, boolean well, int coldMs, long nowMs) {
        Row r = rows.get(id);
        if (r == null) {
            return;
        }
        if (coldMs > 0) {
            cold(r, nowMs + coldMs + 300, nowMs);
        }
        if (well) {
            r.suspect = false;
            r.failures = 0;
            r.waitingSinceMs = r.running > 0 ? nowMs : -1;
        }
    }

    @Override
    public synchronized Set<String> known() {
        return new HashSet<>(rows.keySet());
    }
}
