package ringspindle.loadbalancing;

import it.unimi.dsi.fastutil.longs.Long2ObjectMap;
import it.unimi.dsi.fastutil.longs.Long2ObjectOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import ringspindle.api.Outcome;
import ringspindle.config.FleetConfig;
import ringspindle.config.NodeConfig;
import ringspindle.protocol.Message.Engine;
import ringspindle.protocol.Message.EngineLoad;
import ringspindle.protocol.Message.Lease;
import ringspindle.protocol.Message.Load;
import ringspindle.protocol.Message.RegionLoad;
import ringspindle.protocol.NodeId;
import ringspindle.retry.AttemptOutcome;
import ringspindle.routing.FallbackTarget;
import ringspindle.telemetry.AttemptCounts;
import ringspindle.telemetry.LoadSummary;
import ringspindle.telemetry.RequestKind;

/** Engines in a table, judged at each choice. */
final class EngineTableLoadBalancer implements LoadBalancer {
    /** Ours: what a prompt token costs before anything was learned, in ms. */
    private static final double TOKEN_MS = 0.02;
    /** Ours: what one more running request costs the next one. */
    private static final double SLOT_MS = 4;
    /** Ours: way there and back in the zone, in the region, elsewhere. */
    private static final double[] WAY_MS = {0.5, 3, 30};
    /** Ours: of what a cold engine bears, how much is given out in turns, and how long a turn is open. */
    private static final double COLD_SHARE = 0.6;

    private static final int COLD_OPEN_MS = 500;
    private static final int SILENT_MS = 900;
    private static final int PROBE_MS = 400;
    private static final int PROBE_MAX_MS = 2000;
    private static final double KEEP = 0.8;
    private static final int MIN_NODES = 4;
    /** Ours: so many tokens more than the mean are no unevenness yet. */
    private static final int UNEVEN_TOKENS = 60_000;
    /** Ours: how long sums count; after that a node goes on with what it sees itself. */
    private static final int LOAD_MS = 2500;
    /** Ours: for so long an answer from a region shows that it can be reached, whatever control nodes hear of it. */
    private static final int DARK_MS = 700;
    /** Ours: what others run costs less than what runs here, as it is known late. */
    private static final double OTHERS = 0.25;
    /** Ours: an engine that fails more than this of its requests, and more than others do, gets little. */
    private static final double ILL = 0.2;

    private static final int ILL_LEAST = 3;
    private static final int POOR_MS = 1500;
    private static final int POOR_MAX_MS = 8000;
    private static final int FLAP_MS = 15_000;
    /** Ours: an engine that does poorly still gets a sixteenth of its share, so that it can show that it is well. */
    private static final int TRICKLE = 15;

    private static final class Row {
        String id;
        Engine said;
        NodeId address;
        String region;
        long version;
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
        long coldTurn = Long.MIN_VALUE;
        long hash;
        final AttemptWindow window = new AttemptWindow();
        Place place;
        boolean silent;
        long silentMs;
        int othersRunning;
        long othersTokens;
        int reportedRunning;
        long reportedTokens;
        long loadMs = Long.MIN_VALUE / 2;
        long poorUntilMs = Long.MIN_VALUE / 2;
        long poorSinceMs = Long.MIN_VALUE / 2;
        int flaps;

        int runningNow(long nowMs) {
            return running + (nowMs - loadMs < LOAD_MS ? othersRunning : 0);
        }

        double tokensNow(long nowMs) {
            return tokens + (nowMs - loadMs < LOAD_MS ? othersTokens : 0);
        }
    }

    /** A region as this node knows it: whether control nodes there are heard of, and whether engines there answer here. */
    private static final class Place {
        boolean listed;
        boolean dark;
        long heardMs = Long.MIN_VALUE / 2;
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

    private NodeConfig node;
    private final Map<String, Row> rows = new Object2ObjectOpenHashMap<>();
    private final Long2ObjectMap<Row> byKey = new Long2ObjectOpenHashMap<>();
    private final Set<String> silentIds = new HashSet<>();
    private final Map<String, Place> places = new HashMap<>();
    private final Set<String> gone = new LinkedHashSet<>();
    private final Set<String> leavingIds = new HashSet<>();
    private final Set<String> evacuated = new HashSet<>();
    private final Map<String, Budget> budgets = new HashMap<>();
    private final Map<String, Long> zoneColdUntilMs = new HashMap<>();
    private final Map<String, Set<String>> turns = new HashMap<>();
    private FleetConfig config;
    private Lease lease;
    private long leaseUntilMs;
    private int mostNodes;
    private double tokenMs = TOKEN_MS;

    EngineTableLoadBalancer(NodeConfig node) {
        this.node = node;
    }

    @Override
    public synchronized void updateConfiguration(FleetConfig c) {
        config = c;
    }

    @Override
    public synchronized void updateSettings(NodeConfig c) {
        node = c;
    }

    @Override
    public synchronized void updateEngine(String id, Engine e, long version, long nowMs) {
        if (gone.contains(id)) {
            return;
        }
        Row r = rows.get(id);
        if (r == null) {
            r = new Row();
            r.id = id;
            r.hash = LoadSummary.key(id);
            r.coldAtMs = nowMs;
            rows.put(id, r);
            byKey.put(r.hash, r);
            r.leaving = leavingIds.contains(id);
            r.silent = silentIds.contains(id);
            r.silentMs = nowMs;
        } else if (version <= r.version) {
            return;
        }
        r.said = e;
        r.address = NodeId.of(e.address());
        r.region = node.regionOf(e.zone());
        r.place = places.computeIfAbsent(r.region, k -> new Place());
        r.version = version;
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
    public synchronized void markDraining(String id, boolean isGone, long nowMs) {
        leavingIds.add(id);
        Row r = rows.get(id);
        if (r != null) {
            r.leaving = true;
            if (isGone && r.running == 0) {
                remove(r);
            }
        }
        if (isGone && gone.add(id) && gone.size() > 1000) {
            gone.remove(gone.iterator().next());
        }
    }

    private void remove(Row r) {
        rows.remove(r.id);
        byKey.remove(r.hash);
    }

    @Override
    public synchronized void setZoneEvacuated(String zone, boolean on, long nowMs) {
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
    public synchronized void setHeartbeatMissing(String id, boolean on, long nowMs) {
        if (on) {
            silentIds.add(id);
        } else {
            silentIds.remove(id);
        }
        Row r = rows.get(id);
        if (r != null && r.silent != on) {
            r.silent = on;
            r.silentMs = nowMs;
        }
    }

    @Override
    public synchronized void updateLease(Lease l, long nowMs) {
        lease = l;
        leaseUntilMs = nowMs + l.ttlMs();
        mostNodes = Math.max(mostNodes, l.nodes());
    }

    @Override
    public synchronized LoadSummary summarizeLoad(long nowMs) {
        List<LoadSummary> seen = new ArrayList<>();
        for (Row r : rows.values()) {
            r.reportedRunning = r.running;
            r.reportedTokens = (long) r.tokens;
            for (RequestKind k : RequestKind.values()) {
                AttemptCounts t = r.window.tally(k, nowMs);
                if (!t.empty()) {
                    seen.add(LoadSummary.of(r.hash, k, t));
                }
            }
        }
        return LoadSummary.all(seen);
    }

    @Override
    public synchronized void updateRegionLoad(Load l, long nowMs) {
        Map<String, int[]> all = new HashMap<>();
        for (EngineLoad e : l.engines()) {
            Row r = byKey.get(e.engine());
            if (r != null) {
                r.othersRunning = Math.max(0, e.running() - r.reportedRunning);
                r.othersTokens = Math.max(0, e.tokens() - r.reportedTokens);
                r.loadMs = nowMs;
                int[] of = all.computeIfAbsent(r.said.service(), k -> new int[2]);
                of[0] += e.answered();
                of[1] += e.failed();
            }
        }
        for (EngineLoad e : l.engines()) {
            Row r = byKey.get(e.engine());
            if (r != null) {
                int[] of = all.get(r.said.service());
                weigh(r, e.answered(), e.failed(), of[0] - e.answered(), of[1] - e.failed(), nowMs);
            }
        }
        Set<String> listed = new HashSet<>();
        l.regions().forEach(g -> listed.add(g.region()));
        places.forEach((region, p) -> {
            // a region of which nothing is heard any more, neither by control nodes nor here
            boolean here = listed.contains(region) || region.equals(node.region());
            p.dark = !here && p.listed && nowMs - p.heardMs > DARK_MS;
            p.listed |= here;
        });
        for (RegionLoad g : l.regions()) {
            if (g.region().equals(node.region()) || g.engines() == 0) {
                continue;
            }
            for (Row r : rows.values()) {
                if (r.region.equals(g.region()) && r.said.service().equals(g.service())) {
                    r.othersRunning = g.running() / g.engines();
                    r.othersTokens = 0;
                    r.loadMs = nowMs;
                }
            }
        }
    }

    /** Failures beyond what the others show make an engine one that does poorly, the longer the more often it comes back. */
    private static void weigh(Row r, int answered, int failed, int othersAnswered, int othersFailed, long nowMs) {
        int n = answered + failed;
        double mean = othersFailed / Math.max(1.0, othersAnswered + othersFailed);
        if (failed < ILL_LEAST || failed <= n * (ILL + 1.5 * mean)) {
            return;
        }
        if (nowMs >= r.poorUntilMs) {
            r.flaps = nowMs - r.poorSinceMs < FLAP_MS ? Math.min(3, r.flaps + 1) : 0;
            r.poorSinceMs = nowMs;
            r.poorUntilMs = nowMs + Math.min(POOR_MAX_MS, POOR_MS << r.flaps);
        } else {
            r.poorUntilMs = Math.max(r.poorUntilMs, nowMs + POOR_MS);
        }
    }

    @Override
    public synchronized void setRolloutTurn(String service, Set<String> ids, long nowMs) {
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

    /** How many nodes share a budget, as far as is known; without a lease, more than were ever seen. */
    private int sharers(long nowMs) {
        return nowMs < leaseUntilMs
                ? Math.max(MIN_NODES, Math.max(lease.nodes(), mostNodes))
                : Math.max(24, mostNodes * 2);
    }

    @Override
    public synchronized Selection select(SelectionRequest ask, long nowMs) {
        FleetConfig.Service service = config == null ? null : config.service(ask.service());
        Row best = null;
        double bestCost = Double.MAX_VALUE;
        boolean any = false;
        boolean coldOnly = false;
        boolean anyFresh = false;
        List<Row> fit = new ArrayList<>(rows.size());
        List<Row> permitted = ask.preference() == null ? null : new ArrayList<>();
        Set<String> inTurn = turns.getOrDefault(ask.service(), Set.of());
        for (Row r : rows.values()) {
            if (!r.said.service().equals(ask.service())
                    || !ask.allowedRegions().isEmpty() && !ask.allowedRegions().contains(r.region)
                    || ask.excludedEngineIds().contains(r.id)) {
                continue;
            }
            if (ask.weightsVersion() >= 0 && r.said.weights() >= 0 && r.said.weights() != ask.weightsVersion()) {
                continue;
            }
            if (permitted != null) {
                permitted.add(r);
            }
            if (r.leaving || evacuated.contains(r.said.zone()) || inTurn.contains(r.id)) {
                continue;
            }
            judge(r, nowMs);
            any = true;
            if (!r.suspect) {
                fit.add(r);
                anyFresh |= !absent(r);
            }
        }
        sparePoor(fit, ask.random(), nowMs);
        if (permitted != null) {
            Row steered = steered(ask, service, fit, permitted, anyFresh, nowMs);
            return steered == null
                    ? new NoCapacity(any ? Outcome.NO_ROOM : Outcome.NO_ENGINE, any ? 600 : 900)
                    : chosen(steered, ask, service, nowMs);
        }
        Row home = null;
        if (ask.affinityKey() != 0) {
            // the prompt's head lives where the rendezvous hash says, unless that engine has far more than its share
            double mean = 0;
            for (Row r : fit) {
                mean += r.tokensNow(nowMs);
            }
            mean = fit.isEmpty() ? 0 : mean / fit.size();
            List<Row> ranked = new ArrayList<>(fit);
            ranked.sort(Comparator.comparingLong((Row r) -> RendezvousHash.rank(r.hash, ask.affinityKey())));
            for (Row r : ranked) {
                if (r.tokensNow(nowMs) + ask.uncachedTokens() <= 1.5 * mean + UNEVEN_TOKENS
                        && !(absent(r) && anyFresh)) {
                    home = r;
                    break;
                }
            }
        }
        for (Row r : fit) {
            if (anyFresh && absent(r)) {
                continue;
            }
            if (r.coldUntilMs > nowMs && !coldRoom(r, service, nowMs)) {
                coldOnly = true;
                continue;
            }
            double cost = cost(r, home, ask, nowMs);
            if (cost < bestCost) {
                bestCost = cost;
                best = r;
            }
        }
        if (best == null) {
            return new NoCapacity(any ? Outcome.NO_ROOM : Outcome.NO_ENGINE, coldOnly ? 250 : any ? 600 : 900);
        }
        return chosen(best, ask, service, nowMs);
    }

    private double cost(Row r, Row home, SelectionRequest ask, long nowMs) {
        double read = ask.uncachedTokens() + (r == home || home == null ? 0 : ask.sharedPrefixTokens());
        int others = r.runningNow(nowMs) - r.running;
        double cost = way(r)
                + read * tokenMs
                + (r.running + OTHERS * others) * SLOT_MS
                + (r.tokens + OTHERS * (r.tokensNow(nowMs) - r.tokens)) * tokenMs * 0.3
                + (mix(ask.random() ^ r.hash) >>> 54) * 0.002;
        return r.coldUntilMs > nowMs ? cost + 30 : cost;
    }

    /** Counts the request as running there. */
    private SelectedEngine chosen(Row best, SelectionRequest ask, FleetConfig.Service service, long nowMs) {
        if (best.coldUntilMs > nowMs) {
            best.coldTokens -= 1;
            long turn = service == null || service.warmupPerS() <= 0
                    ? -1
                    : coldSlot(best, service.warmupPerS(), sharers(nowMs), nowMs);
            best.coldTurn = turn >= 0 ? turn : best.coldTurn;
        }
        best.running++;
        best.tokens += weight(ask);
        best.window.began(kind(ask), (long) weight(ask), nowMs);
        int wires = service == null
                ? 16
                : Math.max(1, (int) (service.maxConnections() * 0.9 / Math.max(MIN_NODES, mostNodes)));
        return new SelectedEngine(best.id, best.address, best.said.zone(), wires);
    }

    /**
     * A choice under a serving rule: the holder, else the rule's places in their order, each once its wait is over. Only
     * engines that may be asked anyway are looked at.
     */
    private Row steered(
            SelectionRequest ask,
            FleetConfig.Service service,
            List<Row> fit,
            List<Row> permitted,
            boolean anyFresh,
            long nowMs) {
        RoutingPreference steer = ask.preference();
        double mean = 0;
        for (Row r : fit) {
            mean += r.tokensNow(nowMs) / fit.size();
        }
        Row holder = null;
        List<Row> ranked = new ArrayList<>(permitted);
        if (ask.affinityKey() != 0) {
            ranked.sort(Comparator.comparingLong((Row r) -> RendezvousHash.rank(r.hash, ask.affinityKey())));
            holder = ranked.isEmpty() ? null : ranked.get(0);
        }
        List<Row> open = new ArrayList<>(fit.size());
        for (Row r : fit) {
            boolean cold = r.coldUntilMs > nowMs;
            int places = steer.reservedShare() <= 0
                    ? Integer.MAX_VALUE
                    : Math.max(1, (int) (r.said.capacity() * (1 - steer.reservedShare())));
            if (!(anyFresh && absent(r)) && !(cold && !coldRoom(r, service, nowMs)) && r.runningNow(nowMs) < places) {
                open.add(r);
            }
        }
        boolean there =
                holder != null && fit.contains(holder) && !(anyFresh && absent(holder)) && holder.coldUntilMs <= nowMs;
        if (there
                && open.contains(holder)
                && holder.tokensNow(nowMs) + ask.uncachedTokens() <= steer.maxImbalance() * mean + UNEVEN_TOKENS) {
            return holder;
        }
        List<FallbackTarget> steps = there ? steer.whenBusy() : steer.whenUnavailable();
        if (holder == null || steps.isEmpty()) {
            return cheapest(open, holder, ask, nowMs);
        }
        open.remove(holder);
        long dueMs = 0;
        for (FallbackTarget step : steps) {
            dueMs += step.waitMs();
            if (steer.waitedMs() < dueMs) {
                return null;
            }
            Row best = cheapest(at(step, open, ranked, holder), holder, ask, nowMs);
            if (best != null) {
                return best;
            }
        }
        return null;
    }

    private List<Row> at(FallbackTarget step, List<Row> open, List<Row> ranked, Row holder) {
        if (step.to() == FallbackTarget.To.NEXT) {
            for (Row r : ranked) {
                if (r != holder && !r.leaving && !r.suspect) {
                    return open.contains(r) ? List.of(r) : List.of();
                }
            }
            return List.of();
        }
        List<Row> out = new ArrayList<>();
        for (Row r : open) {
            boolean in =
                    switch (step.to()) {
                        case ZONE -> r.said.zone().equals(node.zone());
                        case REGION -> r.region.equals(node.region());
                        case REGIONS -> step.regions().contains(r.region);
                        default -> true;
                    };
            if (in) {
                out.add(r);
            }
        }
        return out;
    }

    private Row cheapest(List<Row> of, Row holder, SelectionRequest ask, long nowMs) {
        Row best = null;
        double bestCost = Double.MAX_VALUE;
        for (Row r : of) {
            double cost = cost(r, holder, ask, nowMs);
            if (cost < bestCost) {
                bestCost = cost;
                best = r;
            }
        }
        return best;
    }

    /** Engines that do poorly get a trickle, unless so many do that the rest could not carry the load. */
    private static void sparePoor(List<Row> fit, long luck, long nowMs) {
        int poor = 0;
        for (Row r : fit) {
            poor += nowMs < r.poorUntilMs ? 1 : 0;
        }
        if (poor > 0 && poor * 2 <= fit.size()) {
            fit.removeIf(r -> nowMs < r.poorUntilMs && (mix(luck * 31 ^ r.hash) & TRICKLE) != 0);
        }
    }

    private static double weight(SelectionRequest ask) {
        return ask.uncachedTokens() + ask.outputTokens();
    }

    private static RequestKind kind(SelectionRequest ask) {
        return RequestKind.of(ask.uncachedTokens() + ask.sharedPrefixTokens(), ask.sharedPrefixTokens());
    }

    private static boolean absent(Row r) {
        return r.silent || r.place.dark;
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
        double burst = KEEP * (perS * (node.warmupOverrun() - 0.9) + node.warmupSlack()) / nodes;
        if (burst < 1) {
            // so many nodes that a share is less than a request: whole requests instead, one a node in turn, each only
            // within its own moment, so that unused ones cannot pile up
            return coldSlot(r, perS, nodes, nowMs) >= 0;
        }
        double share = 0.9 * perS / nodes;
        r.coldTokens = Math.min(burst, r.coldTokens + share * Math.max(0, nowMs - r.coldAtMs) / 1000);
        r.coldAtMs = nowMs;
        return r.coldTokens >= 1;
    }

    /** The turn that this node has now at a cold engine, below 0 if it has none or has used it. */
    private long coldSlot(Row r, double perS, int nodes, long nowMs) {
        long periodMs = Math.max(COLD_OPEN_MS, (long) (1000 * nodes / (COLD_SHARE * perS)));
        long at = nowMs + Math.floorMod(mix(r.hash ^ node.name().hashCode() * 0x9E3779B97F4A7C15L), periodMs);
        long turn = at / periodMs;
        return at % periodMs < COLD_OPEN_MS && turn != r.coldTurn ? turn : -1;
    }

    /** Silence while something waits makes an engine suspect. */
    private void judge(Row r, long nowMs) {
        if (!r.suspect
                && r.running > 0
                && r.waitingSinceMs >= 0
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
        return RendezvousHash.mix(z);
    }

    @Override
    public synchronized void onRequestSent(String id, long nowMs) {
        Row r = rows.get(id);
        if (r != null && r.waitingSinceMs < 0) {
            r.waitingSinceMs = nowMs;
        }
    }

    @Override
    public synchronized void onResponseBytes(String id, long nowMs) {
        Row r = rows.get(id);
        if (r != null) {
            r.waitingSinceMs = nowMs;
            r.failures = 0;
            r.place.heardMs = nowMs;
        }
    }

    @Override
    public synchronized void onAttemptEnded(
            String id, SelectionRequest ask, AttemptOutcome end, long firstMs, long nowMs) {
        Row r = rows.get(id);
        if (r == null) {
            return;
        }
        r.running = Math.max(0, r.running - 1);
        r.tokens = r.running == 0 ? 0 : Math.max(0, r.tokens - weight(ask));
        boolean stale = firstMs == STALE_MS;
        r.window.ended(kind(ask), (long) weight(ask), stale ? AttemptOutcome.PARENT_ENDED : end, firstMs, nowMs);
        if (end.againstEngine() && !stale) {
            AttemptCounts own = r.window.all(nowMs);
            weigh(r, own.answered(), own.failed(), 1, 0, nowMs);
        }
        if (r.running == 0) {
            r.waitingSinceMs = -1;
        }
        if (gone.contains(id) && r.running == 0) {
            remove(r);
            return;
        }
        if (end == AttemptOutcome.MISDIRECTED) {
            // another engine has the address, so that one is gone
            r.leaving = true;
        } else if (end == AttemptOutcome.NOT_SENT || end == AttemptOutcome.ATTEMPT_TIMEOUT) {
            suspect(r, nowMs);
        } else if (end.againstEngine() && !stale) {
            if (++r.failures >= 3) {
                suspect(r, nowMs);
            }
        } else if (end == AttemptOutcome.ANSWERED) {
            r.failures = 0;
            if (firstMs >= 0 && ask.uncachedTokens() > 4000) {
                double seen = Math.max(0.002, Math.min(0.2, (firstMs - way(r)) / ask.uncachedTokens()));
                tokenMs += (seen - tokenMs) * 0.05;
            }
        }
    }

    @Override
    public synchronized void onRequestReceived(String service, long nowMs) {
        Budget b = budgets.computeIfAbsent(service, k -> new Budget());
        b.move(nowMs);
        b.asked[(int) (b.second % Budget.SECONDS)]++;
    }

    @Override
    public synchronized boolean tryAcquireRetry(String service, long nowMs) {
        Budget b = budgets.computeIfAbsent(service, k -> new Budget());
        b.move(nowMs);
        int windowS = (int) Math.ceil(node.retryWindowS());
        double slack = nowMs < leaseUntilMs ? KEEP * node.retrySlack() / sharers(nowMs) : 0;
        double earned = KEEP * node.retryRatio() * b.sum(b.asked, windowS);
        // one second more, as the seconds here are not the windows of whoever counts
        if (b.sum(b.tries, windowS + 1) + 1 > earned + slack) {
            return false;
        }
        b.tries[(int) (b.second % Budget.SECONDS)]++;
        return true;
    }

    @Override
    public synchronized List<HealthProbe> dueHealthProbes(long nowMs) {
        List<HealthProbe> out = null;
        for (Row r : rows.values()) {
            judge(r, nowMs);
            if (r.suspect && nowMs >= r.probeAtMs && !r.leaving) {
                r.probeAtMs = nowMs + r.probeGapMs;
                r.probeGapMs = Math.min(PROBE_MAX_MS, r.probeGapMs * 3 / 2);
                if (r.silent || evacuated.contains(r.said.zone())) {
                    continue;
                }
                FleetConfig.Service s = config == null ? null : config.service(r.said.service());
                out = out == null ? new ArrayList<>() : out;
                out.add(new HealthProbe(r.id, r.address, s == null ? "/health" : s.healthPath()));
            }
        }
        rows.values().removeIf(r -> {
            boolean old = r.running == 0 && r.silent && nowMs - r.silentMs > 20L * node.engineBeatMs();
            if (old) {
                byKey.remove(r.hash);
            }
            return old;
        });
        return out == null ? List.of() : out;
    }

    @Override
    public synchronized void onHealthProbeResult(String id, boolean well, int coldMs, long nowMs) {
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
    public synchronized Set<String> knownEngineIds() {
        return new HashSet<>(rows.keySet());
    }
}
